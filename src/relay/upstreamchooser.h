#ifndef CITRONPICK_RELAY_UPSTREAMCHOOSER_H
#define CITRONPICK_RELAY_UPSTREAMCHOOSER_H

#include <optional>
#include <string>
#include <vector>

#include "model/random.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! What a request asks of the upstream that runs it.
struct ChoiceDemand {
    model::PoolId pool;
    std::vector<model::UpstreamId> excluded; //!< Tried before.
    std::string affinity; //!< Requests of equal affinity share cached work; empty for none.
    uint64_t promptTokens = 0;
    model::ZoneId preferredZone; //!< Empty for none.
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

    //! Null when the pool has none that may take work and was not tried before.
    const Upstream *choose(const ChoiceDemand &demand, model::TimePoint now);

private:
    std::vector<const Upstream *> candidates(const ChoiceDemand &demand,
                                             model::TimePoint now) const;
    static const Upstream *byAffinity(const std::vector<const Upstream *> &candidates,
                                      const ChoiceDemand &demand);
    const Upstream *leastLoaded(const std::vector<const Upstream *> &candidates,
                                const ChoiceDemand &demand);

    const UpstreamDirectory &m_directory;
    model::Random m_random;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMCHOOSER_H
