#include "relay/leavingtable.h"

#include <algorithm>
#include <vector>

namespace citronpick::relay
{

namespace
{

//! Several times the upstreams of the largest deployment.
constexpr size_t maxRows = 4096;

} // namespace

bool LeavingTable::add(const model::UpstreamId &upstream, const UpstreamStarts &starts)
{
    const bool isKnown = contains(upstream, starts.last);
    Row &row = m_rows[upstream];
    row.starts.last = std::max(row.starts.last, starts.last);
    row.starts.recent = std::max(row.starts.recent, starts.recent);
    row.addedAs = ++m_additions;
    return !isKnown;
}

bool LeavingTable::contains(const model::UpstreamId &upstream, uint64_t incarnation) const
{
    const auto it = m_rows.find(upstream);
    return it != m_rows.end() && it->second.starts.contains(incarnation);
}

void LeavingTable::limit(const std::function<bool(const model::UpstreamId &)> &isListed)
{
    if (m_rows.size() <= maxRows) {
        return;
    }
    std::vector<std::pair<uint64_t, model::UpstreamId>> unlisted;
    for (const auto &[id, row] : m_rows) {
        if (!isListed(id)) {
            unlisted.emplace_back(row.addedAs, id);
        }
    }
    std::sort(unlisted.begin(), unlisted.end());
    // Removes an eighth more, so that this does not run again at once.
    const size_t excess = m_rows.size() - maxRows + maxRows / 8;
    for (size_t i = 0; i < std::min(excess, unlisted.size()); ++i) {
        m_rows.erase(unlisted[i].second);
    }
}

} // namespace citronpick::relay
