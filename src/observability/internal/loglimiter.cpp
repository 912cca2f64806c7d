#include "observability/loglimiter.h"

#include <algorithm>
#include <utility>

namespace citronpick::observability
{

namespace
{

constexpr double burstSeconds = 3.0;
constexpr model::Duration reportInterval = model::seconds(1);

} // namespace

LogLimiter::LogLimiter(uint32_t linesPerSecond)
    : m_rate(linesPerSecond)
    , m_tokens(burstSeconds * linesPerSecond)
{
}

bool LogLimiter::tryAcquire(model::TimePoint now)
{
    const double elapsedSeconds = std::max(0.0, model::toSeconds(now - m_refilledAt));
    m_tokens = std::min(burstSeconds * m_rate, m_tokens + m_rate * elapsedSeconds);
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        ++m_suppressed;
        ++m_total;
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void LogLimiter::addDropped(uint64_t lines)
{
    m_suppressed += lines;
    m_total += lines;
}

uint64_t LogLimiter::takeSuppressed(model::TimePoint now)
{
    if (m_suppressed == 0 || now - m_reportedAt < reportInterval) {
        return 0;
    }
    m_reportedAt = now;
    return std::exchange(m_suppressed, 0);
}

} // namespace citronpick::observability
