#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "relay/relaysystem.h"
#include "relay/retryafter.h"

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! Attempts that reached no upstream do not count against the route's maximum, but they take time.
constexpr uint32_t maxUnsentAttempts = 3;
//! With less time left than this, another attempt could not succeed and would only add load.
constexpr model::Duration minAttemptTime = model::milliseconds(20);
//! A full upstream has capacity again after about the time of one request.
constexpr model::Duration fullPoolRetryAfter = model::milliseconds(300);
constexpr uint16_t conflictStatus = 409;

std::string reasonsOf(const EnginePlace &place)
{
    return absl::StrCat(" inFlightTokens=", place.engine->inFlightTokens,
                        " keptTokens=", place.keptTokens,
                        " work=", static_cast<int64_t>(place.work),
                        " slownessPercent=", static_cast<int64_t>(100.0 * place.figure.slowness),
                        " speedAgeMs=", model::toMilliseconds(place.figure.age));
}

} // namespace

void RelaySystem::startAttempt(Exchange &exchange, model::TimePoint now)
{
    const model::RequestId id = exchange.arrived.request;
    if (isQuarantined(exchange, now)) {
        refuseAfterCrash(exchange);
        return;
    }
    if (exchange.plan.areFinalResultsReleased()) {
        ++m_counters.stageRestarts;
        record(EventCode::StagesRestarted, exchange, exchange.route->id.text(),
               absl::StrCat("why=resumed leftMs=", model::toMilliseconds(exchange.deadline - now)));
        exchange.plan.restart();
        advanceExchange(id, now);
        return;
    }
    const std::vector<ResultHandle> inputs = exchange.plan.finalResults();
    // A refusal is true only as long as no upstream may have run the request.
    if (mayOutlastShutdown(exchange) && !exchange.mayHaveRun) {
        refuse(id, Refusal::TooLate, fullPoolRetryAfter);
        return;
    }
    const bool isTooLate
        = isStream(exchange.route->kind) && !exchange.isAnswerStarted
          && now + engineTime(exchange, Estimate::Minimum) >= exchange.firstEventDeadline;
    if (isTooLate) {
        // The caller would disconnect before the first event.
        refuse(id, Refusal::TooLate, fullPoolRetryAfter);
        return;
    }
    const UpstreamCriteria criteria = criteriaOf(exchange);
    const EnginePlace choice = m_chooser.chooseWithReasons(criteria, now);
    if (!choice.engine) {
        const Refusal refusal = refusalWithoutUpstream(exchange);
        refuse(id, refusal,
               refusal == Refusal::VersionGone
                   ? model::Duration::zero()
                   : retryAfterOf(exchange.pool, emptyPoolRetryAfter, now));
        return;
    }
    Upstream &upstream = *m_directory.find(choice.engine->listing.id);
    m_chooser.noteSent(criteria, now);
    const model::AttemptId attempt(++m_lastAttempt);
    ++m_counters.attempts;
    m_counters.coldCalls += upstream.isCold(now) ? 1 : 0;
    m_counters.limitedCalls += upstream.limit ? 1 : 0;
    UpstreamDirectory::noteStarted(upstream, now);
    upstream.inFlightTokens += exchange.arrived.promptTokens;
    m_attempts[attempt]
        = {.request = id,
           .upstream = upstream.listing.id,
           .incarnation = upstream.listing.incarnation,
           .version = upstream.listing.version,
           .tokens = exchange.arrived.promptTokens,
           .unreadTokens = exchange.arrived.promptTokens
                           - std::min(choice.keptTokens, exchange.arrived.promptTokens),
           .isOnEngine = criteria.hasEngines,
           .startedAt = now,
           .lastProgressAt = now,
           .isResumption = exchange.isAnswerStarted};
    exchange.attempt = attempt;
    exchange.triedUpstreams.push_back(upstream.listing.id);
    ++exchange.sentAttempts;
    record(EventCode::ExchangeSent, exchange, upstream.listing.id.text(),
           absl::StrCat("attempt=", exchange.sentAttempts, " inFlight=", upstream.inFlight,
                        " failures=", upstream.consecutiveFailures,
                        " leftMs=", model::toMilliseconds(exchange.deadline - now),
                        " afterMs=", model::toMilliseconds(now - exchange.arrived.startedAt),
                        " version=", upstream.listing.version.text(),
                        exchange.plan.isEmpty() ? "" : absl::StrCat(" inputs=", inputs.size()),
                        criteria.hasEngines ? reasonsOf(choice) : ""));
    const bool needsFresh = needsFreshConnection(exchange, upstream.listing.address);
    exchange.triedAddresses.push_back(upstream.listing.address);
    m_commands.emplace_back(
        StartAttempt {.request = id,
                      .attempt = attempt,
                      .upstream = upstream.listing.id,
                      .incarnation = upstream.listing.incarnation,
                      .address = upstream.listing.address,
                      .account = exchange.account,
                      .timeLeft = exchange.deadline - now,
                      .priority = exchange.priority,
                      .hasStages = !exchange.plan.isEmpty(),
                      .inputs = inputs,
                      .resumeAfter = exchange.lastEvent,
                      .needsFreshConnection = needsFresh,
                      .forwardsWholeEvents = exchange.route->kind == RequestKind::ResumableStream});
}

