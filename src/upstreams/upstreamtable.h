#ifndef CITRONPICK_UPSTREAMS_UPSTREAMTABLE_H
#define CITRONPICK_UPSTREAMS_UPSTREAMTABLE_H

#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "config/configuration.h"
#include "model/ids.h"
#include "model/quantilesketch.h"
#include "model/row.h"
#include "model/time.h"
#include "upstreams/concurrencylimit.h"

namespace citronpick::upstreams
{

//! The latest load report of an upstream.
struct LoadReport {
    //! Requests from all daemons that are running or queued at the upstream.
    uint32_t inFlight = 0;
    uint32_t ownInFlight = 0; //!< Requests of this daemon among them at the time of the report.
    model::TimePoint at = model::TimePoint::min();

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

//! Configuration and run-time state of one upstream on this daemon.
struct Upstream {
    config::UpstreamConfig config;
    model::PoolRow pool;
    uint64_t generation = 0; //!< Changes when the row is reused for another upstream.
    bool isRetired = false; //!< No longer in the configuration.
    model::TimePoint retiredAt;
    std::optional<model::TimePoint> leavingSince;
    uint32_t inFlight = 0;
    //! Requests in flight whose fingerprint is suspected of crashing upstreams.
    uint32_t crashSuspectsInFlight = 0;
    ConcurrencyLimit limit;
    LoadReport report;
    double slowness = 1.0; //!< Recent answer time divided by the pool's typical answer time.

    bool takesNewWork() const
    {
        return !isRetired && !leavingSince;
    }
};

//! Configuration and run-time state of one pool.
struct Pool {
    config::PoolConfig config;
    bool isRetired = false;
    bool hasIdempotentStage = true;
    model::QuantileSketch ratios; //!< Recent answer times divided by the expected answer times.
    std::vector<model::UpstreamRow> upstreams;
};

//! All upstreams and pools. A row keeps its position while requests may still refer to it.
class UpstreamTable
{
public:
    /*! Applies a configuration. New upstreams start with the pool's concurrency limit divided by
     * \a daemonCount. */
    void apply(const config::Configuration &configuration, uint32_t daemonCount,
               model::TimePoint now);

    Upstream &at(model::UpstreamRow row)
    {
        return m_upstreams[row.value];
    }
    const Upstream &at(model::UpstreamRow row) const
    {
        return m_upstreams[row.value];
    }
    Pool &at(model::PoolRow row)
    {
        return m_pools[row.value];
    }
    const Pool &at(model::PoolRow row) const
    {
        return m_pools[row.value];
    }

    const std::vector<Upstream> &upstreams() const
    {
        return m_upstreams;
    }
    const std::vector<Pool> &pools() const
    {
        return m_pools;
    }

    std::optional<model::UpstreamRow> find(const model::UpstreamId &id) const;
    std::optional<model::PoolRow> find(const model::PoolId &id) const;

private:
    model::PoolRow applyPool(const config::PoolConfig &config);
    void reactivateUnchanged(const config::UpstreamConfig &config, model::PoolRow pool);
    model::UpstreamRow rowFor(const config::UpstreamConfig &config, model::PoolRow pool,
                              uint32_t daemonCount, model::TimePoint now);
    model::UpstreamRow freeUpstreamRow(model::TimePoint now);

    std::vector<Upstream> m_upstreams;
    std::vector<Pool> m_pools;
    uint64_t m_lastGeneration = 0;
    absl::flat_hash_map<model::UpstreamId, model::UpstreamRow> m_upstreamIndex;
    absl::flat_hash_map<model::PoolId, model::PoolRow> m_poolIndex;
};

} // namespace citronpick::upstreams

#endif // CITRONPICK_UPSTREAMS_UPSTREAMTABLE_H
