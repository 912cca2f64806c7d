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

//! A request of a caller was read completely and is within the limits of the listener.
struct RequestArrived {
    model::RequestId request; //!< Assigned by the daemon around the core, never reused.
    model::CallerRequestId callerId;
    model::AccountId account;
    model::RouteId route;
    std::string priority;
    std::optional<model::Duration> budget; //!< Time until the caller's deadline.
    uint32_t expectedTokens = 0;
    bool wantsStream = false;
    std::string operationKey; //!< Empty when the request belongs to no operation.
    model::BodyPtr body;
};

//! The caller closed its connection before the request was answered.
struct CallerDisconnected {
    model::RequestId request;
};

//! The caller reads its stream more slowly than the upstream sends it; reading is paused.
struct CallerBlocked {
    model::RequestId request;
};

//! The caller has read what was buffered for it; reading goes on.
struct CallerUnblocked {
    model::RequestId request;
};

//! Load that an upstream reported in an answer.
struct ReportedLoad {
    uint32_t inFlight = 0;
    bool isLeaving = false;
};

//! An attempt was answered completely. The daemon has checked that the answer belongs to it.
struct AttemptAnswered {
    model::AttemptId attempt;
    uint16_t status = 0; //!< HTTP status.
    model::BodyPtr body;
    std::optional<ReportedLoad> load;
};

//! One token of a streamed answer with its sequence number.
struct StreamToken {
    uint32_t sequence = 0;
    std::string text;
};

//! Tokens of a streamed answer arrived.
struct AttemptStreamed {
    model::AttemptId attempt;
    std::vector<StreamToken> tokens;
};

//! Why an attempt failed.
enum class AttemptError {
    ConnectFailed, //!< It is certain that no byte of the request was sent.
    ConnectionLost, //!< The request may have been sent before the connection was lost.
    MalformedAnswer, //!< The data received is not a valid answer to this attempt.
    TooLarge, //!< The answer exceeds the size limit.
    IoTimeout, //!< The HTTP exchange timed out.
};

//! An attempt ended without a usable answer.
struct AttemptFailed {
    model::AttemptId attempt;
    AttemptError error = AttemptError::ConnectionLost;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTEVENTS_H
