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
    case AttemptError::MalformedAnswer:
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
        updateReportedLoad(found->upstream, *event.load, now);
    }
    request->hasPendingNonIdempotent = false;
    const bool isServerError = event.status >= firstServerError;
    const bool isBusy = event.status == tooManyRequests;
    const Attempt attempt = closeAttempt(*request, *found, !isServerError && !isBusy, now);
    const model::PoolRow pool = request->pool;
    if (isServerError) {
        m_dependencies.health.onFailure(attempt.upstream, attempt.healthEpoch, attempt.startedAt,
                                        now);
        retryOrFail(*request, attempt, model::Reason::UpstreamError, event.status, now);
    } else if (isBusy) {
        m_dependencies.upstreams.at(attempt.upstream).limit.onCongestion(now);
        retryOrFail(*request, attempt, model::Reason::Overloaded, event.status, now);
    } else {
        recordAnswerTime(attempt, now);
        reportSlowerAttempts(*request, attempt, now);
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
    const bool wasStreaming = m_dependencies.upstreams.at(request.pool).config.isStreaming;
    const bool isStreamedToCaller = wasStreaming && request.wantsStream && request.isLastStage();
    if (wasStreaming) {
        result = isStreamedToCaller ? nullptr : model::makeBody(std::move(request.collectedText));
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
            // Tokens are missing, so the stream cannot be continued from this attempt.
            m_commands.emplace_back(CancelAttempt {.attempt = event.attempt});
            handleAttemptLoss(*request, closeAttempt(*request, *attempt, false, now),
                              AttemptError::MalformedAnswer, now);
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
        // The first attempt to deliver a token is kept and the others are cancelled, because two
        // upstreams must not write to the same stream.
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
        request->collectedText += text;
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
        // The request was not sent. The attempts allowed per stage are reserved for upstreams that
        // accept connections.
        --request.attemptCount;
        request.nonIdempotentSent -= request.stageConfig().isIdempotent ? 0 : 1;
        request.hasPendingNonIdempotent = false;
        m_dependencies.health.onConnectFailure(attempt.upstream, attempt.healthEpoch,
                                               attempt.startedAt, now);
    } else {
        m_dependencies.health.onFailure(attempt.upstream, attempt.healthEpoch, attempt.startedAt,
                                        now);
    }
    if (error == AttemptError::ConnectionLost) {
        addCrashReport(request, attempt, now);
    }
    if (m_quarantine.remaining(request.fingerprint, now)) {
        cancelAttempts(request, now);
        finishFailed(request, model::Reason::Quarantined, 0, now);
        return;
    }
    retryOrFail(request, attempt, reasonOf(error), 0, now);
}

void RequestSystem::addCrashReport(Request &request, const Attempt &attempt, model::TimePoint now)
{
    const CrashReport report {.fingerprint = request.fingerprint,
                              .upstream = m_dependencies.upstreams.at(attempt.upstream).config.id};
    m_crashReports.push_back(report);
    const bool isQuarantined = m_quarantine.addCrashReport(report, now);
    record(isQuarantined ? observability::EventCode::RequestQuarantined
                         : observability::EventCode::RequestStruck,
           request, report.upstream.text(), absl::StrCat("route=", request.route->id.text()));
    if (!isQuarantined) {
        return;
    }
    for (const model::UpstreamId &id : m_quarantine.crashedUpstreams(report.fingerprint)) {
        if (const auto upstream = m_dependencies.upstreams.find(id)) {
            m_dependencies.health.resetRelapses(*upstream);
        }
    }
}

bool RequestSystem::onPeerCrashReport(const CrashReport &report, model::TimePoint now)
{
    return m_quarantine.addCrashReport(report, now);
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
           request, m_dependencies.upstreams.at(attempt.upstream).config.id.text(),
           absl::StrCat("reason=", model::toAbsl(model::toString(reason)),
                        " token=", request.nextToken));
    request.phase = StagePhase::BackingOff;
    const double doublings = 1U << std::min(request.attemptCount, 6U);
    const model::Duration backoff
        = std::min(m_options.maxBackoff,
                   model::scaled(m_options.minBackoff, doublings * m_random.uniformDouble()));
    m_timers.add(now + backoff, {.kind = TimerKind::Retry, .request = request.id, .attempt = {}});
}

bool RequestSystem::mayRetry(const Request &request, const Attempt &attempt, model::TimePoint now)
{
    const config::StageConfig &stage = request.stageConfig();
    const bool mayRepeat = stage.isIdempotent || request.nonIdempotentSent == 0;
    if (!mayRepeat || request.hasCallerDisconnected
        || request.attemptCount >= m_options.maxAttemptsPerStage) {
        return false;
    }
    if (isDeadlineUnreachable(request, now) || !hasUntriedUpstream(request)) {
        return false;
    }
    // A failed test of an upstream is retried without using the attempt budget, because the request
    // was selected for it by this daemon.
    if (attempt.isTest) {
        return true;
    }
    return stateOf(request.pool).budget.take(0.0);
}

bool RequestSystem::hasUntriedUpstream(const Request &request) const
{
    const auto &upstreams = m_dependencies.upstreams.at(request.pool).upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](model::UpstreamRow upstream) {
        const bool isTried
            = std::find(request.triedUpstreams.begin(), request.triedUpstreams.end(), upstream)
              != request.triedUpstreams.end();
        return !isTried && !m_dependencies.upstreams.at(upstream).leavingSince;
    });
}

void RequestSystem::finishFailed(Request &request, model::Reason reason, uint16_t status,
                                 model::TimePoint now)
{
    model::Outcome outcome = model::Outcome::Failed;
    if (request.sentAttempts == 0) {
        outcome = model::Outcome::NotRun;
    } else if (request.hasPendingNonIdempotent) {
        outcome = model::Outcome::Unknown;
    }
    finish(request,
           {.request = request.id, .outcome = outcome, .reason = reason, .upstreamStatus = status},
           now);
}

void RequestSystem::finish(Request &request, Respond answer, model::TimePoint now)
{
    model::checkInvariant("the outcome is \"not run\" only when no attempt was sent",
                          answer.outcome != model::Outcome::NotRun || request.sentAttempts == 0);
    if (request.phase == StagePhase::Queued) {
        stateOf(request.pool).queue.remove(request.ticket);
    }
    cancelAttempts(request, now);
    countOutcome(request, answer.outcome, now);
    recordOutcome(request, answer);
    m_limits.release(request.account);
    if (!request.operationKey.empty()) {
        m_dependencies.operations.finish(request.operationKey,
                                         {.outcome = answer.outcome,
                                          .reason = answer.reason,
                                          .upstreamStatus = answer.upstreamStatus,
                                          .body = answer.body});
    }
    if (!request.hasCallerDisconnected) {
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

void RequestSystem::countOutcome(const Request &request, model::Outcome outcome,
                                 model::TimePoint now)
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
