#ifndef CITRONPICK_CORE_COMMANDS_H
#define CITRONPICK_CORE_COMMANDS_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/settings.h"
#include "fleet/fleetmessage.h"
#include "observability/event.h"
#include "pipeline/requestcommands.h"

namespace citronpick::core
{

//! Sends a health probe to an upstream. The result is reported by ProbeEnded.
struct SendProbe {
    model::UpstreamId upstream;
    uint64_t number = 0;
    std::string host;
    uint16_t port = 0;
    std::string path;
    model::Duration timeout {};
};

//! Fetches a configuration file from a peer. The file is passed on by ConfigurationOffered.
struct FetchConfiguration {
    config::Endpoint from;
    model::Revision revision;
};

//! Answers OperationRequested.
struct OperationOpened {
    model::RequestId request;
    std::optional<std::string> key; //!< Empty when the operation table is full.
    model::Duration lifetime {};
};

//! The drain is complete: no request is in progress and the process may exit.
struct DrainFinished {
};

using Command
    = std::variant<pipeline::StartAttempt, pipeline::CancelAttempt, pipeline::StreamToCaller,
                   pipeline::Respond, observability::Event, SendProbe, fleet::SendExchange,
                   fleet::SendReply, FetchConfiguration, OperationOpened, DrainFinished>;

using CommandList = std::vector<Command>;

} // namespace citronpick::core

#endif // CITRONPICK_CORE_COMMANDS_H