// A late copy of an earlier attempt's answer names the same request as the answer to this attempt,
// and only the connection tells them apart.
bool RelaySystem::needsFreshConnection(const Exchange &exchange, const config::Endpoint &address)
{
    return !mayRepeat(exchange.route->kind)
           || std::find(exchange.triedAddresses.begin(), exchange.triedAddresses.end(), address)
                  != exchange.triedAddresses.end();
}

UpstreamCriteria RelaySystem::criteriaOf(const Exchange &exchange)
{
    UpstreamCriteria criteria {
        .pool = exchange.pool,
        .excluded = exchange.triedUpstreams,
        .promptTokens = exchange.arrived.promptTokens,
        .preferredZone = exchange.expectedZone.isEmpty() ? m_options.zone : exchange.expectedZone};
    const std::vector<PromptPart> &parts = exchange.arrived.promptParts;
    if (parts.size() >= 2) {
        // The last part is specific to the request. The one before it is the most specific part
        // that other requests share.
        criteria.affinity = parts[parts.size() - 2].id;
    }
    if (exchange.version) {
        criteria.requiredVersion = exchange.version;
    } else if (exchange.route->kind == RequestKind::ResumableStream) {
        criteria.preferredVersion
            = placedVersion(originOf(exchange), versionsOf(exchange.pool).current());
    }
    const PoolRule *pool = exchange.configuration->findPool(exchange.pool);
    if (m_options.placesByFirstEvent && pool && pool->engine && !parts.empty()) {
        criteria.hasEngines = true;
        criteria.sharedParts.assign(parts.begin(), parts.end() - 1);
    }
    return criteria;
}

// Stage results can be large, so stages should run in the zone where the results will be used. The
// zone is therefore chosen before the stages start.
void RelaySystem::chooseExpectedZone(Exchange &exchange, model::TimePoint now)
{
    const Upstream *upstream = m_chooser.choose(criteriaOf(exchange), now);
    exchange.expectedZone = upstream ? upstream->listing.zone : m_options.zone;
}

RelaySystem::Attempt RelaySystem::closeAttempt(model::AttemptId id)
{
    const auto it = m_attempts.find(id);
    Attempt attempt = std::move(it->second);
    m_attempts.erase(it);
    m_directory.noteEnded(attempt.upstream, attempt.startedAt);
    if (Upstream *upstream = m_directory.find(attempt.upstream)) {
        upstream->inFlightTokens -= std::min(upstream->inFlightTokens, attempt.tokens);
    }
    if (Exchange *exchange = find(attempt.request)) {
        model::AttemptId &open
            = exchange->silentAttempt == id ? exchange->silentAttempt : exchange->attempt;
        open = {};
    }
    return attempt;
}

void RelaySystem::abandonAttempt(model::AttemptId id, AttemptFailure failure,
                                 const std::string &detail, model::TimePoint now)
{
    const Attempt attempt = closeAttempt(id);
    Exchange &exchange = *find(attempt.request);
    m_commands.emplace_back(CancelAttempt {.attempt = id});
    m_directory.noteFailure(attempt.upstream, now);
    record(EventCode::AttemptLost, exchange, attempt.upstream.text(), detail);
    onAnswerLost(exchange, attempt.upstream, failure, now);
}

