#include "soak/faultplan.h"

#include <algorithm>

namespace citronpick::soak
{

namespace
{

//! Every third seed gets only faults of upstreams and configurations: most time limits are checked
//! only for daemons that had no disruption for some seconds.
constexpr uint64_t mildInterval = 3;
constexpr uint64_t firstPlannedSeed = 1000;
constexpr uint64_t firstNoticesSeed = 2000;
constexpr uint64_t firstEvacuationsSeed = 3000;
constexpr uint64_t firstConfigurationsSeed = 4000;
constexpr uint64_t firstCallersSeed = 5000;
constexpr uint64_t firstLimitsSeed = 6000;
constexpr uint64_t firstDeparturesSeed = 7000;
constexpr uint64_t firstPausesSeed = 8000;
constexpr uint64_t deadlyInterval = 5;
constexpr uint64_t deadlyStopsInterval = 3;
//! Requests before a deadly part comes are compared with those after its quarantine.
constexpr model::Duration deadlyPartFrom = model::seconds(6);
//! An order to empty a zone is in force everywhere after this time.
constexpr model::Duration undisturbedTime = model::seconds(4);
//! Interval between faults that take several steps.
constexpr model::Duration minStepsGap = model::milliseconds(500);
constexpr model::Duration stepsGapRange = model::milliseconds(2000);
constexpr uint64_t stepsStream = 0x9e3779b97f4a7c15; //!< Distinguishes the second random stream.
//! Longer than the time limit after which a leaving upstream must get no new work, and than a
//! planned stop that begins while stages are slow.
constexpr model::Duration minLongDuration = model::seconds(4);
//! Longer than the time until a limit is known everywhere and the window in which it is checked.
constexpr model::Duration minLimitDuration = model::seconds(8);
//! Interval between faults: shorter than the duration of most faults, so that faults overlap.
constexpr model::Duration minGap = model::milliseconds(100);
constexpr model::Duration gapRange = model::milliseconds(700);
constexpr model::Duration minDuration = model::milliseconds(300);
constexpr model::Duration durationRange = model::milliseconds(3700);

std::vector<FaultKind> rangeOf(FaultKind first, FaultKind last)
{
    std::vector<FaultKind> kinds;
    for (auto kind = static_cast<uint32_t>(first); kind <= static_cast<uint32_t>(last); ++kind) {
        kinds.push_back(static_cast<FaultKind>(kind));
    }
    return kinds;
}

std::vector<FaultKind> kindsOf(PlanKind plan)
{
    switch (plan) {
    case PlanKind::Mixed:
        return rangeOf(FaultKind::KillDaemon, FaultKind::ConfigurationChanges);
    case PlanKind::Mild:
        return rangeOf(FaultKind::ReplicaSheds, FaultKind::ConfigurationChanges);
    case PlanKind::PlannedWork:
        return {FaultKind::StopDaemon, FaultKind::HangUp, FaultKind::ReplicaLeaves,
                FaultKind::ConfigurationChanges};
    case PlanKind::DeadlyPart:
        return {FaultKind::HangUp, FaultKind::ConfigurationChanges};
    case PlanKind::DeadlyPartAndStops:
        return {FaultKind::HangUp, FaultKind::ConfigurationChanges, FaultKind::ConfigurationChanges,
                FaultKind::ConfigurationChanges, FaultKind::StopDaemon};
    case PlanKind::Notices:
        return {FaultKind::SaysLeaving,   FaultKind::SaysLeaving,  FaultKind::AsksRest,
                FaultKind::AsksRest,      FaultKind::StoreBusy,    FaultKind::StoreSilent,
                FaultKind::ReplicaLeaves, FaultKind::ReplicaFails, FaultKind::ConfigurationChanges};
    case PlanKind::NoticesAndStops:
        return {FaultKind::SaysLeaving, FaultKind::SaysLeaving, FaultKind::AsksRest,
                FaultKind::AsksRest,    FaultKind::StoreSilent, FaultKind::StopDaemon,
                FaultKind::PauseDaemon, FaultKind::KillDaemon,  FaultKind::HangUp};
    case PlanKind::Evacuations:
        return {FaultKind::EvacuateZone,       FaultKind::EvacuateZone,
                FaultKind::ReplicaReturnsCold, FaultKind::ReplicaReturnsCold,
                FaultKind::StoreBusy,          FaultKind::StoreSilent,
                FaultKind::StoreDropsHistory,  FaultKind::ConfigurationChanges};
    case PlanKind::EvacuationsAndStops:
        return {FaultKind::EvacuateZone, FaultKind::EvacuateZone, FaultKind::ReplicaReturnsCold,
                FaultKind::StoreLink,    FaultKind::StopDaemon,   FaultKind::KillDaemon};
    case PlanKind::Configurations:
        return {FaultKind::ConfigurationGrows,
                FaultKind::ConfigurationChanges,
                FaultKind::ConfigurationChanges,
                FaultKind::StoreBusy,
                FaultKind::StoreSilent,
                FaultKind::StoreDropsHistory,
                FaultKind::StoreLink};
    case PlanKind::ConfigurationsAndStops:
        return {FaultKind::ConfigurationGrows,
                FaultKind::ConfigurationChanges,
                FaultKind::StoreLink,
                FaultKind::StopDaemon,
                FaultKind::KillDaemon,
                FaultKind::PauseDaemon,
                FaultKind::HangUp};
    case PlanKind::Callers:
        return {FaultKind::UnlimitedCallers, FaultKind::ReplicaSilent,
                FaultKind::ConfigurationChanges, FaultKind::ReplicaLeaves};
    case PlanKind::CallersAndStops:
        return {FaultKind::UnlimitedCallers, FaultKind::ReplicaSilent,
                FaultKind::ConfigurationChanges, FaultKind::HangUp, FaultKind::StopDaemon};
    case PlanKind::Limits:
        return {FaultKind::NamesLimit,    FaultKind::NamesLimit,   FaultKind::StoreRestored,
                FaultKind::ReplicaLeaves, FaultKind::ReplicaFails, FaultKind::ConfigurationChanges};
    case PlanKind::LimitsAndStops:
        return {FaultKind::NamesLimit, FaultKind::NamesLimit, FaultKind::StoreRestored,
                FaultKind::StopDaemon, FaultKind::KillDaemon, FaultKind::PauseDaemon,
                FaultKind::HangUp};
    case PlanKind::Departures:
        return {FaultKind::CallersLeave,        FaultKind::CallersLeave,  FaultKind::PauseDaemon,
                FaultKind::PauseDaemon,         FaultKind::ReplicaSilent, FaultKind::ReplicaSheds,
                FaultKind::ConfigurationChanges};
    case PlanKind::DeparturesAndStops:
        return {FaultKind::CallersLeave, FaultKind::CallersLeave, FaultKind::PauseDaemon,
                FaultKind::ReplicaSheds, FaultKind::StopDaemon,   FaultKind::KillDaemon,
                FaultKind::HangUp};
    case PlanKind::Pauses:
        return {FaultKind::EnginesPause, FaultKind::StopDaemon, FaultKind::HangUp,
                FaultKind::ConfigurationChanges};
    }
    return {};
}

std::vector<FaultKind> kindsWithStepsOf(PlanKind plan)
{
    switch (plan) {
    case PlanKind::Mixed:
    case PlanKind::PlannedWork:
    case PlanKind::CallersAndStops:
    case PlanKind::Pauses:
        return {FaultKind::StopSeries, FaultKind::StopTwice, FaultKind::HangUpInStop,
                FaultKind::StageSlow, FaultKind::StageSlow};
    case PlanKind::Mild:
        return {FaultKind::StageSlow};
    default:
        return {};
    }
}

} // namespace

PlanKind planKindOf(uint64_t seed)
{
    if (seed < firstPlannedSeed) {
        return seed % mildInterval == 0 ? PlanKind::Mild : PlanKind::Mixed;
    }
    if (seed >= firstPausesSeed) {
        return PlanKind::Pauses;
    }
    if (seed >= firstDeparturesSeed) {
        return seed % 2 == 0 ? PlanKind::Departures : PlanKind::DeparturesAndStops;
    }
    if (seed >= firstLimitsSeed) {
        return seed % 2 == 0 ? PlanKind::Limits : PlanKind::LimitsAndStops;
    }
    if (seed >= firstCallersSeed) {
        return seed % 2 == 0 ? PlanKind::Callers : PlanKind::CallersAndStops;
    }
    if (seed >= firstConfigurationsSeed) {
        return seed % 2 == 0 ? PlanKind::Configurations : PlanKind::ConfigurationsAndStops;
    }
    if (seed >= firstEvacuationsSeed) {
        return seed % 2 == 0 ? PlanKind::Evacuations : PlanKind::EvacuationsAndStops;
    }
    if (seed >= firstNoticesSeed) {
        return seed % 2 == 0 ? PlanKind::Notices : PlanKind::NoticesAndStops;
    }
    if (seed % deadlyInterval != 0) {
        return PlanKind::PlannedWork;
    }
    return seed % deadlyStopsInterval == 0 ? PlanKind::DeadlyPartAndStops : PlanKind::DeadlyPart;
}

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
    case FaultKind::StopSeries:
        return "stop-series";
    case FaultKind::StopTwice:
        return "stop-twice";
    case FaultKind::HangUpInStop:
        return "hang-up-in-stop";
    case FaultKind::StageSlow:
        return "stage-slow";
    case FaultKind::DeadlyPart:
        return "deadly-part";
    case FaultKind::SaysLeaving:
        return "says-leaving";
    case FaultKind::AsksRest:
        return "asks-rest";
    case FaultKind::EvacuateZone:
        return "evacuate-zone";
    case FaultKind::ReplicaReturnsCold:
        return "returns-cold";
    case FaultKind::ConfigurationGrows:
        return "configuration-grows";
    case FaultKind::ReplicaSilent:
        return "replica-silent";
    case FaultKind::UnlimitedCallers:
        return "unlimited-callers";
    case FaultKind::NamesLimit:
        return "names-limit";
    case FaultKind::StoreRestored:
        return "store-restored";
    case FaultKind::CallersLeave:
        return "callers-leave";
    case FaultKind::EnginesPause:
        return "engines-pause";
    }
    return "unknown";
}

