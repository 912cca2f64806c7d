#include "pipeline/requestsystem.h"

#include <algorithm>

#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

//! Items at the head of a queue that are tried when the first has no upstream it may go to.
constexpr size_t headItems = 4;

} // namespace

bool RequestSystem::prepareStage(Request &request)
{
    const config::StageConfig &stage = request.stageConfig();
    const auto pool = m_parts.upstreams.find(stage.pool);
    if (!pool) {
        return false;
    }
    request.pool = *pool;
    const config::PoolConfig &config = m_parts.upstreams.at(*pool).config;
    request.cost = costOf(config, request.expectedTokens);
    const double usual
        = stateOf(*pool).costs.quantile(0.5, model::toSeconds(config.expectedDuration));
    request.isLong = model::toSeconds(request.cost) > m_options.longCostFactor * usual;
    return true;
}

void RequestSystem::startStage(Request &request, model::TimePoint now)
{
    request.tried.clear();
    request.attemptCount = 0;
    request.nextToken = 0;
    request.streamed.clear();
    if (!prepareStage(request)) {
        finishFailed(request, model::Reason::NoUpstream, 0, now);
        return;
    }
    if (isHopeless(request, now)) {
        finishFailed(request, model::Reason::DeadlineUnreachable, 0, now);
        return;
    }
    const bool isKeyDead = !request.operationKey.empty() && request.sentAttempts == 0
                           && !m_parts.operations.isLive(request.operationKey, now);
    if (isKeyDead) {
        finishFailed(request, model::Reason::KeyExpired, 0, now);
        return;
    }
    PoolState &state = stateOf(request.pool);
    state.costs.add(model::toSeconds(request.cost));
    state.budget.onFirstAttempt();
    const bool isQueueEmpty = state.queue.isEmpty();
    const bool mayStart = isQueueEmpty && (!request.isLong || mayTakeLong(request.pool));
    if (mayStart && tryStart(request, false, now)) {
        return;
    }
    enqueue(request, now);
}

void RequestSystem::enqueue(Request &request, model::TimePoint now)
{
    PoolState &state = stateOf(request.pool);
    request.phase = StagePhase::Queued;
    request.ticket = state.queue.add(queueItem(request), slots(request.pool), now);
}

admission::QueueItem RequestSystem::queueItem(const Request &request) const
{
    return {.request = request.id,
            .account = request.account,
            .weight = request.weight,
            .priorityRank = request.priorityRank,
            .cost = request.cost,
            .isLong = request.isLong,
            .bytes = request.input->size()};
}

void RequestSystem::dispatchAll(model::TimePoint now)
{
    for (uint32_t pool = 0; pool < m_pools.size(); ++pool) {
        dispatch(model::PoolRow {pool}, now);
    }
}

void RequestSystem::dispatch(model::PoolRow pool, model::TimePoint now)
{
    while (!stateOf(pool).queue.isEmpty() && dispatchOne(pool, now)) { }
}

bool RequestSystem::dispatchOne(model::PoolRow pool, model::TimePoint now)
{
    PoolState &state = stateOf(pool);
    for (const admission::QueueTicket &ticket : state.queue.front(headItems, mayTakeLong(pool))) {
        const admission::QueueItem *item = state.queue.item(ticket);
        Request *request = m_table.find(item->request);
        model::checkInvariant("a queued item has its request", request != nullptr);
        if (isHopeless(*request, now)) {
            finishFailed(*request, model::Reason::DeadlineUnreachable, 0, now);
            return true;
        }
        const bool isKeyDead = !request->operationKey.empty() && request->sentAttempts == 0
                               && !m_parts.operations.isLive(request->operationKey, now);
        if (isKeyDead) {
            finishFailed(*request, model::Reason::KeyExpired, 0, now);
            return true;
        }
        if (tryStart(*request, false, now)) {
            state.queue.remove(ticket);
            return true;
        }
    }
    return false;
}

