#include "soak/faultplan.h"

namespace citronpick::soak
{

namespace
{

constexpr uint32_t kinds = static_cast<uint32_t>(FaultKind::ConfigurationChanges) + 1;
//! The kinds from this one on concern upstreams and configurations only.
constexpr auto firstMildKind = static_cast<uint32_t>(FaultKind::ReplicaSheds);
//! One plan in so many is mild: most bounds hold only for daemons that nothing has harmed for
//! seconds.
constexpr uint64_t mildEvery = 3;
//! Upstreams leave for longer than their bound.
constexpr model::Duration leavingTime = model::seconds(4);
//! Time from one fault to the next: shorter than most faults last, so that they overlap.
constexpr model::Duration leastGap = model::milliseconds(100);
constexpr model::Duration moreGap = model::milliseconds(700);
constexpr model::Duration leastTime = model::milliseconds(300);
constexpr model::Duration moreTime = model::milliseconds(3700);

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
    case FaultKind::StoreForgets:
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
    const uint32_t firstKind = seed % mildEvery == 0 ? firstMildKind : 0;
    std::vector<PlannedFault> plan;
    model::Duration at {};
    while (true) {
        at += leastGap + model::scaled(moreGap, random.unit());
        if (at >= length) {
            return plan;
        }
        const auto kind = static_cast<FaultKind>(firstKind + random.below(kinds - firstKind));
        const model::Duration least = kind == FaultKind::ReplicaLeaves ? leavingTime : leastTime;
        plan.push_back({.at = at,
                        .lasts = least + model::scaled(moreTime, random.unit()),
                        .kind = kind,
                        .target = random.below(1U << 16U),
                        .variant = random.below(1U << 16U)});
    }
}

} // namespace citronpick::soak