namespace
{

//! Gaps between the starts of faults.
struct Gaps {
    model::Duration shortest;
    model::Duration range;
};

void addFaults(std::vector<PlannedFault> &plan, const std::vector<FaultKind> &kinds,
               model::Random random, Gaps gaps, model::Duration length)
{
    model::Duration at {};
    while (!kinds.empty()) {
        at += gaps.shortest + model::scaled(gaps.range, random.uniformDouble());
        if (at >= length) {
            return;
        }
        const FaultKind kind = kinds[random.below(static_cast<uint32_t>(kinds.size()))];
        const bool isLong = kind == FaultKind::ReplicaLeaves || kind == FaultKind::StageSlow
                            || kind == FaultKind::SaysLeaving || kind == FaultKind::AsksRest
                            || kind == FaultKind::EvacuateZone || kind == FaultKind::CallersLeave
                            || kind == FaultKind::EnginesPause;
        const model::Duration shortest = kind == FaultKind::NamesLimit ? minLimitDuration
                                         : isLong                      ? minLongDuration
                                                                       : minDuration;
        plan.push_back({.at = at,
                        .duration = shortest + model::scaled(durationRange, random.uniformDouble()),
                        .kind = kind,
                        .target = random.below(1U << 16U),
                        .variant = random.below(1U << 16U)});
    }
}

} // namespace

