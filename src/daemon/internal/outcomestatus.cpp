#include "daemon/internal/outcomestatus.h"

namespace citronpick::daemon
{

namespace
{

uint16_t refusalStatus(model::Reason reason)
{
    switch (reason) {
    case model::Reason::BadRequest:
    case model::Reason::KeyInvalid:
    case model::Reason::DeadlinePassed:
        return 400;
    case model::Reason::UnknownAccount:
        return 403;
    case model::Reason::UnknownRoute:
        return 404;
    case model::Reason::KeyExpired:
        return 410;
    case model::Reason::Quarantined:
        return 422;
    case model::Reason::AccountLimit:
        return 429;
    default:
        return 503;
    }
}

bool isClientError(uint16_t status)
{
    return status >= 400 && status < 500;
}

} // namespace

uint16_t httpStatusOf(const pipeline::Respond &answer)
{
    switch (answer.outcome) {
    case model::Outcome::Complete:
        return 200;
    case model::Outcome::NotRun:
        return refusalStatus(answer.reason);
    case model::Outcome::Unknown:
        return answer.reason == model::Reason::KeyInProgress ? 409 : 500;
    case model::Outcome::Failed:
        break;
    }
    if (isClientError(answer.upstreamStatus)) {
        return answer.upstreamStatus;
    }
    const bool isDeadlineError = answer.reason == model::Reason::DeadlinePassed
                                 || answer.reason == model::Reason::DeadlineUnreachable;
    return isDeadlineError ? 504 : 502;
}

} // namespace citronpick::daemon
