#include "relay/relaysystem.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/hash.h"
#include "model/overloaded.h"
#include "relay/retryafter.h"

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! A daemon usually receives its configuration within a second of its start.
constexpr model::Duration configurationRetryAfter = model::milliseconds(500);
//! The platform's callers give up a stream that does not begin within the longest of a fixed time,
//! a multiple of the route's latency target and a multiple of its maximum pause between events.
constexpr model::Duration minCallerTimeout = model::seconds(2);
constexpr int64_t callerTimeoutInTargets = 4;
constexpr int64_t callerTimeoutInPauses = 8;
//! Allows for the network delay of the refusal and for timers that fire late.
constexpr model::Duration callerTimeoutMargin = model::milliseconds(50);
//! Number of upstreams that have to fail while they run identical requests before these are
//! quarantined. A lower number would quarantine requests when upstreams crash for other reasons.
constexpr uint32_t crashesToQuarantine = 3;
constexpr model::Duration crashReportLifetime = model::seconds(60);
constexpr model::Duration quarantineLifetime = model::seconds(600);
//! A queue does not become shorter in less time than a batch takes, which is about this long.
constexpr model::Duration minQueueRetryAfter = model::milliseconds(300);

} // namespace

std::string_view toString(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "not-sent";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::Malformed:
        return "malformed";
    case AttemptFailure::TimedOut:
        return "timed-out";
    case AttemptFailure::Unconfirmed:
        return "unconfirmed-refusal";
    }
    return "broken";
}

RelaySystem::RelaySystem(RelayOptions options)
    : m_options(std::move(options))
    , m_directory({.daemon = m_options.daemon,
                   .overshoot = m_options.coldOvershoot,
                   .slack = m_options.coldSlack})
    , m_chooser(m_directory, m_options.seed)
    , m_scheduler(m_directory)
    , m_budget(m_options.retries)
    , m_quarantine(crashesToQuarantine, crashReportLifetime, quarantineLifetime)
    , m_random(m_options.seed)
{
}

bool RelaySystem::setConfiguration(RelayConfigurationPtr configuration)
{
    if (m_configuration && configuration->revision() <= m_configuration->revision()) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_directory.setConfiguration(m_configuration);
    m_scheduler.setConfiguration(m_configuration);
    return true;
}

void RelaySystem::addDeadlineTimers(const Exchange &exchange)
{
    m_timeouts.add(exchange.deadline, exchange.arrived.request);
    if (exchange.firstEventDeadline < exchange.deadline) {
        m_timeouts.add(exchange.firstEventDeadline, exchange.arrived.request);
    }
}

void RelaySystem::setPeers(std::vector<PeerDaemon> peers, model::TimePoint now)
{
    m_peers = std::move(peers);
    std::vector<model::DaemonId> daemons;
    for (const PeerDaemon &peer : m_peers) {
        daemons.push_back(peer.id);
    }
    m_directory.setDaemons(std::move(daemons), now);
    m_budget.setDaemons(static_cast<uint32_t>(m_peers.size()));
    moveQueuedJobs(now);
}

RelaySystem::Exchange *RelaySystem::find(model::RequestId request)
{
    const auto it = m_exchanges.find(request);
    return it == m_exchanges.end() ? nullptr : it->second.get();
}

std::optional<Refusal> RelaySystem::admit(Exchange &exchange, model::TimePoint now) const
{
    if (!m_configuration) {
        return Refusal::NoConfiguration;
    }
    const std::vector<uint32_t> &pieceCounts = exchange.arrived.pieceCounts;
    const bool hasTooManyPieces
        = std::any_of(pieceCounts.begin(), pieceCounts.end(),
                      [](uint32_t count) { return count > maxPiecesPerStage; });
    if (exchange.arrived.callerId.isEmpty() || hasTooManyPieces) {
        return Refusal::BadRequest;
    }
    exchange.configuration = m_configuration;
    exchange.route = m_configuration->findRoute(exchange.arrived.host, exchange.arrived.path);
    if (!exchange.route) {
        return Refusal::UnknownRoute;
    }
    if (now >= (isStream(exchange.route->kind) ? m_acceptStreamsUntil : m_acceptRequestsUntil)) {
        return Refusal::Stopping;
    }
    exchange.priority = exchange.route->priority;
    const AccountRule *account = exchange.arrived.accountKey
                                     ? m_configuration->findAccount(*exchange.arrived.accountKey)
                                     : nullptr;
    if (m_configuration->content().accounts && !exchange.route->isPublic && !account) {
        return Refusal::UnknownKey;
    }
    if (isQuarantined(exchange, now)) {
        return Refusal::Quarantined;
    }
    if (account) {
        exchange.account = account->id;
        exchange.priority = account->priority.value_or(exchange.priority);
    }
    return std::nullopt;
}

// The choice depends only on the request's id and the route, so every daemon chooses the same pool.
model::PoolId RelaySystem::poolOf(const Exchange &exchange) const
{
    const std::vector<PoolShare> &pools = exchange.route->pools;
    uint64_t total = 0;
    for (const PoolShare &share : pools) {
        total += share.weight;
    }
    if (total == 0) {
        return pools.empty() ? model::PoolId() : pools.front().pool;
    }
    uint64_t at = model::hash64(originOf(exchange).text()) % total;
    for (const PoolShare &share : pools) {
        if (at < share.weight) {
            return share.pool;
        }
        at -= share.weight;
    }
    return pools.back().pool;
}

