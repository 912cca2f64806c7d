#ifndef CITRONPICK_FLEET_MEMBER_H
#define CITRONPICK_FLEET_MEMBER_H

#include <compare>
#include <cstdint>
#include <string_view>

#include "config/settings.h"
#include "model/ids.h"

namespace citronpick::fleet
{

//! Membership state of a daemon; within one version, a later enumerator overrides an earlier one.
enum class MemberState {
    Joining, //!< Started but not ready for requests.
    Alive, //!< Accepts requests.
    Suspect, //!< Did not answer probes; declared dead unless it refutes the suspicion in time.
    Leaving, //!< Shutting down as planned; never returns with the same incarnation.
    Dead, //!< Did not refute the suspicion, or stopped answering while leaving.
};

std::string_view toString(MemberState state);

//! Membership record of one daemon.
struct Member {
    model::DaemonId id;
    model::Incarnation incarnation;
    uint32_t version = 0; //!< Incremented by the member itself, for example to refute a suspicion.
    MemberState state = MemberState::Alive;
    model::ZoneId zone;
    config::Endpoint fleet;
    config::Endpoint caller;
    uint32_t linkMbps = 0; //!< Network bandwidth of its instance; zero if unknown.

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

//! Whether \a candidate is newer than \a present and replaces it in a member table.
bool supersedes(const Member &candidate, const Member &present);

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_MEMBER_H
