#ifndef CITRONPICK_CORE_TESTS_SIXDAEMONS_H
#define CITRONPICK_CORE_TESTS_SIXDAEMONS_H

#include "support/experiments.h"
#include "support/world.h"

namespace citronpick::testing
{

constexpr size_t daemonCount = 6;

inline WorldOptions sixDaemons(uint64_t seed = 1)
{
    WorldOptions options;
    options.seed = seed;
    options.daemons = daemonCount;
    options.pipelines = onePoolFile(10, 16);
    return options;
}

inline Submission call()
{
    return {.route = "call", .label = "all"};
}

inline Submission once(const std::string &key)
{
    Submission submission {.route = "once", .label = "once", .body = "order 7"};
    submission.operationKey = key;
    return submission;
}

inline std::string memberState(World &world, size_t at, size_t of)
{
    const auto *row
        = world.core(at).fleet().members().find(model::DaemonId("d" + std::to_string(of)));
    return row ? std::string(fleet::toString(row->member.state)) : "unknown";
}

inline bool isInForceEverywhere(World &world, uint64_t revision)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (world.core(daemon).revisions().revision() != model::Revision(revision)) {
            return false;
        }
    }
    return true;
}

//! Another valid file: the same pool with another number of slots.
inline std::string otherFile(uint32_t slots)
{
    return onePoolFile(10, slots);
}

} // namespace citronpick::testing

#endif // CITRONPICK_CORE_TESTS_SIXDAEMONS_H
