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

//! What is known of a fingerprint.
struct QuarantineState {
    size_t crashes = 0; //!< Number of upstreams that failed.
    bool isQuarantined = false;

    friend auto operator<=>(const QuarantineState &, const QuarantineState &) = default;
};

struct QuarantineOptions {
    uint32_t crashesToQuarantine = 3; //!< Number of upstreams that have to fail.
    //! Minimum time between the first and the last of these failures.
    model::Duration minCrashSpan {};
    model::Duration crashReportLifetime = model::seconds(60);
    model::Duration quarantineLifetime = model::seconds(600);
};

//! Crash reports and quarantine of what may crash upstreams: requests, or parts of their prompts.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineOptions options);

    //! Returns true when this report puts the fingerprint into quarantine.
    bool addCrashReport(const CrashReport &report, model::TimePoint now);

    //! Puts the fingerprint into quarantine as of \a at. Returns false if it already was, or if it
    //! was released later.
    bool quarantine(model::Fingerprint fingerprint, model::TimePoint at);

    /*!
     * Removes the crash reports of a fingerprint that is not in quarantine. Called when a request
     * with this fingerprint was answered, because the crashes then had another cause.
     */
    void clear(model::Fingerprint fingerprint);

    //! Removes the crash reports of a fingerprint and ends its quarantine unless it began after
    //! \a at. Returns what was removed.
    QuarantineState release(model::Fingerprint fingerprint, model::TimePoint at);

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
        model::TimePoint firstReportAt;
        model::TimePoint quarantinedAt;
        model::TimePoint releasedAt;
        model::TimePoint expiresAt;
        bool isQuarantined = false;
    };

    const Row *find(model::Fingerprint fingerprint, model::TimePoint now) const;
    Row &insert(model::Fingerprint fingerprint, model::TimePoint now);

    QuarantineOptions m_options;
    absl::flat_hash_map<model::Fingerprint, Row> m_rows;
    std::deque<model::Fingerprint> m_order;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_QUARANTINETABLE_H
