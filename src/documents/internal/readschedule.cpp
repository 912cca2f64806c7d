#include "documents/readschedule.h"

#include <algorithm>

namespace citronpick::documents
{

ReadSchedule::ReadSchedule(ReadScheduleOptions options, uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void ReadSchedule::onSucceeded(model::TimePoint now, model::Duration minInterval)
{
    constexpr double minFactor = 0.8;
    constexpr double jitterFactor = 0.4;
    m_isReading = false;
    m_failures = 0;
    const model::Duration interval = std::max(m_options.readInterval, minInterval);
    m_nextReadAt
        = now + model::scaled(interval, minFactor + jitterFactor * m_random.uniformDouble());
}

void ReadSchedule::onFailed(model::TimePoint now)
{
    constexpr uint32_t maxBackoffDoublings = 10;
    m_isReading = false;
    const double doublings = 1U << std::min(m_failures, maxBackoffDoublings);
    ++m_failures;
    const model::Duration maxDelay
        = std::min(m_options.maxBackoff, model::scaled(m_options.initialBackoff, doublings));
    // Drawn from almost the whole backoff range, so that daemons that lost the service at the same
    // time do not reconnect at once.
    m_nextReadAt = now + model::scaled(maxDelay, 0.1 + 0.9 * m_random.uniformDouble());
}

} // namespace citronpick::documents
