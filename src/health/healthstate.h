#ifndef CITRONPICK_HEALTH_HEALTHSTATE_H
#define CITRONPICK_HEALTH_HEALTHSTATE_H

#include <string_view>

namespace citronpick::health
{

//! Where an upstream stands between full use and none.
enum class HealthState {
    Active, //!< Takes its full share.
    Suspect, //!< Takes work only when no active upstream can.
    Ejected, //!< Takes nothing until its hold-down ends.
    Probing, //!< Takes probes only.
    Trial, //!< Takes single short idempotent requests, one at a time.
    Ramping, //!< Takes idempotent requests up to the step's slots.
};

std::string_view toString(HealthState state);

//! Whether an upstream in this state is on its way out of or back into service.
constexpr bool isOutOfService(HealthState state)
{
    return state != HealthState::Active && state != HealthState::Suspect;
}

//! Why an upstream was taken out of service.
enum class EjectCause {
    None,
    Failures,
    Slowness,
    Relapse, //!< A bad answer while returning.
    PeerRelapse, //!< Another daemon saw a bad answer while returning.
};

std::string_view toString(EjectCause cause);

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHSTATE_H
