#include "relay/ratelimit.h"

#include <algorithm>
#include <cmath>

namespace citronpick::relay
{

namespace
{

//! A daemon that does not send hears of the end of a limit from those that do. It asks the upstream
//! itself if it has heard nothing for this long.
constexpr model::Duration askingDelay = model::seconds(30);
//! Lower rates count as none at all.
constexpr double minRequestsPerSecond = 0.01;

//! Daemons that have missed a publication, or have started since, know of the limit after this
//! time.
constexpr model::Duration publicationPeriod = model::seconds(10);
//! Changes are published at most once in this time by each daemon.
constexpr model::Duration changeInterval = model::seconds(1);
//! Smaller changes of the rate are not published by themselves.
constexpr double publishedChange = 0.1;

model::Duration fromSeconds(double seconds)
{
    constexpr double microsecondsPerSecond = 1e6;
    return model::Duration(static_cast<int64_t>(std::ceil(seconds * microsecondsPerSecond)));
}

} // namespace

bool isPublicationDue(const RateStatement &rate, const RatePublication &last, model::TimePoint now)
{
    const bool hasEndedOrBegun
        = rate.requestsPerSecond.has_value() != last.rate.requestsPerSecond.has_value();
    if (hasEndedOrBegun || !rate.requestsPerSecond) {
        return hasEndedOrBegun;
    }
    const double known = *last.rate.requestsPerSecond;
    const bool hasChanged = std::abs(*rate.requestsPerSecond - known) > known * publishedChange;
    return now - last.at >= (hasChanged ? changeInterval : publicationPeriod);
}

// Whole shares for few daemons, because a request for a share below one in a second would have to
// arrive at the daemon whose turn it is. One daemon more than the rate has requests a second, so
// that the upstream is used when one of them is lost.
RateShare rateShareOf(double requestsPerSecond, size_t rank, size_t daemons)
{
    const double rate = std::max(requestsPerSecond, minRequestsPerSecond);
    const auto wanted = static_cast<size_t>(std::min(std::floor(rate) + 1.0, 1e6));
    const size_t senders = std::clamp<size_t>(wanted, 1, std::max<size_t>(1, daemons));
    const bool isSender = rank < senders && requestsPerSecond >= minRequestsPerSecond;
    if (isSender) {
        return {.isSender = true,
                .senders = senders,
                .interval = fromSeconds(static_cast<double>(senders) / rate)};
    }
    // Those that ask do so one after the other, and the first one tells the others.
    return {.isSender = false,
            .senders = senders,
            .interval = askingDelay + fromSeconds(static_cast<double>(rank) / rate)};
}

model::Duration fleetInterval(double requestsPerSecond)
{
    const double rate = std::max(requestsPerSecond, minRequestsPerSecond);
    return std::min(askingDelay, fromSeconds(1.0 / rate));
}

// A turn that was not used at once may be made up for by half an interval, so that the rate is
// reached although requests arrive at random.
model::TimePoint nextTurn(model::TimePoint allowedFrom, model::Duration interval,
                          model::TimePoint now)
{
    return std::max(allowedFrom, now - interval / 2) + interval;
}

} // namespace citronpick::relay
