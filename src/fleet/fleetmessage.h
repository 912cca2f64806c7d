#ifndef CITRONPICK_FLEET_FLEETMESSAGE_H
#define CITRONPICK_FLEET_FLEETMESSAGE_H

#include <cstdint>
#include <vector>

#include "config/settings.h"
#include "fleet/fact.h"
#include "fleet/member.h"
#include "model/ids.h"

namespace citronpick::fleet
{

enum class MessageKind {
    Exchange, //!< "Here is what changed; tell me what changed at your side."
    IndirectProbe, //!< "Exchange with the target for me and say whether it answered."
    Reply,
};

//! What daemons say to each other.
struct FleetMessage {
    static constexpr uint32_t currentVersion = 1;

    uint32_t version = currentVersion;
    MessageKind kind = MessageKind::Exchange;
    Member from;
    model::Revision revision; //!< Of the sender's configuration.
    uint64_t digest = 0; //!< Of that configuration's text.
    uint64_t tableDigest = 0; //!< Of the sender's members and compared facts.
    bool wantsAll = false; //!< Asks for the whole member table and all facts.
    model::DaemonId target; //!< Of an indirect probe.
    config::Endpoint targetEndpoint;
    bool wasReached = false; //!< Answer to an indirect probe.
    std::vector<Member> members;
    std::vector<Fact> facts;

    friend bool operator==(const FleetMessage &, const FleetMessage &) = default;
};

//! Send a message; its reply or failure comes back under the same number.
struct SendExchange {
    uint64_t exchange = 0;
    config::Endpoint to;
    model::Duration timeout {};
    FleetMessage message;
};

//! Answer a message that came in under this number.
struct SendReply {
    uint64_t exchange = 0;
    FleetMessage message;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETMESSAGE_H
