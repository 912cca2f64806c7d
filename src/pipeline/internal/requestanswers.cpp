#include "pipeline/requestsystem.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

constexpr uint16_t tooManyRequests = 429;
constexpr uint16_t firstServerError = 500;

bool isSuccess(uint16_t status)
{
    return status >= 200 && status < 300;
}

model::Reason reasonOf(AttemptError error)
{
    switch (error) {
    case AttemptError::ConnectFailed:
        return model::Reason::NoUpstream;
    case AttemptError::ConnectionLost:
        return model::Reason::ConnectionLost;
    case AttemptError::Garbage:
        return model::Reason::UpstreamGarbage;
    case AttemptError::TooLarge:
        return model::Reason::AnswerTooLarge;
    case AttemptError::IoTimeout:
        return model::Reason::UpstreamTimeout;
    }
    return model::Reason::ConnectionLost;
}

} // namespace

void RequestSystem::onAnswer(const AttemptAnswered &event, model::TimePoint now)
{
    const Attempt *found = m_table.find(event.attempt);
    if (!found) {
        ++m_droppedAnswers;
        m_commands.emplace_back(
            observability::Event {.code = observability::EventCode::AnswerDropped,
                                  .request = {},
                                  .subject = absl::StrCat("attempt-", event.attempt.value()),
                                  .detail = absl::StrCat("status=", event.status)});
        return;
    }
    Request *request = m_table.find(found->request);
    model::checkInvariant("an attempt has its request", request != nullptr);
    model::checkInvariant("an answer belongs to the request's present stage",
                          found->stage == request->stage);
    if (event.load) {
        noteLoad(found->upstream, *event.load, now);
    }
    request->hasOpenUnrepeatable = false;
    const bool isServerError = event.status >= firstServerError;
    const bool isBusy = event.status == tooManyRequests;
    const Attempt attempt = closeAttempt(*request, *found, !isServerError && !isBusy, now);
    const model::PoolRow pool = request->pool;
    if (isServerError) {
        m_parts.health.onFailure(attempt.upstream, attempt.healthEpoch, attempt.startedAt, now);
        retryOrFail(*request, attempt, model::Reason::UpstreamError, event.status, now);
    } else if (isBusy) {
        m_parts.upstreams.at(attempt.upstream).limit.onCongestion(now);
        retryOrFail(*request, attempt, model::Reason::Overloaded, event.status, now);
    } else {
        learnFrom(attempt, now);
        blameSlowerAttempts(*request, attempt, now);
        m_quarantine.clear(request->fingerprint);
        cancelAttempts(*request, now);
        advance(*request, event.body, event.status, now);
    }
    dispatch(pool, now);
}

void RequestSystem::advance(Request &request, model::BodyPtr result, uint16_t status,
                            model::TimePoint now)
{
    if (!isSuccess(status)) {
        Respond answer {.request = request.id,
                        .outcome = model::Outcome::Failed,
                        .reason = model::Reason::UpstreamError,
                        .upstreamStatus = status,
                        .body = std::move(result)};
        finish(request, std::move(answer), now);
        return;
    }
    const bool wasStreaming = m_parts.upstreams.at(request.pool).config.isStreaming;
    const bool isStreamedToCaller = wasStreaming && request.wantsStream && request.isLastStage();
    if (wasStreaming) {
        result = isStreamedToCaller ? nullptr : model::makeBody(std::move(request.streamed));
    }
    if (request.isLastStage()) {
        finish(request,
               {.request = request.id, .upstreamStatus = status, .body = std::move(result)}, now);
        return;
    }
    request.input = result ? std::move(result) : model::makeBody({});
    ++request.stage;
    startStage(request, now);
}

