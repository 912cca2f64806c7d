#ifndef CITRONPICK_RELAY_RETRYAFTER_H
#define CITRONPICK_RELAY_RETRYAFTER_H

#include <algorithm>

#include "model/random.h"
#include "model/time.h"

namespace citronpick::relay
{

//! If a pool without upstreams gets one at all, it does so within seconds.
inline constexpr model::Duration emptyPoolRetryAfter = model::seconds(1);
//! Other daemons continue to serve while this one stops, so the caller can retry at once.
inline constexpr model::Duration stoppingRetryAfter = model::milliseconds(50);
//! A pool usually has got another upstream by then.
inline constexpr model::Duration maxRetryAfter = model::seconds(60);

//! When to retry a request that needs an upstream which takes work again at \a availableFrom;
//! \a otherwise if that is now or not known.
inline model::Duration retryAfterFor(model::TimePoint availableFrom, model::Duration otherwise,
                                     model::TimePoint now)
{
    const bool isKnown = availableFrom > now && availableFrom < model::TimePoint::max();
    return isKnown ? std::min(availableFrom - now, maxRetryAfter) : otherwise;
}

//! Callers wait for at most this part of the time that they have left.
inline constexpr double maxShareOfTimeLeft = 1.0 / 3.0;

//! A time between \a wait and what callers with \a timeLeft wait at most, or twice \a wait if that
//! is less, so that callers who are refused together do not return together.
inline model::Duration spreadRetryAfter(model::Duration wait, model::Duration timeLeft,
                                        model::Random &random)
{
    const model::Duration last = std::min(2 * wait, model::scaled(timeLeft, maxShareOfTimeLeft));
    return wait
           + model::scaled(std::max(model::Duration::zero(), last - wait), random.uniformDouble());
}

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RETRYAFTER_H
