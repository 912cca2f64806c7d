#include "fleet/configurationfetch.h"

#include <utility>

namespace citronpick::fleet
{

namespace
{

//! Minimum interval between the starts of two fetches, for peers that fail at once.
constexpr model::Duration minInterval = model::milliseconds(300);

} // namespace

void ConfigurationFetch::onAnnounced(const NewerConfiguration &newer)
{
    if (!m_announced || newer.revision >= m_announced->revision) {
        m_announced = newer;
    }
}

std::optional<NewerConfiguration>
ConfigurationFetch::take(model::Revision inForce, bool isAnswerArriving, model::TimePoint now)
{
    if (m_announced && m_announced->revision <= inForce) {
        m_announced.reset();
    }
    if (!m_announced || m_isPending || isAnswerArriving || now < m_nextStart) {
        return std::nullopt;
    }
    m_isPending = true;
    m_nextStart = now + minInterval;
    // A peer that fails announces its configuration again, as do others.
    return std::exchange(m_announced, std::nullopt);
}

void ConfigurationFetch::onEnded()
{
    m_isPending = false;
}

} // namespace citronpick::fleet
