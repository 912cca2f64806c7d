#ifndef CITRONPICK_RELAY_UPSTREAMCHOOSER_H
#define CITRONPICK_RELAY_UPSTREAMCHOOSER_H

#include <optional>
#include <string>
#include <vector>

#include "model/random.h"
#include "relay/engineplacement.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! Criteria for the choice of the upstream that runs a request.
struct UpstreamCriteria {
    model::PoolId pool;
    std::vector<model::UpstreamId> excluded; //!< Upstreams that were already tried.
    std::string affinity; //!< Requests with equal affinity share cached work; empty for none.
    uint64_t promptTokens = 0;
    bool hasEngines = false; //!< The pool's upstreams are model engines.
    std::vector<PromptPart> sharedParts; //!< Of the prompt for a model engine, in order.
    model::ZoneId preferredZone; //!< Empty if no zone is preferred.
    //! Only upstreams of this version, as the stream began there; none if it is empty.
    std::optional<model::SoftwareVersion> requiredVersion;
    model::SoftwareVersion preferredVersion; //!< Empty if no version is preferred.
};

//! Chooses an upstream for one request.
class UpstreamChooser
{
public:
    UpstreamChooser(const UpstreamDirectory &directory, uint64_t seed)
        : m_directory(directory)
        , m_placement(seed)
        , m_random(seed)
    {
    }

    //! Null if every upstream of the pool is leaving, resting or excluded.
    const Upstream *choose(const UpstreamCriteria &criteria, model::TimePoint now);
    //! Like choose(), with the reasons; those are empty for a pool without model engines.
    EnginePlace chooseWithReasons(const UpstreamCriteria &criteria, model::TimePoint now);
    //! A request is sent.
    void noteSent(const UpstreamCriteria &criteria, model::TimePoint now);
    //! An engine began to answer \a took after a request was sent of which it had to read
    //! \a tokens.
    void noteFirstEvent(const model::UpstreamId &engine, uint64_t tokens, model::Duration took,
                        model::TimePoint now);
    size_t measuredEngines() const
    {
        return m_placement.speeds().size();
    }

private:
    std::vector<const Upstream *> candidates(const UpstreamCriteria &criteria,
                                             model::TimePoint now) const;
    static bool isExcluded(const Upstream &upstream, const UpstreamCriteria &criteria);
    //! An upstream that takes little from the fleet and has a turn for this daemon, if this request
    //! is one of those that it should get.
    const Upstream *limitedOne(const std::vector<const Upstream *> &candidates,
                               const UpstreamCriteria &criteria);
    static const Upstream *byAffinity(const std::vector<const Upstream *> &candidates,
                                      const UpstreamCriteria &criteria);
    const Upstream *leastLoaded(const std::vector<const Upstream *> &candidates,
                                const UpstreamCriteria &criteria);

    const UpstreamDirectory &m_directory;
    EnginePlacement m_placement;
    model::Random m_random;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_UPSTREAMCHOOSER_H