// Work that cannot finish in time would only make the requests behind it late as well.
bool RequestSystem::isHopeless(const Request &request, model::TimePoint now) const
{
    if (now >= request.deadline) {
        return true;
    }
    if (!m_options.refusesEarly) {
        return false;
    }
    constexpr double likelyQuantile = 0.75;
    const model::Duration need
        = estimate(request.stageConfig(), request.expectedTokens, likelyQuantile)
          + laterStagesNeed(request);
    return now + need > request.deadline;
}

uint32_t RequestSystem::slots(model::PoolRow pool) const
{
    uint32_t sum = 0;
    for (const model::UpstreamRow upstream : m_parts.upstreams.at(pool).upstreams) {
        const upstreams::Upstream &row = m_parts.upstreams.at(upstream);
        const bool isInService = !health::isOutOfService(m_parts.health.row(upstream).state);
        if (row.takesNewWork() && isInService) {
            sum += row.limit.value();
        }
    }
    return sum;
}

bool RequestSystem::mayTakeLong(model::PoolRow pool) const
{
    const PoolState &state = *m_pools[pool.value];
    if (m_options.longSlotShare >= 1.0) {
        return true;
    }
    // Long work leaves room for what short work has needed of late, and for its bursts.
    constexpr double burstFactor = 1.5;
    const double usable = state.usableSlots;
    const double besideShort = usable - burstFactor * state.shortNeed;
    const double most = m_options.maxLongSlotShare * usable;
    const double allowed = std::clamp(besideShort, m_options.longSlotShare * usable, most);
    return state.longInFlight < std::max(1.0, allowed);
}

bool RequestSystem::tryStart(Request &request, bool isHedge, model::TimePoint now)
{
    const model::Duration expected
        = estimate(request.stageConfig(), request.expectedTokens, medianQuantile);
    const bool isIdempotent = request.stageConfig().isIdempotent;
    // A trial may take as long as two slow answers, and the retry has to fit behind it.
    constexpr int64_t trialTime = 4;
    const routing::StageDemand demand {
        .pool = request.pool,
        .isIdempotent = isIdempotent,
        .isShort = !request.isLong,
        .isStruck = m_quarantine.isStruck(request.fingerprint, now),
        .hasTimeToRetry
        = now + expected * trialTime + laterStagesNeed(request) < request.deadline && !isHedge,
        .prefix = m_parts.upstreams.at(request.pool).config.isStreaming ? request.prefix : 0,
        .excluded = request.tried};
    const auto choice = m_parts.router.choose(demand, now);
    if (!choice) {
        return false;
    }
    startAttempt(request, *choice, isHedge, now);
    return true;
}

