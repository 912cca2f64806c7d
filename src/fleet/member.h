#ifndef CITRONPICK_FLEET_MEMBER_H
#define CITRONPICK_FLEET_MEMBER_H

#include <compare>
#include <cstdint>
#include <string_view>

#include "config/settings.h"
#include "model/ids.h"

namespace citronpick::fleet
{

//! What is held of a daemon; a later state outranks an earlier one of the same version.
enum class MemberState {
    Joining, //!< Not ready for requests.
    Alive,
    Suspect, //!< Did not answer; has some seconds to say that it lives.
    Leaving, //!< Stops as planned; never returns under the same incarnation.
    Dead,
};

std::string_view toString(MemberState state);

//! One daemon as the others know it.
struct Member {
    model::DaemonId id;
    model::Incarnation incarnation;
    uint32_t version = 0; //!< Raised by the member itself to refute a suspicion.
    MemberState state = MemberState::Alive;
    model::ZoneId zone;
    config::Endpoint fleet;
    config::Endpoint caller;
    uint32_t linkMbps = 0; //!< Of its instance; zero when it is not known.

    friend bool operator==(const Member &, const Member &) = default;

    bool isUsable() const
    {
        return state == MemberState::Alive;
    }
    bool isReachable() const
    {
        return state != MemberState::Dead;
    }
};

//! Whether \a candidate replaces \a present in a member table.
bool supersedes(const Member &candidate, const Member &present);

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_MEMBER_H
