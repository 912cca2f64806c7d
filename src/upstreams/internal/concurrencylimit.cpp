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
    // Growth without use would let an idle hour raise the limit to the ceiling unproved.
    if (inFlight + 1 < value()) {
        return;
    }
    m_limit = std::min(m_ceiling, m_limit + 1.0 / m_limit);
}

void ConcurrencyLimit::onCongestion(model::TimePoint now)
{
    // One crest makes many answers slow at once; it counts as one signal.
    if (m_lastDecrease != model::TimePoint::min() && now - m_lastDecrease < decreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(1.0, m_limit * decreaseFactor);
}

} // namespace citronpick::upstreams
