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
    Exchange, //!< Sends changes and asks for the changes of the receiver.
    IndirectProbe, //!< Asks the receiver to contact the target and report whether it answered.
    Reply, //!< Answers an Exchange or an IndirectProbe.
};

//! A message of the membership and gossip protocol between daemons.
struct FleetMessage {
    static constexpr uint32_t currentVersion = 1;

    uint32_t version = currentVersion;
    MessageKind kind = MessageKind::Exchange;
    Member from;
    model::Revision revision; //!< Revision of the sender's configuration.
    uint64_t digest = 0; //!< Digest of the text of that configuration.
    uint64_t tableDigest = 0; //!< Digest of the sender's member and fact tables.
    bool requestsFullState = false; //!< Requests a full exchange: all members and facts.
    model::DaemonId target; //!< Daemon that an indirect probe is to contact.
    config::Endpoint targetEndpoint;
    bool wasReached = false; //!< In the reply to an indirect probe: the target answered.
    std::vector<Member> members;
    std::vector<Fact> facts;

    friend bool operator==(const FleetMessage &, const FleetMessage &) = default;
};

//! Command to send a message; its reply or failure is reported under the same exchange number.
struct SendExchange {
    uint64_t exchange = 0;
    config::Endpoint to;
    model::Duration timeout {};
    FleetMessage message;
};

//! Command to answer the message that was received under this exchange number.
struct SendReply {
    uint64_t exchange = 0;
    FleetMessage message;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETMESSAGE_H
