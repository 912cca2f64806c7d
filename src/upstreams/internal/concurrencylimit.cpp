#include "upstreams/concurrencylimit.h"

#include <algorithm>

namespace citronpick::upstreams
{

namespace
{

constexpr double decreaseFactor = 0.85;
constexpr model::Duration decreaseInterval = model::milliseconds(200);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t initial, uint32_t ceiling)
    : m_limit(std::max(1U, initial))
    , m_ceiling(std::max(1U, ceiling))
{
    m_limit = std::min(m_limit, m_ceiling);
}

uint32_t ConcurrencyLimit::value() const
{
    return static_cast<uint32_t>(m_limit);
}

void ConcurrencyLimit::setCeiling(uint32_t ceiling)
{
    m_ceiling = std::max(1U, ceiling);
    m_limit = std::min(m_limit, m_ceiling);
}

void ConcurrencyLimit::restartFrom(uint32_t value)
{
    m_limit = std::clamp(static_cast<double>(value), 1.0, m_ceiling);
}

void ConcurrencyLimit::onGoodAnswer(uint32_t inFlight)
{
    // The limit grows only while it is fully used; otherwise a long time of low load would raise it
    // to the ceiling without evidence that the upstream can handle that many requests.
    if (inFlight + 1 < value()) {
        return;
    }
    m_limit = std::min(m_ceiling, m_limit + 1.0 / m_limit);
}

void ConcurrencyLimit::onCongestion(model::TimePoint now)
{
    // One load peak makes many answers slow at the same time and may decrease the limit only once.
    if (m_lastDecrease != model::TimePoint::min() && now - m_lastDecrease < decreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(1.0, m_limit * decreaseFactor);
}

} // namespace citronpick::upstreams
