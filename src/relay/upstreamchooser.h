#ifndef CITRONPICK_RELAY_UPSTREAMCHOOSER_H
#define CITRONPICK_RELAY_UPSTREAMCHOOSER_H

#include <optional>
#include <string>
#include <vector>

#include "model/random.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! Criteria for the choice of the upstream that runs a request.
struct UpstreamCriteria {
    model::PoolId pool;
    std::vector<model::UpstreamId> excluded; //!< Upstreams that were already tried.
    std::string affinity; //!< Requests with equal affinity share cached work; empty for none.
    uint64_t promptTokens = 0;
    model::ZoneId preferredZone; //!< Empty if no zone is preferred.
};

//! Chooses an upstream for one request.
class UpstreamChooser
{
public:
    UpstreamChooser(const UpstreamDirectory &directory, uint64_t seed)
        : m_directory(directory)
        , m_random(seed)
    {
    }

    //! Null if every upstream of the pool is leaving, resting or excluded.
    const Upstream *choose(const UpstreamCriteria &criteria, model::TimePoint now);

private:
    std::vector<const Upstream *> candidates(const UpstreamCriteria &criteria,
                                             model::TimePoint now) const;
    static const Upstream *byAffinity(const std::vector<const Upstream *> &candidates,
                                      const UpstreamCriteria &criteria);
    const Upstream *leastLoaded(const std::vector<const Upstream *> &candidates,
                                const UpstreamCriteria &criteria);

    const UpstreamDirectory &m_directory;
    model::Random m_random;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMCHOOSER_H
