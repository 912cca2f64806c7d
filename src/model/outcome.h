#ifndef CITRONPICK_MODEL_OUTCOME_H
#define CITRONPICK_MODEL_OUTCOME_H

#include <string_view>

namespace citronpick::model
{

//! Final state of a request; every answer carries exactly one.
enum class Outcome {
    Complete, //!< The body holds the whole answer.
    NotRun, //!< No byte of the request was sent to an upstream.
    Failed, //!< The request was executed, at least in part, without a usable answer.
    Unknown, //!< The request may have been executed; sending it again may execute it twice.
};

//! Cause of a request's outcome.
enum class Reason {
    None,
    BadRequest,
    UnknownRoute,
    UnknownAccount,
    NoConfiguration,
    Starting,
    Draining,
    DeadlineUnreachable,
    DeadlinePassed,
    Overloaded,
    AccountLimit,
    Quarantined,
    NoUpstream,
    UpstreamError,
    UpstreamGarbage,
    AnswerTooLarge,
    ConnectionLost,
    UpstreamTimeout,
    CallerGone,
    KeyExpired,
    KeyInvalid,
    KeyOfOtherInstance,
    KeyInProgress,
    KeyTableFull,
    Stopped,
};

std::string_view toString(Outcome outcome);
std::string_view toString(Reason reason);

} // namespace citronpick::model

#endif // CITRONPICK_MODEL_OUTCOME_H
