#ifndef CITRONPICK_ROUTING_ROUTER_H
#define CITRONPICK_ROUTING_ROUTER_H

#include <variant>
#include <vector>

#include "health/healthsystem.h"
#include "model/ids.h"
#include "model/random.h"
#include "routing/irouter.h"
#include "routing/prefixtable.h"
#include "upstreams/upstreamtable.h"

namespace citronpick::routing
{

/*! Power of two choices: the less loaded of two random upstreams. Upstreams of the own availability
 * zone are preferred unless they are much more loaded than those of other zones. */
struct PowerOfTwo {
    //! Requests leave the own zone when its load exceeds that of another zone by this factor.
    double spillFactor = 1.5;
    //! A cached prefix is used only up to this multiple of the mean load of the free upstreams.
    double prefixLoadFactor = 1.25;
    //! On average one of this many requests tests a suspect upstream that has none in flight.
    uint32_t requestsPerSuspectTest = 2;

    friend auto operator<=>(const PowerOfTwo &, const PowerOfTwo &) = default;
};

//! Baseline for comparisons: round robin over all upstreams that can take a request.
struct RoundRobin {
    friend auto operator<=>(const RoundRobin &, const RoundRobin &) = default;
};

using RoutingPolicy = std::variant<PowerOfTwo, RoundRobin>;

struct RouterOptions {
    model::ZoneId zone;
    RoutingPolicy policy = PowerOfTwo {};
    uint64_t seed = 1;
};

//! Chooses upstreams by the configured routing policy.
class Router : public IRouter
{
public:
    Router(RouterOptions options, const upstreams::UpstreamTable &upstreams,
           const health::HealthSystem &health, const PrefixTable &prefixes);

    std::optional<Choice> choose(const StageDemand &demand, model::TimePoint now) override;

    /*! Estimated load of an upstream if it got one more request: requests in flight, scaled by the
     * upstream's slowness and divided by its concurrency limit. */
    double load(model::UpstreamRow upstream, model::TimePoint now) const;

private:
    bool isEligible(model::UpstreamRow upstream, const StageDemand &demand) const;
    std::optional<Choice> chooseReturning(const StageDemand &demand);
    std::optional<Choice> chooseByPrefix(const PowerOfTwo &policy, const StageDemand &demand,
                                         model::TimePoint now) const;
    std::optional<Choice> choosePowerOfTwo(const PowerOfTwo &policy, const StageDemand &demand,
                                           model::TimePoint now);
    std::optional<Choice> chooseRoundRobin(const StageDemand &demand);
    model::UpstreamRow betterOfTwo(const std::vector<model::UpstreamRow> &rows,
                                   model::TimePoint now);
    void collectCandidates(const StageDemand &demand);

    RouterOptions m_options;
    const upstreams::UpstreamTable &m_upstreams;
    const health::HealthSystem &m_health;
    const PrefixTable &m_prefixes;
    model::Random m_random;
    uint32_t m_nextRoundRobin = 0;
    // Scratch buffers of choose(), members so that their memory is reused.
    std::vector<model::UpstreamRow> m_ownZoneCandidates;
    std::vector<model::UpstreamRow> m_otherZoneCandidates;
    std::vector<model::UpstreamRow> m_suspects;
    std::vector<model::UpstreamRow> m_returning;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_ROUTER_H
