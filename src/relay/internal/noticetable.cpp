#include "relay/noticetable.h"

#include <algorithm>
#include <vector>

namespace citronpick::relay
{

namespace
{

//! Several times the upstreams of the largest deployment.
constexpr size_t maxRows = 4096;

UpstreamStarts merged(const UpstreamStarts &left, const UpstreamStarts &right)
{
    return {.last = std::max(left.last, right.last), .recent = std::max(left.recent, right.recent)};
}

} // namespace

NoticeTable::Row &NoticeTable::rowOf(const model::UpstreamId &upstream)
{
    Row &row = m_rows[upstream];
    row.addedAs = ++m_additions;
    return row;
}

bool NoticeTable::addLeaving(const model::UpstreamId &upstream, const UpstreamStarts &starts)
{
    const bool isKnown = isLeaving(upstream, starts.last);
    Row &row = rowOf(upstream);
    row.isLeaving = true;
    row.leaving = merged(row.leaving, starts);
    return !isKnown;
}

bool NoticeTable::isLeaving(const model::UpstreamId &upstream, uint64_t incarnation) const
{
    const auto it = m_rows.find(upstream);
    return it != m_rows.end() && it->second.isLeaving && it->second.leaving.contains(incarnation);
}

void NoticeTable::addRest(const model::UpstreamId &upstream, const UpstreamStarts &starts,
                          model::TimePoint until)
{
    const model::TimePoint known = restUntil(upstream, starts.last);
    Row &row = rowOf(upstream);
    row.restUntil = std::max(known, until);
    row.resting = merged(row.resting, starts);
}

model::TimePoint NoticeTable::restUntil(const model::UpstreamId &upstream,
                                        uint64_t incarnation) const
{
    const auto it = m_rows.find(upstream);
    const bool isResting = it != m_rows.end() && it->second.resting.contains(incarnation);
    return isResting ? it->second.restUntil : model::TimePoint();
}

void NoticeTable::setAddress(const model::UpstreamId &upstream, const config::Endpoint &address)
{
    const auto it = m_rows.find(upstream);
    if (it != m_rows.end()) {
        it->second.address = address;
    }
}

bool NoticeTable::isClosed(const config::Endpoint &address, model::TimePoint now) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto &entry) {
        const Row &row = entry.second;
        return row.address == address && (row.isLeaving || now < row.restUntil);
    });
}

void NoticeTable::limit(const std::function<bool(const model::UpstreamId &)> &isListed)
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
