#include "pipeline/requestsystem.h"

#include <algorithm>

#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

//! Number of items at the head of a queue that are considered when no upstream is available for the
//! first ones.
constexpr size_t maxCandidates = 4;

} // namespace

bool RequestSystem::prepareStage(Request &request)
{
    const config::StageConfig &stage = request.stageConfig();
    const auto pool = m_dependencies.upstreams.find(stage.pool);
    if (!pool) {
        return false;
    }
    request.pool = *pool;
    const config::PoolConfig &config = m_dependencies.upstreams.at(*pool).config;
    request.cost = costOf(config, request.expectedTokens);
    const double medianCost
        = stateOf(*pool).costs.quantile(0.5, model::toSeconds(config.expectedDuration));
    request.isLong = model::toSeconds(request.cost) > m_options.longCostFactor * medianCost;
    return true;
}

void RequestSystem::startStage(Request &request, model::TimePoint now)
{
    request.triedUpstreams.clear();
    request.attemptCount = 0;
    request.nextToken = 0;
    request.collectedText.clear();
    if (!prepareStage(request)) {
        finishFailed(request, model::Reason::NoUpstream, 0, now);
        return;
    }
    if (isDeadlineUnreachable(request, now)) {
        finishFailed(request, model::Reason::DeadlineUnreachable, 0, now);
        return;
    }
    const bool isKeyExpired = !request.operationKey.empty() && request.sentAttempts == 0
                              && !m_dependencies.operations.isKeyValid(request.operationKey, now);
    if (isKeyExpired) {
        finishFailed(request, model::Reason::KeyExpired, 0, now);
        return;
    }
    PoolState &state = stateOf(request.pool);
    state.costs.add(model::toSeconds(request.cost));
    state.budget.onFirstAttempt();
    const bool isQueueEmpty = state.queue.isEmpty();
    const bool mayStart = isQueueEmpty && (!request.isLong || mayStartLong(request.pool));
    if (mayStart && tryStart(request, false, now)) {
        return;
    }
    enqueue(request, now);
}

