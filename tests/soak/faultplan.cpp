#include "soak/faultplan.h"

namespace citronpick::soak
{

namespace
{

constexpr uint32_t kindCount = static_cast<uint32_t>(FaultKind::ConfigurationChanges) + 1;
//! This and later kinds affect upstreams and configurations only, not daemons or the store.
constexpr auto firstUpstreamKind = static_cast<uint32_t>(FaultKind::ReplicaSheds);
//! Every third seed gets only such faults: most time limits are checked only for daemons that had
//! no disruption for some seconds.
constexpr uint64_t upstreamPlanInterval = 3;
//! Longer than the time limit after which a leaving upstream must get no new work.
constexpr model::Duration minLeavingDuration = model::seconds(4);
//! Interval between faults: shorter than the duration of most faults, so that faults overlap.
constexpr model::Duration minGap = model::milliseconds(100);
constexpr model::Duration gapRange = model::milliseconds(700);
constexpr model::Duration minDuration = model::milliseconds(300);
constexpr model::Duration durationRange = model::milliseconds(3700);

} // namespace

std::string_view toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::KillDaemon:
        return "kill-daemon";
    case FaultKind::KillAll:
        return "kill-all";
    case FaultKind::StopDaemon:
        return "stop-daemon";
    case FaultKind::PauseDaemon:
        return "pause-daemon";
    case FaultKind::HangUp:
        return "hang-up";
    case FaultKind::StoreLink:
        return "store-link";
    case FaultKind::ReplicaLink:
        return "replica-link";
    case FaultKind::StoreBusy:
        return "store-busy";
    case FaultKind::StoreSilent:
        return "store-silent";
    case FaultKind::StoreDropsHistory:
        return "store-forgets";
    case FaultKind::ReplicaSheds:
        return "replica-sheds";
    case FaultKind::ReplicaBreaks:
        return "replica-breaks";
    case FaultKind::ReplicaFails:
        return "replica-fails";
    case FaultKind::ReplicaLeaves:
        return "replica-leaves";
    case FaultKind::ConfigurationChanges:
        return "configuration-changes";
    }
    return "unknown";
}

std::vector<PlannedFault> planFaults(uint64_t seed, model::Duration length)
{
    model::Random random(seed);
    const uint32_t firstKind = seed % upstreamPlanInterval == 0 ? firstUpstreamKind : 0;
    std::vector<PlannedFault> plan;
    model::Duration at {};
    while (true) {
        at += minGap + model::scaled(gapRange, random.uniformDouble());
        if (at >= length) {
            return plan;
        }
        const auto kind = static_cast<FaultKind>(firstKind + random.below(kindCount - firstKind));
        const model::Duration shortest
            = kind == FaultKind::ReplicaLeaves ? minLeavingDuration : minDuration;
        plan.push_back({.at = at,
                        .duration = shortest + model::scaled(durationRange, random.uniformDouble()),
                        .kind = kind,
                        .target = random.below(1U << 16U),
                        .variant = random.below(1U << 16U)});
    }
}

} // namespace citronpick::soak
