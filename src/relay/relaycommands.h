#ifndef CITRONPICK_RELAY_RELAYCOMMANDS_H
#define CITRONPICK_RELAY_RELAYCOMMANDS_H

#include <string>
#include <variant>
#include <vector>

#include "observability/event.h"
#include "pipeline/quarantinetable.h"
#include "relay/batchscheduler.h"
#include "relay/relayevents.h"

namespace citronpick::relay
{

//! Why a request is answered by the daemon itself.
enum class Refusal {
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    BadRequest,
    Stopping,
    NoUpstream, //!< None that may take it; it has not run.
    UpstreamsFull, //!< Those asked have not run it.
    TooLate, //!< It could not be finished in time; it has not run.
    Quarantined, //!< Upstreams that ran the like ended; it has not run.
    StagesFailed, //!< What it needs could not be made; it has not run.
    UpstreamFailed, //!< It may have run.
    TimedOut, //!< It may have run.
};

std::string_view toString(Refusal refusal);

//! Whether the refusal promises that the request has not run and never will.
bool saysNotRun(Refusal refusal);

//! Send a request to an upstream; answer with the system's onAttempt functions.
struct StartAttempt {
    model::RequestId request;
    model::AttemptId attempt;
    model::UpstreamId upstream;
    config::Endpoint address;
    model::AccountId account; //!< Empty when none was named.
    model::Duration timeLeft {};
    uint32_t priority = 0;
    bool hasStages = false;
    std::vector<ResultHandle> inputs;
    std::string resumeAfter; //!< Id of the last event that the caller has; empty at first.
    bool needsFreshConnection = false;
    bool splitsEvents = false; //!< Only whole events are passed on.
};

struct CancelAttempt {
    model::AttemptId attempt;
};

//! Begin the answer with the attempt's head and pass its body on as it comes.
struct PassStream {
    model::RequestId request;
    model::AttemptId attempt;
};

//! Pass the rest of a stream on whose head the caller already has.
struct ContinueStream {
    model::RequestId request;
    model::AttemptId attempt;
};

//! The stream has ended as complete.
struct FinishStream {
    model::RequestId request;
};

//! Pass on an answer that was read to its end.
struct PassAnswer {
    model::RequestId request;
    model::AttemptId attempt;
};

//! End the caller's connection: the answer that was begun cannot be completed.
struct BreakAnswer {
    model::RequestId request;
};

struct RefuseRequest {
    model::RequestId request;
    Refusal refusal = Refusal::NoUpstream;
    model::Duration retryAfter {}; //!< Zero for none.
};

//! Have a peer run a stage; answer with onForwardAnswered or onForwardFailed.
struct ForwardJob {
    JobId job;
    PeerDaemon peer;
    StageJob content;
};

struct CancelForward {
    JobId job;
};

//! Answer a stage that a peer asked for.
struct AnswerPeer {
    uint64_t exchange = 0;
    JobResult result;
};

//! Results that nobody needs any more.
struct ReleaseResults {
    std::vector<ResultHandle> handles;
};

//! Tell the other daemons that an upstream ended while it ran a request.
struct PublishStrike {
    pipeline::Strike strike;
};

using RelayCommand
    = std::variant<StartAttempt, CancelAttempt, PassStream, ContinueStream, FinishStream,
                   PassAnswer, BreakAnswer, RefuseRequest, RunBatch, CancelBatch, ForwardJob,
                   CancelForward, AnswerPeer, ReleaseResults, PublishStrike, observability::Event>;

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYCOMMANDS_H