void RequestSystem::enqueue(Request &request, model::TimePoint now)
{
    PoolState &state = stateOf(request.pool);
    request.phase = StagePhase::Queued;
    request.ticket = state.queue.add(queueItem(request), totalSlots(request.pool), now);
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
    for (const admission::QueueTicket &ticket :
         state.queue.front(maxCandidates, mayStartLong(pool))) {
        const admission::QueueItem *item = state.queue.item(ticket);
        Request *request = m_table.find(item->request);
        model::checkInvariant("a queued item has its request", request != nullptr);
        if (isDeadlineUnreachable(*request, now)) {
            finishFailed(*request, model::Reason::DeadlineUnreachable, 0, now);
            return true;
        }
        const bool isKeyExpired
            = !request->operationKey.empty() && request->sentAttempts == 0
              && !m_dependencies.operations.isKeyValid(request->operationKey, now);
        if (isKeyExpired) {
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

// Such a request is ended early, because running it would only delay the requests queued behind it.
bool RequestSystem::isDeadlineUnreachable(const Request &request, model::TimePoint now) const
{
    if (now >= request.deadline) {
        return true;
    }
    if (!m_options.rejectsUnreachableDeadlines) {
        return false;
    }
    constexpr double dispatchQuantile = 0.75;
    const model::Duration need
        = estimate(request.stageConfig(), request.expectedTokens, dispatchQuantile)
          + laterStagesTime(request);
    return now + need > request.deadline;
}

uint32_t RequestSystem::totalSlots(model::PoolRow pool) const
{
    uint32_t sum = 0;
    for (const model::UpstreamRow upstream : m_dependencies.upstreams.at(pool).upstreams) {
        const upstreams::Upstream &row = m_dependencies.upstreams.at(upstream);
        const bool isInService = !health::isOutOfService(m_dependencies.health.row(upstream).state);
        if (row.takesNewWork() && isInService) {
            sum += row.limit.value();
        }
    }
    return sum;
}

bool RequestSystem::mayStartLong(model::PoolRow pool) const
{
    const PoolState &state = *m_pools[pool.value];
    if (m_options.longSlotShare >= 1.0) {
        return true;
    }
    // Long work leaves free the slots that short work has needed in the last seconds, with a margin
    // for bursts.
    constexpr double burstFactor = 1.5;
    const double usable = state.availableSlots;
    const double slotsBesideShort = usable - burstFactor * state.shortSlotDemand;
    const double maxAllowed = m_options.maxLongSlotShare * usable;
    const double allowed
        = std::clamp(slotsBesideShort, m_options.longSlotShare * usable, maxAllowed);
    return state.longInFlight < std::max(1.0, allowed);
}

bool RequestSystem::tryStart(Request &request, bool isHedge, model::TimePoint now)
{
    const model::Duration expected
        = estimate(request.stageConfig(), request.expectedTokens, medianQuantile);
    const bool isIdempotent = request.stageConfig().isIdempotent;
    // A test of a returning upstream may take as long as two slow answers, and a retry must still
    // fit before the deadline.
    constexpr int64_t trialDurationFactor = 4;
    const routing::StageDemand demand {
        .pool = request.pool,
        .isIdempotent = isIdempotent,
        .isShort = !request.isLong,
        .isCrashSuspect = m_quarantine.isCrashSuspect(request.fingerprint, now),
        .hasTimeToRetry
        = now + expected * trialDurationFactor + laterStagesTime(request) < request.deadline
          && !isHedge,
        .prefix = m_dependencies.upstreams.at(request.pool).config.isStreaming ? request.prefix : 0,
        .excluded = request.triedUpstreams};
    const auto choice = m_dependencies.router.choose(demand, now);
    if (!choice) {
        return false;
    }
    startAttempt(request, *choice, isHedge, now);
    return true;
}

void RequestSystem::startAttempt(Request &request, const routing::Choice &choice, bool isHedge,
                                 model::TimePoint now)
{
    upstreams::Upstream &upstream = m_dependencies.upstreams.at(choice.upstream);
    const config::StageConfig &stage = request.stageConfig();
    model::checkInvariant("no new work goes to a leaving upstream", !upstream.leavingSince);
    model::checkInvariant("nothing is dispatched past its deadline", now < request.deadline);
    model::checkInvariant("work that may run only once is dispatched once",
                          stage.isIdempotent || request.nonIdempotentSent == 0);
    model::checkInvariant(
        "work that may run only once is not sent to returning upstreams",
        stage.isIdempotent
            || !health::isOutOfService(m_dependencies.health.row(choice.upstream).state));
    Attempt attempt;
    attempt.id = model::AttemptId(++m_lastAttempt);
    attempt.request = request.id;
    attempt.upstream = choice.upstream;
    attempt.stage = request.stage;
    attempt.startedAt = now;
    attempt.expectedDuration = request.cost;
    attempt.healthEpoch = m_dependencies.health.row(choice.upstream).epoch;
    attempt.isHedge = isHedge;
    attempt.isTest = choice.kind == routing::ChoiceKind::Test;
    attempt.isCrashSuspect = m_quarantine.isCrashSuspect(request.fingerprint, now);
    attempt.isLong = request.isLong;
    constexpr uint32_t lowLoadDivisor = 4;
    attempt.startedAtLowLoad = upstream.inFlight <= upstream.limit.value() / lowLoadDivisor;

    ++upstream.inFlight;
    upstream.crashSuspectsInFlight += attempt.isCrashSuspect ? 1 : 0;
    stateOf(request.pool).longInFlight += attempt.isLong ? 1 : 0;
    ++request.sentAttempts;
    request.nonIdempotentSent += stage.isIdempotent ? 0 : 1;
    request.hasPendingNonIdempotent = !stage.isIdempotent;
    ++request.attemptCount;
    request.phase = StagePhase::Running;
    request.attempts.push_back(attempt.id);
    request.triedUpstreams.push_back(choice.upstream);
    StageCost &cost = m_costs.stages[{.route = request.route->id, .stage = stage.name}];
    ++cost.attempts;
    cost.hedges += isHedge ? 1 : 0;
    cost.retries += !isHedge && request.attemptCount > 1 ? 1 : 0;
    const bool hasPrefix
        = m_dependencies.upstreams.at(request.pool).config.isStreaming && request.prefix != 0;
    if (hasPrefix) {
        m_dependencies.prefixes.recordLocation(request.prefix, choice.upstream);
    }
    m_commands.emplace_back(commandFor(request, attempt, now));
    armAttemptTimers(request, m_table.add(attempt));
}

StartAttempt RequestSystem::commandFor(const Request &request, const Attempt &attempt,
                                       model::TimePoint now) const
{
    const upstreams::Upstream &upstream = m_dependencies.upstreams.at(attempt.upstream);
    const config::PoolConfig &pool = m_dependencies.upstreams.at(request.pool).config;
    const model::Duration timeLeft = request.deadline - now;
    const model::Duration laterStages = laterStagesTime(request);
    return {.attempt = attempt.id,
            .request = request.id,
            .callerId = request.callerId,
            .upstream = upstream.config.id,
            .host = upstream.config.host,
            .port = upstream.config.port,
            .path = request.stageConfig().path,
            .budget = std::max(timeLeft - laterStages, model::Duration(timeLeft / 2)),
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

model::TimePoint RequestSystem::overdueAt(const Attempt &attempt) const
{
    const model::PoolRow pool = m_dependencies.upstreams.at(attempt.upstream).pool;
    const double overdueRatio = m_dependencies.health.slowThreshold(pool);
    return attempt.startedAt + attempt.blockedTime
           + model::scaled(attempt.expectedDuration, overdueRatio);
}

void RequestSystem::armOverdueTimer(const Attempt &attempt)
{
    m_timers.add(overdueAt(attempt),
                 {.kind = TimerKind::Overdue, .request = attempt.request, .attempt = attempt.id});
}

void RequestSystem::armAttemptTimers(const Request &request, const Attempt &attempt)
{
    const config::PoolConfig &pool = m_dependencies.upstreams.at(request.pool).config;
    const model::QuantileSketch &ratios = m_dependencies.upstreams.at(request.pool).ratios;
    const double median = m_dependencies.health.poolRatio(request.pool);
    armOverdueTimer(attempt);
    const bool mayHedge
        = m_options.hedges && request.stageConfig().isIdempotent && !attempt.isHedge;
    if (!mayHedge) {
        return;
    }
    // A stream is hedged only before its first token, because later tokens have reached the caller.
    const model::Duration expected
        = pool.isStreaming ? pool.expectedDuration : attempt.expectedDuration;
    // When several upstreams are slow, the quantile reflects their answer times, and a hedge after
    // it would come too late. Therefore it is limited to a multiple of the median.
    constexpr double maxMedianFactor = 2.0;
    const double maxRatio = maxMedianFactor * median;
    const double ratio
        = std::clamp(ratios.quantile(m_options.hedgeQuantile, maxRatio), median, maxRatio);
    m_timers.add(attempt.startedAt + model::scaled(expected, ratio),
                 {.kind = TimerKind::Hedge, .request = request.id, .attempt = attempt.id});
}

} // namespace citronpick::pipeline
