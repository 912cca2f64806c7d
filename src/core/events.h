#ifndef CITRONPICK_CORE_EVENTS_H
#define CITRONPICK_CORE_EVENTS_H

#include <variant>
#include <vector>

#include "config/revisionstore.h"
#include "fleet/fleetmessage.h"
#include "fleet/fleetsystem.h"
#include "pipeline/requestevents.h"
#include "routing/prefixtable.h"

namespace citronpick::core
{

//! Periodic timer event, sent every few milliseconds.
struct Tick {
};

//! A probe requested by SendProbe has ended.
struct ProbeEnded {
    model::UpstreamId upstream;
    uint64_t number = 0;
    bool isGood = false;
    bool isLeaving = false; //!< The upstream announced that it is shutting down.
};

//! A configuration file was received from the platform or from a peer.
struct ConfigurationOffered {
    config::ConfigurationFile file;
    bool isFromPeer = false;
};

//! The platform became unreachable or reachable again.
struct PlatformReachable {
    bool isReachable = false;
};

//! One upstream in the platform's instance list.
struct ListedUpstream {
    model::UpstreamId id;
    uint64_t incarnation = 0; //!< Increases when the instance is replaced or restarted.
    bool isLeaving = false;
};

//! The platform's instance list was read. The list may be out of date.
struct InstanceListRead {
    std::vector<ListedUpstream> upstreams;
    std::vector<fleet::ListedDaemon> daemons;
};

//! An upstream reported changes of its prefix cache.
struct CacheReported {
    model::UpstreamId upstream;
    routing::CacheReport report;
};

//! A caller requests a key for an operation that must run at most once.
struct OperationRequested {
    model::RequestId request;
};

//! A message arrived from another daemon. Its signature has been verified.
struct FleetRequestReceived {
    uint64_t exchange = 0; //!< Identifies the exchange that the reply belongs to.
    fleet::FleetMessage message;
};

struct FleetReplyReceived {
    uint64_t exchange = 0;
    fleet::FleetMessage message;
};

struct FleetExchangeFailed {
    uint64_t exchange = 0;
};

//! A planned stop begins: the daemon drains.
struct DrainRequested {
};

//! The drain has taken too long: all remaining requests are answered with the reason "stopped".
struct StopRequested {
};

using Event
    = std::variant<Tick, pipeline::RequestArrived, pipeline::CallerDisconnected,
                   pipeline::CallerBlocked, pipeline::CallerUnblocked, pipeline::AttemptAnswered,
                   pipeline::AttemptStreamed, pipeline::AttemptFailed, ProbeEnded,
                   ConfigurationOffered, PlatformReachable, InstanceListRead, CacheReported,
                   OperationRequested, FleetRequestReceived, FleetReplyReceived,
                   FleetExchangeFailed, DrainRequested, StopRequested>;

} // namespace citronpick::core

#endif // CITRONPICK_CORE_EVENTS_H