// Faults with steps have a random stream of their own, so that a seed's other faults do not depend
// on them.
std::vector<PlannedFault> planFaults(uint64_t seed, model::Duration length)
{
    const PlanKind kind = planKindOf(seed);
    const bool isDeadly = kind == PlanKind::DeadlyPart || kind == PlanKind::DeadlyPartAndStops;
    const model::Duration end = isDeadly ? std::max(length, minDeadlyPlan) : length;
    std::vector<PlannedFault> plan;
    addFaults(plan, kindsOf(kind), model::Random(seed), {minGap, gapRange}, end);
    addFaults(plan, kindsWithStepsOf(kind), model::Random(seed ^ stepsStream),
              {minStepsGap, stepsGapRange}, end);
    if (kind == PlanKind::Evacuations || kind == PlanKind::EvacuationsAndStops) {
        // One order lasts. It comes into force everywhere before anything else is disrupted.
        std::erase_if(plan, [](const PlannedFault &fault) { return fault.at < undisturbedTime; });
        plan.push_back({.duration = end,
                        .kind = FaultKind::EvacuateZone,
                        .target = static_cast<uint32_t>(seed / 2)});
    }
    if (isDeadly) {
        model::Random random(seed ^ stepsStream);
        plan.push_back({.at = deadlyPartFrom,
                        .duration = end - deadlyPartFrom,
                        .kind = FaultKind::DeadlyPart,
                        .target = random.below(1U << 16U)});
    }
    std::stable_sort(
        plan.begin(), plan.end(),
        [](const PlannedFault &left, const PlannedFault &right) { return left.at < right.at; });
    return plan;
}

} // namespace citronpick::soak
