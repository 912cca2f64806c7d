#ifndef CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H
#define CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H

#include <string>
#include <vector>

#include "support/fleetsimulation.h"

namespace citronpick::testing
{

//! Policies that an experiment runs with.
enum class Policy {
    Product, //!< The default policies.
    Baseline, //!< Timed return, round robin, arrival order, unbounded retries, late refusal.
};

//! A named measurement.
struct Figure {
    std::string name;
    double value = 0.0;

    friend auto operator<=>(const Figure &, const Figure &) = default;
};

//! Measurements of an experiment.
class Figures
{
public:
    void add(std::string name, double value)
    {
        m_figures.push_back({.name = std::move(name), .value = value});
    }
    //! Value of a measurement; throws std::out_of_range when the name is unknown.
    double at(const std::string &name) const;
    const std::vector<Figure> &all() const
    {
        return m_figures;
    }

private:
    std::vector<Figure> m_figures;
};

core::CoreOptions coreOptionsFor(Policy policy);

//! Configuration file with a pool "p" of \a upstreams named u1, u2, … and the services "call" and
//! "once". Each upstream runs \a slots requests of 50 ms at a time; zones are a, b and c in turn.
std::string onePoolConfiguration(size_t upstreams, uint32_t slots);

//! Quantile of the latencies of complete results, in milliseconds; \a share is from 0 to 1.
double latencyQuantile(const std::vector<const Result *> &results, double share);

//! Each runs one fault scenario under a policy. The same seed gives the same load and faults.
Figures probePassesRequestsFail(Policy policy, uint64_t seed);
Figures collapsesUnderLoad(Policy policy, uint64_t seed);
Figures flapsWithHoldDown(Policy policy, uint64_t seed);
Figures returnsCold(Policy policy, uint64_t seed);
Figures returnsIntoOverload(Policy policy, uint64_t seed);
Figures processResumesAfterPause(Policy policy, uint64_t seed);
Figures demandPeak(Policy policy, uint64_t seed);
Figures headOfLineBlocking(Policy policy, uint64_t seed);
Figures slowedUpstreams(Policy policy, uint64_t seed);
Figures completeOutage(Policy policy, uint64_t seed);
Figures crashingRequest(Policy policy, uint64_t seed);
Figures floodingAccount(Policy policy, uint64_t seed);

struct Experiment {
    const char *name;
    const char *description;
    Figures (*run)(Policy, uint64_t);
};

//! All experiments declared above.
const std::vector<Experiment> &experiments();

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_EXPERIMENTS_H