void RelaySystem::onRequestArrived(ArrivedRequest request, model::TimePoint now)
{
    ++m_counters.arrived;
    const model::RequestId id = request.request;
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.arrived = std::move(request);
    exchange.sharedParts = sharedParts(exchange.arrived.promptParts);
    m_exchanges.emplace(id, std::move(owned));
    if (const std::optional<Refusal> refusal = admit(exchange, now)) {
        const bool isStopping = *refusal == Refusal::Stopping;
        const bool isUnconfigured = *refusal == Refusal::NoConfiguration;
        refuse(id, *refusal,
               isStopping       ? stoppingRetryAfter
               : isUnconfigured ? configurationRetryAfter
                                : model::Duration::zero());
        return;
    }
    exchange.pool = poolOf(exchange);
    exchange.deadline = exchange.arrived.startedAt
                        + std::min(exchange.route->timeout,
                                   exchange.arrived.timeLeft.value_or(exchange.route->timeout));
    updateVersions(now);
    notePatience(exchange);
    const std::optional<Refusal> unknownOrigin
        = isTakeUp(exchange) ? bindTakeUp(exchange, now) : std::nullopt;
    exchange.plan = StagePlan(exchange.route->stages, exchange.arrived.pieceCounts);
    if (!exchange.plan.isEmpty()) {
        chooseExpectedZone(exchange, now);
    }
    m_budget.noteRequest(exchange.pool, now);
    exchange.firstEventDeadline = firstEventDeadlineOf(exchange);
    limitToShutdown(exchange);
    addDeadlineTimers(exchange);
    record(EventCode::ExchangeAdmitted, exchange, exchange.route->id.text(),
           absl::StrCat("revision=", m_configuration->revision().value(),
                        " pool=", exchange.pool.text(), " account=", exchange.account.text(),
                        " leftMs=", model::toMilliseconds(exchange.deadline - now),
                        " stages=", exchange.route->stages.size(),
                        exchange.arrived.lastEvent.empty()
                            ? ""
                            : absl::StrCat(" resumes=", exchange.arrived.resumes.text(),
                                           " lastEvent=", exchange.arrived.lastEvent, " version=",
                                           exchange.version ? exchange.version->text() : "any")));
    if (unknownOrigin) {
        refuse(id, *unknownOrigin, model::Duration::zero());
        return;
    }
    if (mayOutlastShutdown(exchange)) {
        refuse(id, Refusal::Stopping, stoppingRetryAfter);
        return;
    }
    if (const std::optional<model::Duration> retryAfter = unservableRetryAfter(exchange, now)) {
        refuse(id, Refusal::NoUpstream, *retryAfter);
        return;
    }
    exchange.expected = estimateCompletion(exchange, now);
    if (const std::optional<model::Duration> excess = excessWait(exchange, now)) {
        const model::Duration wait = std::max(minQueueRetryAfter, *excess);
        refuse(id, Refusal::TooLate, spreadRetryAfter(wait, exchange.deadline - now, m_random));
        return;
    }
    advanceExchange(id, now);
}

void RelaySystem::refuse(model::RequestId id, Refusal refusal, model::Duration retryAfter)
{
    Exchange *exchange = find(id);
    if (!exchange) {
        return;
    }
    if (exchange->isAnswerStarted) {
        if (!returnToSilent(*exchange)) {
            abortAnswer(*exchange, absl::StrCat("why=", model::toAbsl(toString(refusal))));
        }
        return;
    }
    ++m_counters.refused;
    if (refusal == Refusal::TooLate && exchange->isLimitedByShutdown) {
        refusal = Refusal::Stopping;
        retryAfter = stoppingRetryAfter;
    }
    if (exchange->mayHaveRun && guaranteesNotRun(refusal)) {
        refusal = Refusal::UpstreamFailed;
        retryAfter = {};
    }
    if (exchange->route) {
        ++m_counters.refusedByPriority[{exchange->priority, refusal}];
    }
    record(EventCode::ExchangeRefused, *exchange,
           exchange->route ? exchange->route->id.text() : exchange->arrived.host,
           absl::StrCat("why=", model::toAbsl(toString(refusal)),
                        " attempts=", exchange->sentAttempts, " unsent=", exchange->unsentAttempts,
                        " ran=", guaranteesNotRun(refusal) ? "no" : "maybe", " retryAfterMs=",
                        model::toMilliseconds(retryAfter), " priority=", exchange->priority,
                        " onTimeWaitMs=", model::toMilliseconds(exchange->expected.onTimeWait),
                        " lateWaitMs=", model::toMilliseconds(exchange->expected.lateWait),
                        " revision=", m_configuration ? m_configuration->revision().value() : 0));
    m_commands.emplace_back(
        RefuseRequest {.request = id, .refusal = refusal, .retryAfter = retryAfter});
    closeExchange(id);
}