void RequestSystem::onStream(const AttemptStreamed &event, model::TimePoint now)
{
    Attempt *attempt = m_table.find(event.attempt);
    if (!attempt) {
        ++m_droppedAnswers;
        return;
    }
    Request *request = m_table.find(attempt->request);
    model::checkInvariant("an attempt has its request", request != nullptr);
    const bool isForCaller = request->wantsStream && request->isLastStage();
    std::string text;
    for (const StreamToken &token : event.tokens) {
        if (token.sequence < request->nextToken) {
            continue;
        }
        if (token.sequence > request->nextToken) {
            // A gap: what follows could not be put together with what went before.
            m_commands.emplace_back(CancelAttempt {.attempt = event.attempt});
            handleAttemptLoss(*request, closeAttempt(*request, *attempt, false, now),
                              AttemptError::Garbage, now);
            return;
        }
        ++request->nextToken;
        ++attempt->tokens;
        text += token.text;
    }
    if (text.empty()) {
        return;
    }
    if (request->attempts.size() > 1) {
        // The first to bring a token wins: two engines must not both write to one stream.
        const Attempt winner = *attempt;
        for (const model::AttemptId id : std::vector(request->attempts)) {
            if (id != winner.id) {
                closeAttempt(*request, *m_table.find(id), false, now);
                m_commands.emplace_back(CancelAttempt {.attempt = id});
            }
        }
    }
    if (isForCaller) {
        m_commands.emplace_back(StreamToCaller {.request = request->id, .text = std::move(text)});
    } else {
        request->streamed += text;
    }
}

void RequestSystem::onFailure(const AttemptFailed &event, model::TimePoint now)
{
    const Attempt *found = m_table.find(event.attempt);
    if (!found) {
        return;
    }
    Request *request = m_table.find(found->request);
    model::checkInvariant("an attempt has its request", request != nullptr);
    const model::PoolRow pool = request->pool;
    const Attempt attempt = closeAttempt(*request, *found, false, now);
    handleAttemptLoss(*request, attempt, event.error, now);
    dispatch(pool, now);
}

void RequestSystem::handleAttemptLoss(Request &request, const Attempt &attempt, AttemptError error,
                                      model::TimePoint now)
{
    if (error == AttemptError::ConnectFailed) {
        --request.sentAttempts;
        // Nothing was tried: the few attempts of a stage are for upstreams that listen.
        --request.attemptCount;
        request.unrepeatableSent -= request.stageConfig().isIdempotent ? 0 : 1;
        request.hasOpenUnrepeatable = false;
        m_parts.health.onConnectFailure(attempt.upstream, attempt.healthEpoch, attempt.startedAt,
                                        now);
    } else {
        m_parts.health.onFailure(attempt.upstream, attempt.healthEpoch, attempt.startedAt, now);
    }
    if (error == AttemptError::ConnectionLost) {
        addStrike(request, attempt, now);
    }
    if (m_quarantine.remaining(request.fingerprint, now)) {
        cancelAttempts(request, now);
        finishFailed(request, model::Reason::Quarantined, 0, now);
        return;
    }
    retryOrFail(request, attempt, reasonOf(error), 0, now);
}

void RequestSystem::addStrike(Request &request, const Attempt &attempt, model::TimePoint now)
{
    const Strike strike {.fingerprint = request.fingerprint,
                         .upstream = m_parts.upstreams.at(attempt.upstream).config.id};
    m_strikes.push_back(strike);
    const bool isQuarantined = m_quarantine.addStrike(strike, now);
    record(isQuarantined ? observability::EventCode::RequestQuarantined
                         : observability::EventCode::RequestStruck,
           request, strike.upstream.text(), absl::StrCat("route=", request.route->id.text()));
    if (!isQuarantined) {
        return;
    }
    for (const model::UpstreamId &id : m_quarantine.struckUpstreams(strike.fingerprint)) {
        if (const auto upstream = m_parts.upstreams.find(id)) {
            m_parts.health.forgive(*upstream);
        }
    }
}

bool RequestSystem::onPeerStrike(const Strike &strike, model::TimePoint now)
{
    return m_quarantine.addStrike(strike, now);
}

