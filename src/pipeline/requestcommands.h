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

//! Sends one stage of a request to an upstream.
struct StartAttempt {
    model::AttemptId attempt;
    model::RequestId request;
    model::CallerRequestId callerId;
    model::UpstreamId upstream;
    std::string host;
    uint16_t port = 0;
    std::string path;
    model::Duration budget {}; //!< Time allowed for this stage.
    uint32_t priorityRank = 0;
    bool isStreaming = false;
    uint32_t resumeFrom = 0; //!< Index of the first token to send; earlier tokens were received.
    uint32_t expectedTokens = 0;
    uint64_t prefix = 0;
    //! Open a new connection: when a reused connection fails, it is unknown whether the request was
    //! sent.
    bool needsFreshConnection = false;
    bool checksEcho = true; //!< The answer must repeat the attempt identifier header.
    uint64_t maxAnswerBytes = 0;
    model::BodyPtr body;
};

//! Cancels an attempt. Data that still arrives for it is dropped.
struct CancelAttempt {
    model::AttemptId attempt;
};

//! Sends the next part of a streamed answer to the caller.
struct StreamToCaller {
    model::RequestId request;
    std::string text;
};

//! Sends the final answer to the caller; there is exactly one for each request.
struct Respond {
    model::RequestId request;
    model::Outcome outcome = model::Outcome::Complete;
    model::Reason reason = model::Reason::None;
    uint16_t upstreamStatus = 0; //!< Zero when no upstream answered.
    model::Duration retryAfter {}; //!< Zero when no time for a resend is suggested.
    std::string detail; //!< Human-readable explanation; may be empty.
    model::BodyPtr body; //!< Null when the answer has no body.
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTCOMMANDS_H
