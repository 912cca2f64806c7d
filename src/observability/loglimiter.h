#ifndef CITRONPICK_OBSERVABILITY_LOGLIMITER_H
#define CITRONPICK_OBSERVABILITY_LOGLIMITER_H

#include <cstdint>

#include "model/time.h"

namespace citronpick::observability
{

//! Bounds the lines that a log takes in a second and counts those that do not fit.
class LogLimiter
{
public:
    //! Bursts of three seconds' worth are let through.
    explicit LogLimiter(uint32_t linesPerSecond);

    bool allows(model::TimePoint now);

    //! Counts lines that were let through and then not written.
    void noteDropped(uint64_t lines);

    //! Lines not written since the last call; zero more often than once a second.
    uint64_t takeSuppressed(model::TimePoint now);
    uint64_t suppressedTotal() const
    {
        return m_total;
    }

private:
    double m_rate;
    double m_tokens;
    model::TimePoint m_filledAt;
    model::TimePoint m_toldAt;
    uint64_t m_suppressed = 0;
    uint64_t m_total = 0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_LOGLIMITER_H
