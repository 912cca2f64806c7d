#ifndef CITRONPICK_PIPELINE_REQUESTCOMMANDS_H
#define CITRONPICK_PIPELINE_REQUESTCOMMANDS_H

#include <cstdint>
#include <string>

#include "model/body.h"
#include "model/ids.h"
#include "model/outcome.h"
#include "model/time.h"

namespace citronpick::pipeline
{

//! Send one stage of a request to an upstream.
struct StartAttempt {
    model::AttemptId attempt;
    model::RequestId request;
    model::CallerRequestId callerId;
    model::UpstreamId upstream;
    std::string host;
    uint16_t port = 0;
    std::string path;
    model::Duration budget {}; //!< Time left for this stage.
    uint32_t priorityRank = 0;
    bool isStreaming = false;
    uint32_t resumeFrom = 0; //!< First token wanted; earlier ones were delivered.
    uint32_t expectedTokens = 0;
    uint64_t prefix = 0;
    bool needsFreshConnection = false; //!< A reused one could not tell "sent" from "not sent".
    bool checksEcho = true; //!< The answer must repeat the attempt's header.
    uint64_t maxAnswerBytes = 0;
    model::BodyPtr body;
};

//! Abandon an attempt; whatever still arrives for it is dropped.
struct CancelAttempt {
    model::AttemptId attempt;
};

//! Pieces of a streamed answer, in order.
struct StreamToCaller {
    model::RequestId request;
    std::string text;
};

//! The one answer to a request.
struct Respond {
    model::RequestId request;
    model::Outcome outcome = model::Outcome::Complete;
    model::Reason reason = model::Reason::None;
    uint16_t upstreamStatus = 0; //!< Zero when no upstream answered.
    model::Duration retryAfter {}; //!< Zero when a resend has no better time.
    std::string detail; //!< For people; may be empty.
    model::BodyPtr body; //!< Null when there is none.
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTCOMMANDS_H
