#include "relay/partshares.h"

#include <algorithm>
#include <cmath>

namespace citronpick::relay
{

namespace
{

//! Requests lose half of their weight in this time. A part becomes hot within seconds.
constexpr model::Duration halfLife = model::seconds(10);
//! Bound on memory; a part that is shared by much of the load is among these.
constexpr size_t maxParts = 2048;
//! A part that was not seen for this long is not hot.
constexpr model::Duration maxAge = model::seconds(30);

} // namespace

double PartShares::Count::valueAt(model::TimePoint now) const
{
    return value * std::exp2(-model::toSeconds(now - at) / model::toSeconds(halfLife));
}

void PartShares::Count::add(model::TimePoint now)
{
    value = valueAt(now) + 1.0;
    at = now;
}

void PartShares::noteRequest(model::TimePoint now)
{
    m_requests.add(now);
}

void PartShares::notePart(const std::string &part, model::TimePoint now)
{
    if (!m_parts.contains(part)) {
        limit(now);
        if (m_parts.size() >= maxParts) {
            return;
        }
    }
    m_parts[part].add(now);
}

void PartShares::limit(model::TimePoint now)
{
    if (m_parts.size() < maxParts) {
        return;
    }
    absl::erase_if(m_parts, [now](const auto &entry) { return now - entry.second.at > maxAge; });
    if (m_parts.size() >= maxParts) {
        // Parts of single requests fill the table; hot ones have been counted more than once.
        absl::erase_if(m_parts,
                       [now](const auto &entry) { return entry.second.valueAt(now) < 1.0; });
    }
}

// Both bounds are about one standard deviation of a count away from the measured share; the upper
// one considers that nothing at all has been seen yet.
ShareBounds PartShares::of(const std::string &part, model::TimePoint now) const
{
    const double total = m_requests.valueAt(now);
    const auto it = m_parts.find(part);
    const double count = it == m_parts.end() ? 0.0 : it->second.valueAt(now);
    if (total <= 1.0) {
        return {};
    }
    return {.low = std::clamp((count - std::sqrt(count) - 1.0) / total, 0.0, 1.0),
            .high = std::clamp((count + std::sqrt(count + 1.0)) / total, 0.0, 1.0)};
}

} // namespace citronpick::relay
