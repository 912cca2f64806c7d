#include "model/outcome.h"

namespace citronpick::model
{

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::BadRequest:
        return "bad-request";
    case Reason::UnknownRoute:
        return "unknown-route";
    case Reason::UnknownAccount:
        return "unknown-account";
    case Reason::NoConfiguration:
        return "no-configuration";
    case Reason::Starting:
        return "starting";
    case Reason::Draining:
        return "draining";
    case Reason::DeadlineUnreachable:
        return "deadline-unreachable";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::AccountLimit:
        return "account-limit";
    case Reason::Quarantined:
        return "quarantined";
    case Reason::NoUpstream:
        return "no-upstream";
    case Reason::UpstreamError:
        return "upstream-error";
    case Reason::UpstreamGarbage:
        return "upstream-garbage";
    case Reason::AnswerTooLarge:
        return "answer-too-large";
    case Reason::ConnectionLost:
        return "connection-lost";
    case Reason::UpstreamTimeout:
        return "upstream-timeout";
    case Reason::CallerGone:
        return "caller-gone";
    case Reason::KeyExpired:
        return "key-expired";
    case Reason::KeyInvalid:
        return "key-invalid";
    case Reason::KeyOfOtherInstance:
        return "key-of-other-instance";
    case Reason::KeyInProgress:
        return "key-in-progress";
    case Reason::KeyTableFull:
        return "key-table-full";
    case Reason::Stopped:
        return "stopped";
    }
    return "none";
}

} // namespace citronpick::model
