#ifndef CITRONPICK_RELAY_RELAYCOMMANDS_H
#define CITRONPICK_RELAY_RELAYCOMMANDS_H

#include <string>
#include <variant>
#include <vector>

#include "observability/event.h"
#include "pipeline/quarantinetable.h"
#include "relay/batchscheduler.h"
#include "relay/partquarantine.h"
#include "relay/relayevents.h"

namespace citronpick::relay
{

//! Why the daemon refuses a request instead of forwarding an upstream's answer.
enum class Refusal {
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    BadRequest,
    Stopping,
    NoUpstream, //!< No upstream is available; the request has not run.
    UpstreamsFull, //!< All upstreams that were tried rejected the request; it has not run.
    TooLate, //!< The request could not be finished in time; it has not run.
    Quarantined, //!< Identical requests crashed several upstreams; this one has not run.
    StagesFailed, //!< A stage that the request needs failed; the request has not run.
    VersionGone, //!< No upstream of the software version that began the stream is left.
    OriginUnknown, //!< It is not known which software version began the stream.
    UpstreamFailed, //!< The request may have run.
    TimedOut, //!< The request may have run.
};

std::string_view toString(Refusal refusal);

//! Whether the refusal guarantees that the request has not run and will not run.
bool guaranteesNotRun(Refusal refusal);

//! Send a request to an upstream. The outcome is reported through RelaySystem::onAttemptHead(),
//! onAttemptProgress(), onAttemptEnd() and onAttemptFailed().
struct StartAttempt {
    model::RequestId request;
    model::AttemptId attempt;
    model::UpstreamId upstream;
    uint64_t incarnation = 0; //!< Of the upstream, according to the registry.
    config::Endpoint address;
    model::AccountId account; //!< Empty if the request has no valid account key.
    model::Duration timeLeft {};
    uint32_t priority = 0;
    bool hasStages = false;
    std::vector<ResultHandle> inputs;
    std::string resumeAfter; //!< Id of the last event sent to the caller; empty if none was sent.
    bool needsFreshConnection = false;
    bool forwardsWholeEvents = false; //!< Forward only complete events.
};

struct CancelAttempt {
    model::AttemptId attempt;
};

//! Send the head of the attempt's answer to the caller and stream the body as it arrives.
struct StartStream {
    model::RequestId request;
    model::AttemptId attempt;
};

//! Resume a stream from another attempt; the caller already has the head of the answer.
struct ResumeStream {
    model::RequestId request;
    model::AttemptId attempt;
};

//! End the caller's stream as complete.
struct FinishStream {
    model::RequestId request;
};

//! Forward an answer that was received completely.
struct ForwardAnswer {
    model::RequestId request;
    model::AttemptId attempt;
};

//! Close the caller's connection because the rest of the answer was lost.
struct AbortAnswer {
    model::RequestId request;
};

struct RefuseRequest {
    model::RequestId request;
    Refusal refusal = Refusal::NoUpstream;
    model::Duration retryAfter {}; //!< Zero if the caller is given no retry time.
};

//! Send a stage job to a peer. The outcome is reported through RelaySystem::onForwardAnswered() or
//! onForwardFailed().
struct ForwardJob {
    JobId job;
    PeerDaemon peer;
    StageJob content;
};

struct CancelForwardedJob {
    JobId job;
};

//! Send the result of a stage job to the peer that requested it.
struct AnswerPeer {
    uint64_t exchange = 0;
    JobResult result;
};

//! Tell upstreams that stored results are no longer needed.
struct ReleaseResults {
    std::vector<ResultHandle> handles;
};

//! Tell the other daemons that the connection to an upstream broke while it ran a request.
struct PublishCrashReport {
    pipeline::CrashReport report;
    //! Parts of the request's prompt that may be the cause; a sketch of them if there are many.
    PartFingerprints parts;
    PartSketch partSketch;
};

//! Ask the other daemons whether they have passed on an answer to a request with this part.
struct PublishSuspectedPart {
    PartSuspicion suspicion;
};

//! Tell the other daemons that requests with this part of a prompt crash upstreams.
struct PublishQuarantinedPart {
    model::Fingerprint part;
};

//! Tell the other daemons that a request with this part, which had been suspected, was answered.
struct PublishClearedPart {
    model::Fingerprint part;
};

//! End the calls to an upstream that have not been sent yet, because it takes no new work. They are
//! reported through RelaySystem::onAttemptRecalled() and onBatchRefused().
struct RecallCalls {
    model::UpstreamId upstream;
};

//! Tell the other daemons that an upstream stated in an answer that it leaves.
struct PublishLeavingUpstream {
    model::UpstreamId upstream;
    uint64_t incarnation = 0;
};

//! Tell the other daemons what an upstream has stated about the rate that it takes.
struct PublishUpstreamRate {
    model::UpstreamId upstream;
    uint64_t incarnation = 0;
    RateStatement rate;
};

using RelayCommand
    = std::variant<StartAttempt, CancelAttempt, StartStream, ResumeStream, FinishStream,
                   ForwardAnswer, AbortAnswer, RefuseRequest, RunBatch, CancelBatch, ForwardJob,
                   CancelForwardedJob, AnswerPeer, ReleaseResults, PublishCrashReport,
                   PublishSuspectedPart, PublishQuarantinedPart, PublishClearedPart,
                   PublishLeavingUpstream, PublishUpstreamRate, RecallCalls, observability::Event>;

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYCOMMANDS_H