void RelaySystem::onAttemptEnd(model::AttemptId id, model::TimePoint now)
{
    if (!m_attempts.contains(id)) {
        return;
    }
    const Attempt attempt = closeAttempt(id);
    Exchange &exchange = *find(attempt.request);
    const AnswerFacts facts = attempt.facts.value_or(AnswerFacts {});
    if (facts.isMisdirected) {
        m_directory.noteReplaced(attempt.upstream, now);
        record(EventCode::AttemptRefused, exchange, attempt.upstream.text(), "why=replaced");
        onAttemptNotSent(exchange, attempt.upstream, now);
        return;
    }
    if (facts.wasNotRun) {
        onRefusedByUpstream(exchange, facts, now);
        return;
    }
    if (!facts.isSuccess() && (!facts.hasProvenance || facts.isEncoded || facts.status < 300)) {
        onAnswerLost(exchange, attempt.upstream, AttemptFailure::Malformed, now);
        return;
    }
    if (facts.promisesNotRun) {
        onUnconfirmedRefusal(exchange, attempt, facts, now);
        return;
    }
    constexpr uint16_t firstServerError = 500;
    if (facts.status >= firstServerError && mayRepeat(exchange.route->kind)
        && !exchange.isAnswerStarted && acquireRetry(exchange, now)) {
        ++m_counters.retries;
        exchange.mayHaveRun = true;
        record(EventCode::AttemptRetried, exchange, attempt.upstream.text(),
               absl::StrCat("status=", facts.status));
        startAttempt(exchange, now);
        return;
    }
    if (exchange.isAnswerStarted && !facts.isSuccess()) {
        // The upstream refused to resume the stream, so the caller's answer cannot be completed.
        onAnswerLost(exchange, attempt.upstream, AttemptFailure::Malformed, now);
        return;
    }
    m_directory.noteSuccess(attempt.upstream, attempt.startedAt);
    if (facts.status < firstServerError) {
        addAnswer(exchange, now);
    }
    ++m_counters.answersForwarded;
    m_counters.answers.add(now - exchange.arrived.startedAt);
    record(EventCode::AnswerPassed, exchange, attempt.upstream.text(),
           absl::StrCat("status=", facts.status, " attempts=", exchange.sentAttempts,
                        " tookMs=", model::toMilliseconds(now - exchange.arrived.startedAt)));
    if (exchange.isAnswerStarted) {
        if (isStream(exchange.route->kind)) {
            updateStreamTime(exchange, now);
        }
        m_commands.emplace_back(FinishStream {.request = attempt.request});
    } else {
        m_commands.emplace_back(ForwardAnswer {.request = attempt.request, .attempt = id});
    }
    closeExchange(attempt.request);
}

void RelaySystem::onRefusedByUpstream(Exchange &exchange, const AnswerFacts &facts,
                                      model::TimePoint now)
{
    const model::RequestId id = exchange.arrived.request;
    record(EventCode::AttemptRefused, exchange, exchange.triedUpstreams.back().text(),
           absl::StrCat("status=", facts.status));
    if (facts.status == conflictStatus && !exchange.plan.isEmpty()) {
        // A stage result was lost before the upstream could fetch it; the request has not run.
        exchange.triedUpstreams.pop_back();
        --exchange.sentAttempts;
        restartStages(exchange, now);
        return;
    }
    if (m_chooser.choose(criteriaOf(exchange), now) && acquireRetry(exchange, now)) {
        ++m_counters.retries;
        startAttempt(exchange, now);
        return;
    }
    refuse(id, Refusal::UpstreamsFull, retryAfterOf(exchange.pool, fullPoolRetryAfter, now));
}

// The caller would send the request again after such a status, although it may have run here. The
// upstream has given a whole answer all the same, as with any failure that is forwarded.
void RelaySystem::onUnconfirmedRefusal(Exchange &exchange, const Attempt &attempt,
                                       const AnswerFacts &facts, model::TimePoint now)
{
    ++m_counters.unconfirmedRefusals;
    m_directory.noteSuccess(attempt.upstream, attempt.startedAt);
    record(EventCode::AttemptLost, exchange, attempt.upstream.text(),
           absl::StrCat("why=", model::toAbsl(toString(AttemptFailure::Unconfirmed)),
                        " status=", facts.status));
    onAnswerLost(exchange, attempt.upstream, AttemptFailure::Unconfirmed, now);
}

