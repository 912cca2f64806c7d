#ifndef CITRONPICK_PIPELINE_QUARANTINETABLE_H
#define CITRONPICK_PIPELINE_QUARANTINETABLE_H

#include <compare>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::pipeline
{

/*!
 * Suspicion that a request crashes upstreams: the connection to \a upstream was lost while it ran
 * a request with this fingerprint.
 */
struct CrashReport {
    model::Fingerprint fingerprint;
    model::UpstreamId upstream;

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

//! Crash reports and quarantine of requests that may crash upstreams, by request fingerprint.
class QuarantineTable
{
public:
    QuarantineTable(uint32_t crashesToQuarantine, model::Duration crashReportLifetime,
                    model::Duration quarantineLifetime);

    //! Returns true when this report puts the fingerprint into quarantine.
    bool addCrashReport(const CrashReport &report, model::TimePoint now);

    /*!
     * Removes the crash reports of a fingerprint that is not in quarantine. Called when a request
     * with this fingerprint was answered, because the crashes then had another cause.
     */
    void clear(model::Fingerprint fingerprint);

    bool isCrashSuspect(model::Fingerprint fingerprint, model::TimePoint now) const;
    //! Time left in quarantine; empty when the fingerprint is not in quarantine.
    std::optional<model::Duration> remaining(model::Fingerprint fingerprint,
                                             model::TimePoint now) const;
    std::vector<model::UpstreamId> crashedUpstreams(model::Fingerprint fingerprint) const;

    size_t size() const
    {
        return m_rows.size();
    }

private:
    struct Row {
        std::vector<model::UpstreamId> upstreams;
        model::TimePoint expiresAt;
        bool isQuarantined = false;
    };

    const Row *find(model::Fingerprint fingerprint, model::TimePoint now) const;

    uint32_t m_crashesToQuarantine;
    model::Duration m_crashReportLifetime {};
    model::Duration m_quarantineLifetime {};
    absl::flat_hash_map<model::Fingerprint, Row> m_rows;
    std::deque<model::Fingerprint> m_order;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_QUARANTINETABLE_H
