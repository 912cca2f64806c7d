#include "relay/streamorigins.h"

namespace citronpick::relay
{

namespace
{

constexpr model::Duration retention = model::seconds(60);
//! About two megabytes.
constexpr size_t maxRows = 16384;

} // namespace

void StreamOrigins::add(const model::CallerRequestId &attempt,
                        const model::SoftwareVersion &version, model::TimePoint now)
{
    while (!m_additions.empty()
           && (now - m_additions.front().at >= retention || m_additions.size() >= maxRows)) {
        m_versions.erase(m_additions.front().attempt);
        m_additions.pop_front();
    }
    if (m_versions.emplace(attempt, version).second) {
        m_additions.push_back({.attempt = attempt, .at = now});
    }
}

std::optional<model::SoftwareVersion>
StreamOrigins::find(const model::CallerRequestId &attempt) const
{
    const auto it = m_versions.find(attempt);
    return it == m_versions.end() ? std::nullopt : std::optional(it->second);
}

} // namespace citronpick::relay
