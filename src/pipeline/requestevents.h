#ifndef CITRONPICK_PIPELINE_REQUESTEVENTS_H
#define CITRONPICK_PIPELINE_REQUESTEVENTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/body.h"
#include "model/ids.h"
#include "model/time.h"

namespace citronpick::pipeline
{

//! A caller's request, read to its end and within the listener's limits.
struct RequestArrived {
    model::RequestId request; //!< Drawn by the shell, never used twice.
    model::CallerRequestId callerId;
    model::AccountId account;
    model::RouteId route;
    std::string priority;
    std::optional<model::Duration> budget; //!< Time until the answer is useless.
    uint32_t expectedTokens = 0;
    bool wantsStream = false;
    std::string operationKey; //!< Empty when the caller opened no operation.
    model::BodyPtr body;
};

//! The caller closed its connection.
struct CallerGone {
    model::RequestId request;
};

//! What an upstream said of its load in an answer.
struct ReportedLoad {
    uint32_t inFlight = 0;
    bool isLeaving = false;
};

//! A whole answer to an attempt; its request and attempt were checked by the shell.
struct AttemptAnswered {
    model::AttemptId attempt;
    uint16_t status = 0; //!< HTTP status.
    model::BodyPtr body;
    std::optional<ReportedLoad> load;
};

//! One numbered piece of a streamed answer.
struct StreamToken {
    uint32_t sequence = 0;
    std::string text;
};

struct AttemptStreamed {
    model::AttemptId attempt;
    std::vector<StreamToken> tokens;
};

//! Why an attempt gave no answer.
enum class AttemptError {
    ConnectFailed, //!< Proven: no byte of the request left this process.
    ConnectionLost,
    Garbage, //!< Not an answer to this attempt.
    TooLarge,
    IoTimeout,
};

struct AttemptFailed {
    model::AttemptId attempt;
    AttemptError error = AttemptError::ConnectionLost;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTEVENTS_H
