#include "observability/loglimiter.h"

#include <algorithm>
#include <utility>

namespace citronpick::observability
{

namespace
{

constexpr double burstSeconds = 3.0;
constexpr model::Duration tellInterval = model::seconds(1);

} // namespace

LogLimiter::LogLimiter(uint32_t linesPerSecond)
    : m_rate(linesPerSecond)
    , m_tokens(burstSeconds * linesPerSecond)
{
}

bool LogLimiter::allows(model::TimePoint now)
{
    const double passed = std::max(0.0, model::toSeconds(now - m_filledAt));
    m_tokens = std::min(burstSeconds * m_rate, m_tokens + m_rate * passed);
    m_filledAt = now;
    if (m_tokens < 1.0) {
        ++m_suppressed;
        ++m_total;
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void LogLimiter::noteDropped(uint64_t lines)
{
    m_suppressed += lines;
    m_total += lines;
}

uint64_t LogLimiter::takeSuppressed(model::TimePoint now)
{
    if (m_suppressed == 0 || now - m_toldAt < tellInterval) {
        return 0;
    }
    m_toldAt = now;
    return std::exchange(m_suppressed, 0);
}

} // namespace citronpick::observability