void RelaySystem::abortAnswer(const Exchange &exchange, std::string detail)
{
    const model::RequestId id = exchange.arrived.request;
    ++m_counters.answersAborted;
    absl::StrAppend(&detail, " stopping=", m_shutdownAt == model::TimePoint::max() ? 0 : 1,
                    " attempts=", exchange.sentAttempts, " unsent=", exchange.unsentAttempts,
                    " jobs=", exchange.jobs.size(), " lastEvent=", exchange.lastEvent);
    record(EventCode::AnswerBroken, exchange, exchange.route->id.text(), std::move(detail));
    m_commands.emplace_back(AbortAnswer {.request = id});
    closeExchange(id);
}

void RelaySystem::onCallerDisconnected(model::RequestId id, model::TimePoint now)
{
    Exchange *exchange = find(id);
    if (!exchange) {
        return;
    }
    ++m_counters.callersDisconnected;
    record(EventCode::ExchangeAbandoned, *exchange,
           exchange->route ? exchange->route->id.text() : std::string(),
           absl::StrCat("afterMs=", model::toMilliseconds(now - exchange->arrived.startedAt),
                        " attempts=", exchange->sentAttempts));
    closeExchange(id);
}

model::Duration RelaySystem::callerTimeout(const RouteRule &route)
{
    return std::max({minCallerTimeout, callerTimeoutInTargets * route.latencyTarget,
                     callerTimeoutInPauses * route.pauseTarget});
}

// Callers give up a stream that does not begin. A refusal sent just before still tells them when to
// retry.
model::TimePoint RelaySystem::firstEventDeadlineOf(const Exchange &exchange)
{
    if (!isStream(exchange.route->kind)) {
        return exchange.deadline;
    }
    return std::min(exchange.deadline, exchange.arrived.startedAt + callerTimeout(*exchange.route)
                                           - callerTimeoutMargin);
}

void RelaySystem::onTimeout(model::RequestId id, model::TimePoint now)
{
    Exchange *exchange = find(id);
    if (!exchange) {
        return;
    }
    if (now < exchange->deadline && exchange->attempt.value() != 0) {
        if (exchange->isAnswerStarted) {
            checkProgress(*exchange, now);
        }
        return;
    }
    if (now < exchange->deadline && exchange->isAnswerStarted && !exchange->jobs.empty()) {
        // The stages run again for the rest of the answer; their jobs have deadlines of their own.
        return;
    }
    if (exchange->isAnswerStarted) {
        const auto attempt = m_attempts.find(exchange->attempt);
        const model::Duration silent = attempt == m_attempts.end()
                                           ? model::Duration::zero()
                                           : now - attempt->second.lastProgressAt;
        abortAnswer(*exchange,
                    absl::StrCat("why=", exchange->isLimitedByShutdown ? "stopping" : "timed-out",
                                 " hasUpstream=", attempt == m_attempts.end() ? 0 : 1,
                                 " silentMs=", model::toMilliseconds(silent)));
        return;
    }
    refuse(id, exchange->sentAttempts == 0 ? Refusal::TooLate : Refusal::TimedOut,
           model::Duration::zero());
}

// Cancels the jobs and the attempt of a request, releases its results and removes it.
void RelaySystem::closeExchange(model::RequestId id)
{
    const auto it = m_exchanges.find(id);
    const std::unique_ptr<Exchange> exchange = std::move(it->second);
    m_exchanges.erase(it);
    cancelJobs(*exchange);
    for (const model::AttemptId attempt : {exchange->silentAttempt, exchange->attempt}) {
        if (m_attempts.contains(attempt)) {
            closeAttempt(attempt);
            m_commands.emplace_back(CancelAttempt {.attempt = attempt});
        }
    }
    releaseResults(exchange->plan.takeAllResults());
}

void RelaySystem::releaseResults(std::vector<ResultHandle> handles)
{
    if (!handles.empty()) {
        m_commands.emplace_back(ReleaseResults {.handles = std::move(handles)});
    }
}

void RelaySystem::run(model::TimePoint now)
{
    while (const auto request = m_timeouts.takeDue(now)) {
        onTimeout(*request, now);
    }
    m_directory.run(now);
    updateVersions(now);
    runQuarantine(now);
    runScheduler(now);
    checkPeers(now);
}

std::optional<model::TimePoint> RelaySystem::nextRun() const
{
    std::optional<model::TimePoint> next = m_timeouts.earliest();
    for (const std::optional<model::TimePoint> other :
         {m_scheduler.nextRun(), m_partQuarantine.nextRun(), m_directory.nextRun()}) {
        if (other && (!next || *other < *next)) {
            next = other;
        }
    }
    return next;
}

std::vector<RelayCommand> RelaySystem::takeCommands()
{
    return std::exchange(m_commands, {});
}

void RelaySystem::record(EventCode code, const Exchange &exchange, std::string subject,
                         std::string detail)
{
    m_commands.emplace_back(observability::Event {.code = code,
                                                  .request = exchange.arrived.callerId,
                                                  .subject = std::move(subject),
                                                  .detail = std::move(detail)});
}

} // namespace citronpick::relay
