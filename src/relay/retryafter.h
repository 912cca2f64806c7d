#ifndef CITRONPICK_RELAY_RETRYAFTER_H
#define CITRONPICK_RELAY_RETRYAFTER_H

#include <algorithm>

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

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RETRYAFTER_H
