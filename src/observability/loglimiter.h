#ifndef CITRONPICK_OBSERVABILITY_LOGLIMITER_H
#define CITRONPICK_OBSERVABILITY_LOGLIMITER_H

#include <cstdint>

#include "model/time.h"

namespace citronpick::observability
{

//! Token-bucket rate limiter for log lines that counts the suppressed ones.
class LogLimiter
{
public:
    //! Allows bursts of three times \a linesPerSecond.
    explicit LogLimiter(uint32_t linesPerSecond);

    //! Takes a token for one line; without a token, returns false and counts the line as
    //! suppressed.
    bool tryAcquire(model::TimePoint now);

    //! Counts lines that were allowed but then dropped, for example because the buffer was full.
    void addDropped(uint64_t lines);

    //! Number of lines suppressed since the last report, for reporting at most once per second:
    //! returns zero if less than a second has passed.
    uint64_t takeSuppressed(model::TimePoint now);
    uint64_t suppressedTotal() const
    {
        return m_total;
    }

private:
    double m_rate;
    double m_tokens;
    model::TimePoint m_refilledAt;
    model::TimePoint m_reportedAt;
    uint64_t m_suppressed = 0;
    uint64_t m_total = 0;
};

} // namespace citronpick::observability

#endif // CITRONPICK_OBSERVABILITY_LOGLIMITER_H
