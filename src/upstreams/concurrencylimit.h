#ifndef CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H
#define CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H

#include <cstdint>

#include "model/time.h"

namespace citronpick::upstreams
{

//! Requests that one daemon keeps at one upstream: additive increase, multiplicative decrease.
class ConcurrencyLimit
{
public:
    ConcurrencyLimit() = default;
    ConcurrencyLimit(uint32_t initial, uint32_t ceiling);

    uint32_t value() const;

    //! Moves the ceiling and keeps what was learned below it.
    void setCeiling(uint32_t ceiling);

    //! Starts again from a value, as after a return.
    void restartFrom(uint32_t value);

    //! An answer at the pool's usual speed while \a inFlight requests were at the upstream.
    void onGoodAnswer(uint32_t inFlight);

    //! An answer that was slow or said "busy".
    void onCongestion(model::TimePoint now);

private:
    double m_limit = 1.0;
    double m_ceiling = 1.0;
    model::TimePoint m_lastDecrease = model::TimePoint::min();
};

} // namespace citronpick::upstreams

#endif // CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H
