#include "relay/versionhistory.h"

#include <algorithm>

namespace citronpick::relay
{

namespace
{

//! Longer than callers take up a stream again after it began.
constexpr model::Duration retention = model::seconds(60);
//! Daemons that reach the registry, or each other, know of a change within this time of each other.
constexpr model::Duration viewLag = model::seconds(2);

} // namespace

void VersionHistory::set(const VersionCounts &counts, model::TimePoint now)
{
    // While nothing is listed, no stream begins.
    if (counts.empty() || (!m_epochs.empty() && m_epochs.back().counts == counts)) {
        return;
    }
    m_epochs.push_back({.earliest = now, .latest = now, .counts = counts});
    while (m_epochs.size() > 1 && m_epochs[1].latest + retention < now) {
        m_epochs.pop_front();
    }
}

void VersionHistory::setPast(const std::vector<VersionEpoch> &past)
{
    if (m_epochs.empty() || past.empty()) {
        return;
    }
    m_epochs.front().earliest = past.back().earliest;
    m_epochs.front().latest = past.back().latest;
    m_epochs.insert(m_epochs.begin(), past.begin(), past.end() - 1);
}

const VersionCounts &VersionHistory::current() const
{
    static const VersionCounts none;
    return m_epochs.empty() ? none : m_epochs.back().counts;
}

// An epoch ends when the next one begins. The first known one is taken for what was there before.
std::vector<const VersionEpoch *> VersionHistory::inForce(model::TimePoint from,
                                                          model::TimePoint until) const
{
    std::vector<const VersionEpoch *> result;
    for (size_t i = 0; i < m_epochs.size(); ++i) {
        const model::TimePoint end
            = i + 1 < m_epochs.size() ? m_epochs[i + 1].latest : model::TimePoint::max() - viewLag;
        if ((i == 0 || m_epochs[i].earliest <= until + viewLag) && end + viewLag >= from) {
            result.push_back(&m_epochs[i]);
        }
    }
    return result;
}

std::set<model::SoftwareVersion> VersionHistory::versionsOf(const model::CallerRequestId &attempt,
                                                            model::TimePoint from,
                                                            model::TimePoint until) const
{
    std::set<model::SoftwareVersion> versions;
    for (const VersionEpoch *epoch : inForce(from, until)) {
        if (!attempt.isEmpty()) {
            versions.insert(placedVersion(attempt, epoch->counts));
            continue;
        }
        for (const auto &[version, count] : epoch->counts) {
            versions.insert(version);
        }
    }
    return versions;
}

} // namespace citronpick::relay
