#include "documents/readschedule.h"

#include <algorithm>

namespace citronpick::documents
{

ReadSchedule::ReadSchedule(ReadScheduleOptions options, uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void ReadSchedule::onSucceeded(model::TimePoint now, model::Duration atLeast)
{
    constexpr double leastPart = 0.8;
    constexpr double randomPart = 0.4;
    m_isReading = false;
    m_failures = 0;
    const model::Duration usual = std::max(m_options.afterSuccess, atLeast);
    m_next = now + model::scaled(usual, leastPart + randomPart * m_random.unit());
}

void ReadSchedule::onFailed(model::TimePoint now)
{
    constexpr uint32_t maxDoublings = 10;
    m_isReading = false;
    const double doublings = 1U << std::min(m_failures, maxDoublings);
    ++m_failures;
    const model::Duration longest
        = std::min(m_options.maxBackoff, model::scaled(m_options.firstBackoff, doublings));
    // Drawn over the whole span: daemons that lost the service at one moment come back spread out.
    m_next = now + model::scaled(longest, 0.1 + 0.9 * m_random.unit());
}

} // namespace citronpick::documents
