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

//! The better of two random upstreams, in the own zone while that is not much busier.
struct PowerOfTwo {
    double spillFactor = 1.5; //!< Own zone's load over another's from which work leaves the zone.
    double prefixLoadFactor = 1.25; //!< Load over the pool's mean up to which a prefix decides.
    uint32_t suspectTestOdds = 2; //!< One request in so many tests a suspect that holds none.

    friend auto operator<=>(const PowerOfTwo &, const PowerOfTwo &) = default;
};

//! Baseline: one after the other among those that may take work.
struct RoundRobin {
    friend auto operator<=>(const RoundRobin &, const RoundRobin &) = default;
};

using RoutingPolicy = std::variant<PowerOfTwo, RoundRobin>;

struct RouterOptions {
    model::ZoneId zone;
    RoutingPolicy policy = PowerOfTwo {};
    uint64_t seed = 1;
};

//! The product's choice of an upstream.
class Router : public IRouter
{
public:
    Router(RouterOptions options, const upstreams::UpstreamTable &upstreams,
           const health::HealthSystem &health, const PrefixTable &prefixes);

    std::optional<Choice> choose(const StageDemand &demand, model::TimePoint now) override;

    //! Requests at the upstream as far as known, over the number it may hold; 1 is full.
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
    void collectFree(const StageDemand &demand);

    RouterOptions m_options;
    const upstreams::UpstreamTable &m_upstreams;
    const health::HealthSystem &m_health;
    const PrefixTable &m_prefixes;
    model::Random m_random;
    uint32_t m_nextRoundRobin = 0;
    // Kept between calls to spare allocations.
    std::vector<model::UpstreamRow> m_near;
    std::vector<model::UpstreamRow> m_far;
    std::vector<model::UpstreamRow> m_suspects;
    std::vector<model::UpstreamRow> m_returning;
};

} // namespace citronpick::routing

#endif // CITRONPICK_ROUTING_ROUTER_H
