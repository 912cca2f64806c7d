#include "fleet/member.h"

#include <tuple>

namespace citronpick::fleet
{

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

bool supersedes(const Member &candidate, const Member &present)
{
    if (candidate.incarnation != present.incarnation) {
        return candidate.incarnation > present.incarnation;
    }
    // A late message must not change a daemon that is leaving back to alive.
    const bool revives
        = candidate.state != MemberState::Leaving && candidate.state != MemberState::Dead;
    if (present.state == MemberState::Leaving && revives) {
        return false;
    }
    return std::tie(candidate.version, candidate.state) > std::tie(present.version, present.state);
}

} // namespace citronpick::fleet
