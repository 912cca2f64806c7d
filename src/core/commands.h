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

//! Ask an upstream whether it lives; answer with ProbeEnded.
struct SendProbe {
    model::UpstreamId upstream;
    uint64_t number = 0;
    std::string host;
    uint16_t port = 0;
    std::string path;
    model::Duration timeout {};
};

//! Get a configuration file from a peer; offer it when it comes.
struct FetchConfiguration {
    config::Endpoint from;
    model::Revision revision;
};

//! Answer to OperationRequested.
struct OperationOpened {
    model::RequestId request;
    std::optional<std::string> key; //!< Empty when the table of keys is full.
    model::Duration lifetime {};
};

//! Nothing is in flight any more; the process may end.
struct DrainFinished {
};

using Command
    = std::variant<pipeline::StartAttempt, pipeline::CancelAttempt, pipeline::StreamToCaller,
                   pipeline::Respond, observability::Event, SendProbe, fleet::SendExchange,
                   fleet::SendReply, FetchConfiguration, OperationOpened, DrainFinished>;

using CommandList = std::vector<Command>;

} // namespace citronpick::core

#endif // CITRONPICK_CORE_COMMANDS_H
