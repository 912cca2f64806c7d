#include "soak/stoppromise.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace citronpick::soak
{

namespace
{

//! A request whose connection ends sooner may not have been read.
constexpr model::Duration readTime = model::milliseconds(200);
//! Time between the end of answers and that of the process.
constexpr model::Duration flushTime = model::milliseconds(200);

// As on the platform, relative to the limit of 8 s there: a stream may be cut if it was sent in the
// first 3 s of the stop and its upstream works on it in the last sixth. A second SIGTERM is no
// reason.
bool mayBeCut(const platform::standin::LostCall &call,
              const platform::standin::UpstreamRecord &upstreams, const ProcessLife &life)
{
    const model::TimePoint limit = *life.stoppedAt + life.stopLimit;
    const model::TimePoint latestSent = *life.stoppedAt + life.stopLimit * 3 / 8;
    return call.isAnswerBegun && call.sentAt <= latestSent
           && upstreams.workedUntil >= limit - std::max(life.stopLimit / 6, 2 * flushTime);
}

} // namespace

std::optional<std::string> checkLostCall(const platform::standin::LostCall &call,
                                         const platform::standin::UpstreamRecord &upstreams,
                                         const ProcessLife &life)
{
    const bool isPlanned = life.stoppedAt && !life.wasKilled && !life.wasPaused;
    if (!isPlanned || call.sentAt < life.startedAt || call.endedAt < *life.stoppedAt
        || call.sentAt > life.endedAt || upstreams.wasLost) {
        return std::nullopt;
    }
    const bool wasRead = upstreams.runs > 0 || call.endedAt - call.sentAt > readTime;
    if (!wasRead || mayBeCut(call, upstreams, life)) {
        return std::nullopt;
    }
    const auto sinceStop = [&life](model::TimePoint at) {
        return model::toMilliseconds(at - *life.stoppedAt);
    };
    return absl::StrCat("a planned stop left a request without an answer: ", call.request, " at ",
                        call.daemon, ", sent ", sinceStop(call.sentAt), " ms after SIGTERM, ended ",
                        sinceStop(call.endedAt), " ms, process ended ", sinceStop(life.endedAt),
                        " ms, runs ", upstreams.runs);
}

} // namespace citronpick::soak
