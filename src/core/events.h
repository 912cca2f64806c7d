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

//! Time has passed; comes every few milliseconds.
struct Tick {
};

//! A probe that the core asked for has ended.
struct ProbeEnded {
    model::UpstreamId upstream;
    uint64_t number = 0;
    bool isGood = false;
    bool isLeaving = false; //!< The upstream said that it stops.
};

//! A configuration file came from the platform or from a peer.
struct ConfigurationOffered {
    config::OfferedFile file;
    bool isFromPeer = false;
};

//! The platform could not be read, or can be read again.
struct PlatformReachable {
    bool isReachable = false;
};

//! One upstream in the platform's instance list.
struct ListedUpstream {
    model::UpstreamId id;
    uint64_t incarnation = 0; //!< Rises when the instance is replaced or restarted.
    bool isLeaving = false;
};

//! The platform's instance list, which may lag.
struct InstanceListRead {
    std::vector<ListedUpstream> upstreams;
    std::vector<fleet::ListedDaemon> daemons;
};

//! An engine published changes of its prefix cache.
struct CacheReported {
    model::UpstreamId upstream;
    routing::CacheReport report;
};

//! A caller wants a key under which to run something once.
struct OperationRequested {
    model::RequestId request;
};

//! A message of another daemon; its signature was checked by the shell.
struct FleetRequestReceived {
    uint64_t exchange = 0; //!< Number by which the shell finds the way back.
    fleet::FleetMessage message;
};

struct FleetReplyReceived {
    uint64_t exchange = 0;
    fleet::FleetMessage message;
};

struct FleetExchangeFailed {
    uint64_t exchange = 0;
};

//! A planned stop begins.
struct DrainRequested {
};

//! The stop has taken too long: what is left is answered "stopped".
struct StopRequested {
};

using Event
    = std::variant<Tick, pipeline::RequestArrived, pipeline::CallerGone, pipeline::AttemptAnswered,
                   pipeline::AttemptStreamed, pipeline::AttemptFailed, ProbeEnded,
                   ConfigurationOffered, PlatformReachable, InstanceListRead, CacheReported,
                   OperationRequested, FleetRequestReceived, FleetReplyReceived,
                   FleetExchangeFailed, DrainRequested, StopRequested>;

} // namespace citronpick::core

#endif // CITRONPICK_CORE_EVENTS_H
