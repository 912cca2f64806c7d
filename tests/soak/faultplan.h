#ifndef CITRONPICK_SOAK_FAULTPLAN_H
#define CITRONPICK_SOAK_FAULTPLAN_H

#include <string_view>
#include <vector>

#include "model/random.h"
#include "model/time.h"

namespace citronpick::soak
{

//! What is done to the system from outside.
enum class FaultKind {
    KillDaemon,
    KillAll,
    StopDaemon,
    PauseDaemon,
    HangUp,
    StoreLink, //!< Between one daemon and the store.
    ReplicaLink, //!< Between all daemons and one replica.
    StoreBusy,
    StoreSilent,
    StoreForgets, //!< The store drops its history.
    ReplicaSheds,
    ReplicaBreaks,
    ReplicaFails,
    ReplicaLeaves,
    ConfigurationChanges,
};

std::string_view toString(FaultKind kind);

struct PlannedFault {
    model::Duration at {}; //!< From the begin of traffic.
    model::Duration lasts {};
    FaultKind kind = FaultKind::KillDaemon;
    uint32_t target = 0; //!< Which daemon or replica, modulo their number.
    uint32_t variant = 0; //!< Which fault of a link, modulo their number.

    friend bool operator==(const PlannedFault &, const PlannedFault &) = default;
};

//! Faults of one run, in order; they come in series and overlap.
std::vector<PlannedFault> planFaults(uint64_t seed, model::Duration length);

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_FAULTPLAN_H
