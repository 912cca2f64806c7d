#ifndef CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H
#define CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H

#include <string>
#include <vector>

#include "support/world.h"

namespace citronpick::testing
{

//! Which decisions an experiment runs with.
enum class Policy {
    Product,
    Baseline, //!< Timer return, round robin, arrival order, unbounded retries, late refusal.
};

//! One named figure.
struct Figure {
    std::string name;
    double value = 0.0;

    friend auto operator<=>(const Figure &, const Figure &) = default;
};

//! What an experiment found.
class Figures
{
public:
    void add(std::string name, double value)
    {
        m_figures.push_back({.name = std::move(name), .value = value});
    }
    //! The figure of a name; throws std::out_of_range when there is none.
    double at(const std::string &name) const;
    const std::vector<Figure> &all() const
    {
        return m_figures;
    }

private:
    std::vector<Figure> m_figures;
};

core::CoreOptions coreOptionsFor(Policy policy);

//! A file with one pool "p" of \a upstreams named u1, u2, … and a route "call" through it.
//! Replicas take \a slots requests of 50 ms at a time and stand in zones a, b and c in turn.
std::string onePoolFile(size_t upstreams, uint32_t slots);

//! Latencies in milliseconds at a share of the complete results.
double latencyQuantile(const std::vector<const Result *> &results, double share);

//! Each returns the figures of one trouble under one policy. Same seed, same load and faults.
Figures probePassesRequestsFail(Policy policy, uint64_t seed);
Figures collapsesUnderLoad(Policy policy, uint64_t seed);
Figures flapsWithHoldDown(Policy policy, uint64_t seed);
Figures returnsCold(Policy policy, uint64_t seed);
Figures returnsIntoOverload(Policy policy, uint64_t seed);
Figures pausedProcessWakes(Policy policy, uint64_t seed);
Figures crestOfDemand(Policy policy, uint64_t seed);
Figures longBehindShort(Policy policy, uint64_t seed);
Figures slowedUpstreams(Policy policy, uint64_t seed);
Figures completeOutage(Policy policy, uint64_t seed);
Figures crashingRequest(Policy policy, uint64_t seed);
Figures floodingAccount(Policy policy, uint64_t seed);

struct Experiment {
    const char *name;
    const char *question;
    Figures (*run)(Policy, uint64_t);
};

//! All of the above.
const std::vector<Experiment> &experiments();

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H