void RelaySystem::onAttemptFailed(model::AttemptId id, AttemptFailure failure,
                                  const std::string &lastEvent, model::TimePoint now)
{
    if (!m_attempts.contains(id)) {
        return;
    }
    const bool isResumed = find(m_attempts.at(id).request)->silentAttempt == id;
    const Attempt attempt = closeAttempt(id);
    Exchange &exchange = *find(attempt.request);
    if (!lastEvent.empty()) {
        exchange.lastEvent = lastEvent;
    }
    m_directory.noteFailure(attempt.upstream, now);
    if (failure == AttemptFailure::NotSent || failure == AttemptFailure::Broken) {
        m_directory.noteConnectionLost(attempt.upstream, now);
        handleSuspects(now);
    }
    record(EventCode::AttemptLost, exchange, attempt.upstream.text(),
           absl::StrCat("why=", model::toAbsl(toString(failure)),
                        " afterMs=", model::toMilliseconds(now - attempt.startedAt)));
    const bool isQuarantineNew
        = failure == AttemptFailure::Broken && addCrashReport(exchange, attempt, now);
    if (isResumed) {
        if (isQuarantineNew) {
            refuseQuarantined(now);
        }
        return;
    }
    if (failure != AttemptFailure::NotSent) {
        onAnswerLost(exchange, attempt.upstream, failure, now);
        if (isQuarantineNew) {
            refuseQuarantined(now);
        }
        return;
    }
    onAttemptNotSent(exchange, attempt.upstream, now);
}

void RelaySystem::onAttemptRecalled(model::AttemptId id, model::TimePoint now)
{
    if (!m_attempts.contains(id)) {
        return;
    }
    const Attempt attempt = closeAttempt(id);
    Exchange &exchange = *find(attempt.request);
    record(EventCode::AttemptLost, exchange, attempt.upstream.text(), "why=recalled");
    onAttemptNotSent(exchange, attempt.upstream, now);
}

// The chosen upstream has not received the request, so the attempt does not count.
void RelaySystem::onAttemptNotSent(Exchange &exchange, const model::UpstreamId &upstream,
                                   model::TimePoint now)
{
    --exchange.sentAttempts;
    ++exchange.unsentAttempts;
    const bool canRetry = exchange.unsentAttempts < maxUnsentAttempts
                          && now + minAttemptTime < exchange.deadline
                          && m_budget.take(exchange.pool, now);
    if (canRetry) {
        startAttempt(exchange, now);
    } else if (exchange.isAnswerStarted) {
        onAnswerLost(exchange, upstream, AttemptFailure::NotSent, now);
    } else {
        refuse(exchange.arrived.request,
               exchange.sentAttempts == 0 ? Refusal::NoUpstream : Refusal::UpstreamFailed,
               retryAfterOf(exchange.pool, emptyPoolRetryAfter, now));
    }
}

// An upstream may have run the request, but its answer was lost.
void RelaySystem::onAnswerLost(Exchange &exchange, const model::UpstreamId &upstream,
                               AttemptFailure failure, model::TimePoint now)
{
    const model::RequestId id = exchange.arrived.request;
    exchange.mayHaveRun = true;
    // A large answer that was forwarded in part cannot be continued with another upstream's answer.
    const bool canContinue
        = !exchange.isAnswerStarted || exchange.route->kind == RequestKind::ResumableStream;
    if (canContinue && !isQuarantined(exchange, now) && mayRepeat(exchange.route->kind)
        && acquireRetry(exchange, now)) {
        ++(exchange.isAnswerStarted ? m_counters.resumes : m_counters.retries);
        record(EventCode::AttemptRetried, exchange, upstream.text(),
               absl::StrCat("why=", model::toAbsl(toString(failure)),
                            " lastEvent=", exchange.lastEvent));
        startAttempt(exchange, now);
        return;
    }
    if (!exchange.isAnswerStarted) {
        refuse(id, Refusal::UpstreamFailed, model::Duration::zero());
        return;
    }
    if (returnToSilent(exchange)) {
        return;
    }
    abortAnswer(exchange, absl::StrCat("why=", model::toAbsl(toString(failure)),
                                       " upstream=", upstream.text()));
}

bool RelaySystem::canRetry(const Exchange &exchange, model::TimePoint now)
{
    return exchange.sentAttempts < exchange.route->maxAttempts
           && exchange.unsentAttempts < maxUnsentAttempts
           && now + minAttemptTime < exchange.deadline && m_budget.canTake(exchange.pool, now);
}

bool RelaySystem::acquireRetry(const Exchange &exchange, model::TimePoint now)
{
    return canRetry(exchange, now) && m_budget.take(exchange.pool, now);
}

} // namespace citronpick::relay