void RequestSystem::startAttempt(Request &request, const routing::Choice &choice, bool isHedge,
                                 model::TimePoint now)
{
    upstreams::Upstream &upstream = m_parts.upstreams.at(choice.upstream);
    const config::StageConfig &stage = request.stageConfig();
    model::checkInvariant("no new work goes to a leaving upstream", !upstream.leavingSince);
    model::checkInvariant("nothing is dispatched past its deadline", now < request.deadline);
    model::checkInvariant("work that may run only once is dispatched once",
                          stage.isIdempotent || request.unrepeatableSent == 0);
    model::checkInvariant(
        "work that may run only once avoids returning upstreams",
        stage.isIdempotent || !health::isOutOfService(m_parts.health.row(choice.upstream).state));
    Attempt attempt;
    attempt.id = model::AttemptId(++m_lastAttempt);
    attempt.request = request.id;
    attempt.upstream = choice.upstream;
    attempt.stage = request.stage;
    attempt.startedAt = now;
    attempt.expected = request.cost;
    attempt.healthEpoch = m_parts.health.row(choice.upstream).epoch;
    attempt.isHedge = isHedge;
    attempt.isTest = choice.kind == routing::ChoiceKind::Test;
    attempt.isStruck = m_quarantine.isStruck(request.fingerprint, now);
    attempt.isLong = request.isLong;
    constexpr uint32_t quietDivisor = 4;
    attempt.startedQuiet = upstream.inFlight <= upstream.limit.value() / quietDivisor;

    ++upstream.inFlight;
    upstream.struckInFlight += attempt.isStruck ? 1 : 0;
    stateOf(request.pool).longInFlight += attempt.isLong ? 1 : 0;
    ++request.sentAttempts;
    request.unrepeatableSent += stage.isIdempotent ? 0 : 1;
    request.hasOpenUnrepeatable = !stage.isIdempotent;
    ++request.attemptCount;
    request.phase = StagePhase::Running;
    request.attempts.push_back(attempt.id);
    request.tried.push_back(choice.upstream);
    StageCost &cost = m_costs.stages[{.route = request.route->id, .stage = stage.name}];
    ++cost.attempts;
    cost.hedges += isHedge ? 1 : 0;
    cost.retries += !isHedge && request.attemptCount > 1 ? 1 : 0;
    const bool hasPrefix
        = m_parts.upstreams.at(request.pool).config.isStreaming && request.prefix != 0;
    if (hasPrefix) {
        m_parts.prefixes.note(request.prefix, choice.upstream);
    }
    m_commands.emplace_back(commandFor(request, attempt, now));
    armAttemptTimers(request, m_table.add(attempt));
}

StartAttempt RequestSystem::commandFor(const Request &request, const Attempt &attempt,
                                       model::TimePoint now) const
{
    const upstreams::Upstream &upstream = m_parts.upstreams.at(attempt.upstream);
    const config::PoolConfig &pool = m_parts.upstreams.at(request.pool).config;
    const model::Duration left = request.deadline - now;
    const model::Duration forLater = laterStagesNeed(request);
    return {.attempt = attempt.id,
            .request = request.id,
            .callerId = request.callerId,
            .upstream = upstream.config.id,
            .host = upstream.config.host,
            .port = upstream.config.port,
            .path = request.stageConfig().path,
            .budget = std::max(left - forLater, model::Duration(left / 2)),
            .priorityRank = request.priorityRank,
            .isStreaming = pool.isStreaming,
            .resumeFrom = request.nextToken,
            .expectedTokens = request.expectedTokens,
            .prefix = pool.isStreaming ? request.prefix : 0,
            .needsFreshConnection = !request.stageConfig().isIdempotent,
            .checksEcho = pool.echoesAttempt,
            .maxAnswerBytes = pool.maxAnswerBytes,
            .body = request.input};
}

void RequestSystem::armAttemptTimers(const Request &request, const Attempt &attempt)
{
    const config::PoolConfig &pool = m_parts.upstreams.at(request.pool).config;
    const model::QuantileSketch &ratios = m_parts.upstreams.at(request.pool).ratios;
    const double median = m_parts.health.poolRatio(request.pool);
    const double overdueRatio = m_parts.health.slowThreshold(request.pool);
    m_timers.add(attempt.startedAt + model::scaled(attempt.expected, overdueRatio),
                 {.kind = TimerKind::Overdue, .request = request.id, .attempt = attempt.id});
    const bool mayHedge
        = m_options.hedges && request.stageConfig().isIdempotent && !attempt.isHedge;
    if (!mayHedge) {
        return;
    }
    // A stream is hedged until its first token only: later ones already reached the caller.
    const model::Duration usual = pool.isStreaming ? pool.expectedDuration : attempt.expected;
    // Where several upstreams are slow the quantile is theirs, and waiting for it would save
    // nobody.
    constexpr double mostFactor = 2.0;
    const double most = mostFactor * median;
    const double ratio = std::clamp(ratios.quantile(m_options.hedgeQuantile, most), median, most);
    m_timers.add(attempt.startedAt + model::scaled(usual, ratio),
                 {.kind = TimerKind::Hedge, .request = request.id, .attempt = attempt.id});
}

} // namespace citronpick::pipeline