void RequestSystem::retryOrFail(Request &request, const Attempt &attempt, model::Reason reason,
                                uint16_t status, model::TimePoint now)
{
    if (!request.attempts.empty()) {
        return;
    }
    if (!mayRetry(request, attempt, now)) {
        finishFailed(request, reason, status, now);
        return;
    }
    const bool isResumed = request.nextToken > 0;
    record(isResumed ? observability::EventCode::StreamResumed
                     : observability::EventCode::AttemptRetried,
           request, m_parts.upstreams.at(attempt.upstream).config.id.text(),
           absl::StrCat("reason=", model::toAbsl(model::toString(reason)),
                        " token=", request.nextToken));
    request.phase = StagePhase::BackingOff;
    const double doublings = 1U << std::min(request.attemptCount, 6U);
    const model::Duration backoff = std::min(
        m_options.maxBackoff, model::scaled(m_options.minBackoff, doublings * m_random.unit()));
    m_timers.add(now + backoff, {.kind = TimerKind::Retry, .request = request.id, .attempt = {}});
}

bool RequestSystem::mayRetry(const Request &request, const Attempt &attempt, model::TimePoint now)
{
    const config::StageConfig &stage = request.stageConfig();
    const bool mayRepeat = stage.isIdempotent || request.unrepeatableSent == 0;
    if (!mayRepeat || request.isCallerGone
        || request.attemptCount >= m_options.maxAttemptsPerStage) {
        return false;
    }
    if (isHopeless(request, now) || !hasUntriedUpstream(request)) {
        return false;
    }
    // The few requests that test an upstream must not pay for it.
    if (attempt.isTest) {
        return true;
    }
    return stateOf(request.pool).budget.take(0.0);
}

bool RequestSystem::hasUntriedUpstream(const Request &request) const
{
    const auto &upstreams = m_parts.upstreams.at(request.pool).upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](model::UpstreamRow upstream) {
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), upstream)
                             != request.tried.end();
        return !isTried && !m_parts.upstreams.at(upstream).leavingSince;
    });
}

void RequestSystem::finishFailed(Request &request, model::Reason reason, uint16_t status,
                                 model::TimePoint now)
{
    model::Outcome outcome = model::Outcome::Failed;
    if (request.sentAttempts == 0) {
        outcome = model::Outcome::NotRun;
    } else if (request.hasOpenUnrepeatable) {
        outcome = model::Outcome::Unknown;
    }
    finish(request,
           {.request = request.id, .outcome = outcome, .reason = reason, .upstreamStatus = status},
           now);
}

void RequestSystem::finish(Request &request, Respond answer, model::TimePoint now)
{
    model::checkInvariant("\"not run\" is said only when nothing was sent",
                          answer.outcome != model::Outcome::NotRun || request.sentAttempts == 0);
    if (request.phase == StagePhase::Queued) {
        stateOf(request.pool).queue.remove(request.ticket);
    }
    cancelAttempts(request, now);
    count(request, answer.outcome, now);
    recordOutcome(request, answer);
    m_limits.release(request.account);
    if (!request.operationKey.empty()) {
        m_parts.operations.finish(request.operationKey, {.outcome = answer.outcome,
                                                         .reason = answer.reason,
                                                         .upstreamStatus = answer.upstreamStatus,
                                                         .body = answer.body});
    }
    if (!request.isCallerGone) {
        m_commands.emplace_back(std::move(answer));
    }
    m_table.remove(request.id);
}

void RequestSystem::recordOutcome(const Request &request, const Respond &answer)
{
    using observability::EventCode;
    if (answer.outcome == model::Outcome::Complete) {
        return;
    }
    EventCode code = EventCode::RequestFailed;
    if (answer.outcome == model::Outcome::NotRun) {
        code = EventCode::RequestRefused;
    } else if (answer.outcome == model::Outcome::Unknown) {
        code = EventCode::RequestUnknown;
    }
    record(code, request, request.route->id.text(),
           absl::StrCat("reason=", model::toAbsl(model::toString(answer.reason)),
                        " stage=", request.stageConfig().name));
}

void RequestSystem::count(const Request &request, model::Outcome outcome, model::TimePoint now)
{
    RouteCount &row = m_costs.routes[request.route->id];
    switch (outcome) {
    case model::Outcome::Complete:
        ++row.complete;
        row.late += now > request.deadline ? 1 : 0;
        row.totalTime += now - request.arrivedAt;
        break;
    case model::Outcome::NotRun:
        ++row.notRun;
        break;
    case model::Outcome::Failed:
        ++row.failed;
        break;
    case model::Outcome::Unknown:
        ++row.unknown;
        break;
    }
}

} // namespace citronpick::pipeline
