#ifndef CITRONPICK_SOAK_FAULTPLAN_H
#define CITRONPICK_SOAK_FAULTPLAN_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "model/random.h"
#include "model/time.h"

namespace citronpick::soak
{

//! Kinds of fault that the soak test injects.
enum class FaultKind {
    KillDaemon, //!< SIGKILL to one daemon.
    KillAll, //!< SIGKILL to all daemons at once.
    StopDaemon, //!< Planned stop by SIGTERM.
    PauseDaemon, //!< SIGSTOP, then SIGCONT.
    HangUp, //!< SIGHUP.
    StoreLink, //!< Link fault between one daemon and the store.
    ReplicaLink, //!< Link fault between all daemons and one replica.
    StoreBusy, //!< The store refuses every call.
    StoreSilent, //!< The store answers no call.
    StoreDropsHistory, //!< The store drops its change history.
    ReplicaSheds, //!< A replica refuses every request without running it.
    ReplicaBreaks, //!< A replica closes the connection in the middle of every answer.
    ReplicaFails, //!< A replica runs every request and answers with status 500.
    ReplicaLeaves, //!< A replica is listed as leaving.
    ConfigurationChanges, //!< A new configuration version is stored.
    StopSeries, //!< SIGTERM to several daemons, one after the other.
    StopTwice, //!< SIGTERM and a second one during the drain.
    HangUpInStop, //!< SIGTERM, then SIGHUP with other drain settings.
    StageSlow, //!< All replicas of a stage take many times as long.
    DeadlyPart, //!< Requests with one prompt part crash each upstream that answers them.
    SaysLeaving, //!< Answers of replicas state that they leave, while they are listed as ready.
    AsksRest, //!< Replicas turn requests away and ask for a rest.
    EvacuateZone, //!< The operator orders that replicas of a zone get no work.
    ReplicaReturnsCold, //!< A replica crashes and is cold after its restart.
    ConfigurationGrows, //!< A new configuration version has many routes more.
    ReplicaSilent, //!< Replicas send nothing for requests and go on afterwards.
    UnlimitedCallers, //!< Callers of one daemon send many bodies that do not end.
    NamesLimit, //!< A replica names the rate that it takes from all daemons together.
    StoreRestored, //!< The store comes back from an older copy; what is lost is written again.
    CallersLeave, //!< Half of the callers leave early.
    EnginesPause, //!< All engines of a pool have little room and pause in each stream.
};

//! Which faults a seed gets.
enum class PlanKind {
    Mixed, //!< All kinds but DeadlyPart.
    Mild, //!< Upstreams and configurations only: bounds for undisturbed daemons are checked.
    PlannedWork, //!< Stops, changes of settings and configuration, leaving upstreams, slow stages.
    DeadlyPart, //!< A deadly part beside changes of settings and configuration.
    DeadlyPartAndStops,
    Notices, //!< Upstreams that state something about themselves, beside outages of the store.
    NoticesAndStops,
    Evacuations, //!< Zones that are emptied and cold upstreams, beside outages of the store.
    EvacuationsAndStops,
    Configurations, //!< Growing configurations beside outages of the store.
    ConfigurationsAndStops,
    Callers, //!< Callers that keep no limits and silent upstreams, beside configurations.
    CallersAndStops,
    Limits, //!< Upstreams that name a limit, beside restores of the store.
    LimitsAndStops,
    Departures, //!< Callers that leave early beside daemons that are paused.
    DeparturesAndStops,
    Pauses, //!< Engines that pause and are full, beside planned work.
};

//! Seeds from 1000 on get plans of planned work only, each fifth with a deadly part. Those from
//! 2000 on get notices, those from 3000 on emptied zones and cold upstreams, those from 4000 on
//! growing configurations, those from 5000 on callers that keep no limits, those from 6000 on
//! upstreams that name a limit and restores of the store, those from 7000 on callers that leave
//! early beside paused daemons, each second one with stopped daemons. Those from 8000 on get
//! engines that pause beside planned work.
PlanKind planKindOf(uint64_t seed);

constexpr model::Duration minDeadlyPlan = model::seconds(28);

std::string_view toString(FaultKind kind);

struct PlannedFault {
    model::Duration at {}; //!< Offset from the start of traffic.
    model::Duration duration {}; //!< Ignored for faults that take effect at once.
    FaultKind kind = FaultKind::KillDaemon;
    uint32_t target = 0; //!< Index of the daemon or pool, modulo their number.
    uint32_t variant = 0; //!< Index of the link fault or replica, modulo their number.

    friend bool operator==(const PlannedFault &, const PlannedFault &) = default;
};

//! Returns the faults of one run, ordered by start; faults overlap. Plans with a deadly part are at
//! least minDeadlyPlan long.
std::vector<PlannedFault> planFaults(uint64_t seed, model::Duration length);

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_FAULTPLAN_H
