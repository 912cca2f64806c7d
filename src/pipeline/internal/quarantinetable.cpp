#include "pipeline/quarantinetable.h"

#include <algorithm>

namespace citronpick::pipeline
{

namespace
{

constexpr size_t maxRows = 4096; //!< The oldest fingerprints are removed beyond this.

} // namespace

QuarantineTable::QuarantineTable(uint32_t crashesToQuarantine, model::Duration crashReportLifetime,
                                 model::Duration quarantineLifetime)
    : m_crashesToQuarantine(crashesToQuarantine)
    , m_crashReportLifetime(crashReportLifetime)
    , m_quarantineLifetime(quarantineLifetime)
{
}

bool QuarantineTable::addCrashReport(const CrashReport &report, model::TimePoint now)
{
    const bool isKnown = m_rows.contains(report.fingerprint);
    Row &row = m_rows[report.fingerprint];
    if (!isKnown) {
        m_order.push_back(report.fingerprint);
    }
    if (row.expiresAt <= now) {
        row = Row {};
    }
    const bool isNew = std::find(row.upstreams.begin(), row.upstreams.end(), report.upstream)
                       == row.upstreams.end();
    if (isNew) {
        row.upstreams.push_back(report.upstream);
    }
    const bool isEnough = row.upstreams.size() >= m_crashesToQuarantine;
    const bool isNewlyQuarantined = isEnough && !row.isQuarantined;
    row.isQuarantined = isEnough;
    row.expiresAt = now + (isEnough ? m_quarantineLifetime : m_crashReportLifetime);
    while (m_order.size() > maxRows) {
        m_rows.erase(m_order.front());
        m_order.pop_front();
    }
    return isNewlyQuarantined;
}

void QuarantineTable::clear(model::Fingerprint fingerprint)
{
    const auto it = m_rows.find(fingerprint);
    if (it != m_rows.end() && !it->second.isQuarantined) {
        it->second.upstreams.clear();
        it->second.expiresAt = model::TimePoint();
    }
}

bool QuarantineTable::isCrashSuspect(model::Fingerprint fingerprint, model::TimePoint now) const
{
    return find(fingerprint, now) != nullptr;
}

std::optional<model::Duration> QuarantineTable::remaining(model::Fingerprint fingerprint,
                                                          model::TimePoint now) const
{
    const Row *row = find(fingerprint, now);
    if (!row || !row->isQuarantined) {
        return std::nullopt;
    }
    return row->expiresAt - now;
}

std::vector<model::UpstreamId>
QuarantineTable::crashedUpstreams(model::Fingerprint fingerprint) const
{
    const auto it = m_rows.find(fingerprint);
    return it == m_rows.end() ? std::vector<model::UpstreamId>() : it->second.upstreams;
}

const QuarantineTable::Row *QuarantineTable::find(model::Fingerprint fingerprint,
                                                  model::TimePoint now) const
{
    const auto it = m_rows.find(fingerprint);
    const bool isKeyValid = it != m_rows.end() && it->second.expiresAt > now;
    return isKeyValid && !it->second.upstreams.empty() ? &it->second : nullptr;
}

} // namespace citronpick::pipeline
