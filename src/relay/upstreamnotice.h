#ifndef CITRONPICK_RELAY_UPSTREAMNOTICE_H
#define CITRONPICK_RELAY_UPSTREAMNOTICE_H

#include <compare>
#include <cstdint>
#include <optional>

#include "config/settings.h"
#include "model/ids.h"
#include "model/time.h"
#include "relay/ratelimit.h"

namespace citronpick::relay
{

//! A range of incarnations of an upstream, both ends included.
struct IncarnationRange {
    uint64_t first = 0;
    uint64_t last = 0;

    friend auto operator<=>(const IncarnationRange &, const IncarnationRange &) = default;
};

//! What an upstream states about itself in the head of an answer.
struct UpstreamNotice {
    bool isLeaving = false; //!< It takes no new work from now on.
    //! How long it wants no work from this daemon; zero if it has not asked for that.
    model::Duration rest {};
    model::Duration coldFor {}; //!< How long it stays cold; zero if it has not stated that.
    //! nullopt if the answer does not tell, because it comes from another upstream or is malformed.
    std::optional<RateStatement> rate;
    //! Starts of the upstream so recent that the registry may not show them yet. The answer may
    //! come from any of these.
    IncarnationRange recentStarts;

    //! Whether it states nothing but a rate.
    bool isEmpty() const
    {
        return !isLeaving && rest == model::Duration::zero() && coldFor == model::Duration::zero();
    }

    friend auto operator<=>(const UpstreamNotice &, const UpstreamNotice &) = default;
};

//! Starts of an upstream, by their incarnations.
struct UpstreamStarts {
    uint64_t last = 0; //!< The latest one that is listed; all earlier ones are included.
    IncarnationRange recent; //!< Further ones, which may not be listed yet.

    bool contains(uint64_t incarnation) const
    {
        return incarnation <= last || (incarnation >= recent.first && incarnation <= recent.last);
    }

    friend auto operator<=>(const UpstreamStarts &, const UpstreamStarts &) = default;
};

//! The call whose answer contained a notice.
struct NoticeSource {
    model::UpstreamId upstream;
    uint64_t incarnation = 0; //!< Incarnation of the upstream that was listed when the call began.
    config::Endpoint address; //!< To which the call went.
    model::CallerRequestId request; //!< Empty for a call that serves several requests.
    //! When the call began; TimePoint() if that is not known.
    model::TimePoint startedAt;

    friend auto operator<=>(const NoticeSource &, const NoticeSource &) = default;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMNOTICE_H
