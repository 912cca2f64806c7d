#ifndef CITRONPICK_HEALTH_HEALTHSTATE_H
#define CITRONPICK_HEALTH_HEALTHSTATE_H

#include <string_view>

namespace citronpick::health
{

//! Health state of an upstream as seen by one daemon.
enum class HealthState {
    Active, //!< Receives requests up to its concurrency limit.
    Suspect, //!< Receives requests only when no active upstream has capacity, or as a test.
    Ejected, //!< Receives neither requests nor probes until its hold-down ends.
    Probing, //!< Receives health probes only.
    Trial, //!< Receives short idempotent requests, one at a time.
    Ramping, //!< Receives idempotent requests up to the slot count of the current ramp step.
};

std::string_view toString(HealthState state);

//! Whether an upstream in this state is ejected or still returning to service.
constexpr bool isOutOfService(HealthState state)
{
    return state != HealthState::Active && state != HealthState::Suspect;
}

//! Why an upstream was taken out of service.
enum class EjectCause {
    None,
    Failures, //!< Too many failed requests.
    Slowness, //!< Answers too slow compared with the pool.
    Relapse, //!< A failed or too slow answer while the upstream was returning to service.
    PeerRelapse, //!< Another daemon reported a relapse.
};

std::string_view toString(EjectCause cause);

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHSTATE_H
