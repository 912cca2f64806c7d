#ifndef CITRONPICK_CORE_TESTS_SIXDAEMONS_H
#define CITRONPICK_CORE_TESTS_SIXDAEMONS_H

#include "support/experiments.h"
#include "support/fleetsimulation.h"

namespace citronpick::testing
{

constexpr size_t daemonCount = 6;

inline SimulationOptions sixDaemonOptions(uint64_t seed = 1)
{
    SimulationOptions options;
    options.seed = seed;
    options.daemons = daemonCount;
    options.pipelines = onePoolConfiguration(10, 16);
    return options;
}

inline Submission plainSubmission()
{
    return {.route = "call", .label = "all"};
}

inline Submission submissionWithKey(const std::string &key)
{
    Submission submission {.route = "once", .label = "once", .body = "order 7"};
    submission.operationKey = key;
    return submission;
}

//! State of daemon \a member as seen by daemon \a observer.
inline std::string memberState(FleetSimulation &simulation, size_t observer, size_t member)
{
    const auto *row = simulation.core(observer).fleet().members().find(
        model::DaemonId("d" + std::to_string(member)));
    return row ? std::string(fleet::toString(row->member.state)) : "unknown";
}

inline bool isInForceEverywhere(FleetSimulation &simulation, uint64_t revision)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (simulation.core(daemon).revisions().revision() != model::Revision(revision)) {
            return false;
        }
    }
    return true;
}

//! A valid configuration file that differs from the initial one in the number of slots.
inline std::string configurationWithSlots(uint32_t slots)
{
    return onePoolConfiguration(10, slots);
}

} // namespace citronpick::testing

#endif // CITRONPICK_CORE_TESTS_SIXDAEMONS_H
