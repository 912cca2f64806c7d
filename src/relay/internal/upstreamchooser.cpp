#include "relay/upstreamchooser.h"

#include <algorithm>

#include "model/hash.h"

namespace citronpick::relay
{

namespace
{

//! Affinity is ignored for an upstream whose load exceeds this multiple of the pool's mean load
//! plus an allowance.
constexpr double affinityLoadFactor = 1.5;
//! The allowance as a multiple of the request's size: the number of requests of this size that may
//! run on one upstream of an idle pool.
constexpr double affinityConcurrency = 3.0;

PromptCriteria promptOf(const UpstreamCriteria &criteria)
{
    return {.sharedParts = criteria.sharedParts,
            .promptTokens = criteria.promptTokens,
            .preferredZone = criteria.preferredZone};
}

} // namespace

const Upstream *UpstreamChooser::choose(const UpstreamCriteria &criteria, model::TimePoint now)
{
    return chooseWithReasons(criteria, now).engine;
}

EnginePlace UpstreamChooser::chooseWithReasons(const UpstreamCriteria &criteria,
                                               model::TimePoint now)
{
    const std::vector<const Upstream *> usable = candidates(criteria, now);
    if (usable.empty()) {
        return {};
    }
    if (criteria.hasEngines) {
        return m_placement.place(usable, promptOf(criteria), now);
    }
    if (const Upstream *limited = limitedOne(usable, criteria)) {
        return {.engine = limited};
    }
    if (!criteria.affinity.empty()) {
        if (const Upstream *preferred = byAffinity(usable, criteria)) {
            return {.engine = preferred};
        }
    }
    return {.engine = leastLoaded(usable, criteria)};
}

void UpstreamChooser::noteSent(const UpstreamCriteria &criteria, model::TimePoint now)
{
    if (criteria.hasEngines) {
        m_placement.noteSent(promptOf(criteria), now);
    }
}

void UpstreamChooser::noteFirstEvent(const model::UpstreamId &engine, uint64_t tokens,
                                     model::Duration took, model::TimePoint now)
{
    m_placement.speeds().note(engine, tokens, took, now);
}

std::vector<const Upstream *> UpstreamChooser::candidates(const UpstreamCriteria &criteria,
                                                          model::TimePoint now) const
{
    std::vector<const Upstream *> preferred;
    std::vector<const Upstream *> usable;
    std::vector<const Upstream *> avoided;
    for (const Upstream *upstream : m_directory.inPool(criteria.pool)) {
        if (isExcluded(*upstream, criteria) || !UpstreamDirectory::isAvailable(*upstream, now)) {
            continue;
        }
        const bool isUsable = UpstreamDirectory::isUsable(*upstream, now);
        (isUsable ? usable : avoided).push_back(upstream);
        if (isUsable && upstream->listing.version == criteria.preferredVersion) {
            preferred.push_back(upstream);
        }
    }
    if (!criteria.preferredVersion.isEmpty() && !preferred.empty()) {
        return preferred;
    }
    // If all upstreams failed recently, the cause is probably the load or this daemon's network
    // path. Refusing every request would be worse than trying them.
    return usable.empty() ? avoided : usable;
}

bool UpstreamChooser::isExcluded(const Upstream &upstream, const UpstreamCriteria &criteria)
{
    const std::optional<model::SoftwareVersion> &required = criteria.requiredVersion;
    const bool isOtherVersion
        = required && (required->isEmpty() || upstream.listing.version != *required);
    return isOtherVersion
           || std::find(criteria.excluded.begin(), criteria.excluded.end(), upstream.listing.id)
                  != criteria.excluded.end();
}

// Few daemons send to a limited upstream, so each of these sends what the others would have sent as
// well. Otherwise, in a large fleet, it would get a small part of what it takes.
const Upstream *UpstreamChooser::limitedOne(const std::vector<const Upstream *> &candidates,
                                            const UpstreamCriteria &criteria)
{
    const size_t upstreams = m_directory.inPool(criteria.pool).size();
    for (const Upstream *upstream : candidates) {
        if (!upstream->limit || !upstream->limitShare.isSender
            || upstream->consecutiveFailures > 0) {
            continue;
        }
        const auto senders = static_cast<double>(std::max<size_t>(1, upstream->limitShare.senders));
        const double share = static_cast<double>(m_directory.daemonCount())
                             / (static_cast<double>(upstreams) * senders);
        if (m_random.uniformDouble() < share) {
            return upstream;
        }
    }
    return nullptr;
}

const Upstream *UpstreamChooser::byAffinity(const std::vector<const Upstream *> &candidates,
                                            const UpstreamCriteria &criteria)
{
    double total = 0.0;
    for (const Upstream *upstream : candidates) {
        total += static_cast<double>(upstream->inFlightTokens);
    }
    const double mean = total / static_cast<double>(candidates.size());
    const double limit = affinityLoadFactor * mean
                         + affinityConcurrency * static_cast<double>(criteria.promptTokens);
    const Upstream *best = nullptr;
    uint64_t bestRank = 0;
    for (const Upstream *upstream : candidates) {
        const auto load = static_cast<double>(upstream->inFlightTokens + criteria.promptTokens);
        const uint64_t rank
            = model::hash64(upstream->listing.id.text(), model::hash64(criteria.affinity));
        if (load <= limit && (!best || rank > bestRank)) {
            best = upstream;
            bestRank = rank;
        }
    }
    return best;
}

const Upstream *UpstreamChooser::leastLoaded(const std::vector<const Upstream *> &candidates,
                                             const UpstreamCriteria &criteria)
{
    const Upstream *best = nullptr;
    double bestLoad = 0.0;
    const uint32_t offset = m_random.below(static_cast<uint32_t>(candidates.size()));
    for (size_t i = 0; i < candidates.size(); ++i) {
        const Upstream *upstream = candidates[(i + offset) % candidates.size()];
        // Half a request is too little to outweigh a difference in load; it only breaks ties.
        const double distance = upstream->listing.zone == criteria.preferredZone ? 0.0 : 0.5;
        const double slots = std::max(1U, upstream->listing.slots);
        const double load = (upstream->inFlight + distance) / slots;
        if (!best || load < bestLoad) {
            best = upstream;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace citronpick::relay
