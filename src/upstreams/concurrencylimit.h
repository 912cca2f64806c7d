#ifndef CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H
#define CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H

#include <cstdint>

#include "model/time.h"

namespace citronpick::upstreams
{

/*! Limit on the concurrent requests of one daemon at one upstream. Adapts by additive increase and
 * multiplicative decrease (AIMD). */
class ConcurrencyLimit
{
public:
    ConcurrencyLimit() = default;
    ConcurrencyLimit(uint32_t initial, uint32_t ceiling);

    uint32_t value() const;

    //! Changes the ceiling; the current limit is kept unless it exceeds the new ceiling.
    void setCeiling(uint32_t ceiling);

    //! Sets the limit to \a value, within the ceiling; used when an upstream returns to service.
    void restartFrom(uint32_t value);

    //! Records an answer at normal speed; \a inFlight requests were at the upstream meanwhile.
    void onGoodAnswer(uint32_t inFlight);

    //! Records an answer that was slow or signalled overload.
    void onCongestion(model::TimePoint now);

private:
    double m_limit = 1.0;
    double m_ceiling = 1.0;
    model::TimePoint m_lastDecrease = model::TimePoint::min();
};

} // namespace citronpick::upstreams

#endif // CITRONPICK_UPSTREAMS_CONCURRENCYLIMIT_H
