#ifndef CITRONPICK_RELAY_RATELIMIT_H
#define CITRONPICK_RELAY_RATELIMIT_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "model/time.h"

namespace citronpick::relay
{

//! What an answer states about the rate of requests that its upstream takes.
struct RateStatement {
    //! Requests per second from all daemons together; nullopt if the rate is not limited.
    std::optional<double> requestsPerSecond;

    friend auto operator<=>(const RateStatement &, const RateStatement &) = default;
};

//! The rate that an upstream takes, as the fleet knows it.
struct RateLimit {
    double requestsPerSecond = 0.0; //!< From all daemons together.
    uint64_t incarnation = 0; //!< Start of the upstream that stated it.
    model::TimePoint statedAt; //!< When an answer last stated it, to this or another daemon.

    friend auto operator<=>(const RateLimit &, const RateLimit &) = default;
};

//! What the daemons were last told about the rate of an upstream.
struct RatePublication {
    RateStatement rate;
    model::TimePoint at;

    friend auto operator<=>(const RatePublication &, const RatePublication &) = default;
};

//! Whether the daemons have to be told what an answer has just stated.
bool isPublicationDue(const RateStatement &rate, const RatePublication &last, model::TimePoint now);

//! This daemon's part in what all daemons send to a limited upstream.
struct RateShare {
    //! A daemon that is no sender only asks, once in an interval, whether the limit still holds.
    bool isSender = false;
    size_t senders = 0; //!< Number of daemons that send.
    model::Duration interval {}; //!< Mean time between two requests of this daemon.

    friend auto operator<=>(const RateShare &, const RateShare &) = default;
};

//! The share of the daemon that comes behind \a rank of \a daemons.
RateShare rateShareOf(double requestsPerSecond, size_t rank, size_t daemons);

//! Mean time between two requests of all daemons together.
model::Duration fleetInterval(double requestsPerSecond);

//! Adds \a interval to the time from which the next request was allowed.
model::TimePoint nextTurn(model::TimePoint allowedFrom, model::Duration interval,
                          model::TimePoint now);

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RATELIMIT_H
