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

//! What an upstream last said of itself.
struct LoadReport {
    uint32_t inFlight = 0; //!< Requests running or queued there, from all daemons.
    uint32_t ownInFlight = 0; //!< Of those, this daemon's at the time of the report.
    model::TimePoint at = model::TimePoint::min();

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

//! One upstream as this daemon sees it.
struct Upstream {
    config::UpstreamConfig config;
    model::PoolRow pool;
    uint64_t generation = 0; //!< Changes when the row is given to another upstream.
    bool isRetired = false; //!< No longer in the configuration.
    model::TimePoint retiredAt;
    std::optional<model::TimePoint> leavingSince;
    uint32_t inFlight = 0;
    uint32_t struckInFlight = 0; //!< Requests here that were on an upstream when it crashed.
    ConcurrencyLimit limit;
    LoadReport report;
    double slowness = 1.0; //!< Recent answer time over the pool's usual one.

    bool takesNewWork() const
    {
        return !isRetired && !leavingSince;
    }
};

//! One pool and its upstreams.
struct Pool {
    config::PoolConfig config;
    bool isRetired = false;
    bool hasIdempotentStage = true;
    model::QuantileSketch ratios; //!< Recent answer times over expected ones.
    std::vector<model::UpstreamRow> upstreams;
};

//! Upstreams and pools. Rows keep their positions while a request may still refer to them.
class UpstreamTable
{
public:
    //! Takes a configuration over; \a daemonCount sizes the first concurrency limits.
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
    void keepUnchanged(const config::UpstreamConfig &config, model::PoolRow pool);
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
