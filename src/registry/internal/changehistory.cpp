#include "registry/changehistory.h"

#include <algorithm>

namespace citronpick::registry
{

namespace
{

//! Each gap is a loss of the registry's history; older ones are merged into the start.
constexpr size_t maxGaps = 8;

} // namespace

void ChangeHistory::start(uint64_t revision)
{
    m_startRevision = revision;
    m_gaps.clear();
    m_removals.clear();
}

void ChangeHistory::skip(uint64_t before, uint64_t now)
{
    m_gaps.push_back({.from = before, .to = now});
    if (m_gaps.size() > maxGaps) {
        m_startRevision = std::max(m_startRevision, m_gaps.front().to);
        m_gaps.pop_front();
    }
}

void ChangeHistory::recordValue(const std::string &key)
{
    m_removals.erase(key);
}

void ChangeHistory::recordRemoval(const std::string &key, uint64_t revision)
{
    uint64_t &known = m_removals[key];
    known = std::max(known, revision);
    if (m_removals.size() <= m_maxRemovals) {
        return;
    }
    const auto oldest = std::min_element(
        m_removals.begin(), m_removals.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    m_startRevision = std::max(m_startRevision, oldest->second);
    m_removals.erase(oldest);
}

bool ChangeHistory::covers(uint64_t revision) const
{
    return revision >= m_startRevision
           && std::none_of(m_gaps.begin(), m_gaps.end(), [revision](const Gap &gap) {
                  return revision > gap.from && revision < gap.to;
              });
}

std::vector<std::pair<std::string, uint64_t>> ChangeHistory::removalsAfter(uint64_t revision) const
{
    std::vector<std::pair<std::string, uint64_t>> removals;
    for (const auto &[key, removedAt] : m_removals) {
        if (removedAt > revision) {
            removals.emplace_back(key, removedAt);
        }
    }
    return removals;
}

} // namespace citronpick::registry
