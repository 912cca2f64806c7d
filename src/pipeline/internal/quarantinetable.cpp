#include "pipeline/quarantinetable.h"

#include <algorithm>
#include <utility>

namespace citronpick::pipeline
{

namespace
{

constexpr size_t maxRows = 4096; //!< The oldest fingerprints are removed beyond this.

} // namespace

QuarantineTable::QuarantineTable(QuarantineOptions options)
    : m_options(options)
{
}

// Returns the row of the fingerprint; a row that has expired starts anew.
QuarantineTable::Row &QuarantineTable::insert(model::Fingerprint fingerprint, model::TimePoint now)
{
    if (!m_rows.contains(fingerprint)) {
        m_order.push_back(fingerprint);
        while (m_order.size() > maxRows) {
            m_rows.erase(m_order.front());
            m_order.pop_front();
        }
    }
    Row &row = m_rows[fingerprint];
    if (row.expiresAt <= now) {
        row = Row {};
    }
    return row;
}

bool QuarantineTable::addCrashReport(const CrashReport &report, model::TimePoint now)
{
    Row &row = insert(report.fingerprint, now);
    if (row.upstreams.empty()) {
        row.firstReportAt = now;
    }
    if (std::find(row.upstreams.begin(), row.upstreams.end(), report.upstream)
        == row.upstreams.end()) {
        row.upstreams.push_back(report.upstream);
    }
    const bool isEnough = row.upstreams.size() >= m_options.crashesToQuarantine
                          && now - row.firstReportAt >= m_options.minCrashSpan;
    if (isEnough) {
        return quarantine(report.fingerprint, now);
    }
    if (!row.isQuarantined) {
        row.expiresAt = now + m_options.crashReportLifetime;
    }
    return false;
}

bool QuarantineTable::quarantine(model::Fingerprint fingerprint, model::TimePoint at)
{
    Row &row = insert(fingerprint, at);
    if (at < row.releasedAt) {
        return false;
    }
    row.quarantinedAt = std::max(row.quarantinedAt, at);
    row.expiresAt = row.quarantinedAt + m_options.quarantineLifetime;
    return !std::exchange(row.isQuarantined, true);
}

void QuarantineTable::clear(model::Fingerprint fingerprint)
{
    const auto it = m_rows.find(fingerprint);
    if (it != m_rows.end() && !it->second.isQuarantined) {
        it->second.upstreams.clear();
        it->second.expiresAt = model::TimePoint();
    }
}

QuarantineState QuarantineTable::release(model::Fingerprint fingerprint, model::TimePoint at)
{
    const auto it = m_rows.find(fingerprint);
    if (it == m_rows.end() || it->second.expiresAt <= at || at < it->second.quarantinedAt) {
        return {};
    }
    Row &row = it->second;
    const QuarantineState removed {.crashes = row.upstreams.size(),
                                   .isQuarantined = row.isQuarantined};
    row = {.releasedAt = at, .expiresAt = at + m_options.crashReportLifetime};
    return removed;
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
    const bool isKnown = isKeyValid && (it->second.isQuarantined || !it->second.upstreams.empty());
    return isKnown ? &it->second : nullptr;
}

} // namespace citronpick::pipeline
