#include "routing/prefixtable.h"

namespace citronpick::routing
{

PrefixTable::PrefixTable(size_t capacity)
    : m_capacity(capacity)
{
}

void PrefixTable::recordLocation(uint64_t prefix, model::UpstreamRow upstream)
{
    const auto [it, isNew] = m_locations.insert_or_assign(prefix, upstream);
    if (!isNew) {
        return;
    }
    m_order.push_back(prefix);
    while (m_order.size() > m_capacity) {
        m_locations.erase(m_order.front());
        m_order.pop_front();
    }
}

void PrefixTable::apply(model::UpstreamRow upstream, const CacheReport &report)
{
    uint64_t &last = m_lastSequence[upstream];
    if (report.sequence <= last) {
        return;
    }
    const bool hasGap = last != 0 && report.sequence != last + 1;
    last = report.sequence;
    if (hasGap) {
        forget(upstream);
    }
    for (const uint64_t prefix : report.removed) {
        const auto it = m_locations.find(prefix);
        if (it != m_locations.end() && it->second == upstream) {
            m_locations.erase(it);
        }
    }
    for (const uint64_t prefix : report.added) {
        recordLocation(prefix, upstream);
    }
}

void PrefixTable::forget(model::UpstreamRow upstream)
{
    absl::erase_if(m_locations, [upstream](const auto &entry) { return entry.second == upstream; });
}

std::optional<model::UpstreamRow> PrefixTable::find(uint64_t prefix) const
{
    const auto it = m_locations.find(prefix);
    return it == m_locations.end() ? std::nullopt : std::optional(it->second);
}

} // namespace citronpick::routing
