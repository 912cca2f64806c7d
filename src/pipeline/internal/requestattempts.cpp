#include "pipeline/requestsystem.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

constexpr double ratioSmoothingFactor = 0.1;
constexpr double slownessSmoothingFactor = 0.2;
//! Answers slower by this factor than at low load indicate too many concurrent requests.
constexpr double congestionFactor = 2.5;

} // namespace

Attempt RequestSystem::closeAttempt(Request &request, const Attempt &attempt, bool isUseful,
                                    model::TimePoint now)
{
    const Attempt closed = attempt;
    upstreams::Upstream &upstream = m_dependencies.upstreams.at(closed.upstream);
    model::checkInvariant("requests in flight are counted", upstream.inFlight > 0);
    --upstream.inFlight;
    upstream.crashSuspectsInFlight -= closed.isCrashSuspect ? 1 : 0;
    stateOf(request.pool).longInFlight -= closed.isLong ? 1 : 0;
    std::erase(request.attempts, closed.id);
    const model::Duration taken = now - closed.startedAt;
    StageCost &stage = m_costs.stages[{.route = request.route->id,
                                       .stage = request.route->stages[closed.stage].name}];
    AccountCost &account = m_costs.account(request.account);
    stage.upstreamTime += taken;
    account.upstreamTime += taken;
    stage.tokens += closed.tokens;
    if (!isUseful) {
        stage.wastedTime += taken;
        account.wastedTime += taken;
    }
    m_table.remove(closed.id);
    return closed;
}

void RequestSystem::cancelAttempts(Request &request, model::TimePoint now)
{
    for (const model::AttemptId id : std::vector(request.attempts)) {
        closeAttempt(request, *m_table.find(id), false, now);
        m_commands.emplace_back(CancelAttempt {.attempt = id});
    }
}

// When a hedge is answered first, the older attempt is cancelled and its duration stays unknown. It
// is reported as slow; otherwise an upstream that never answers would not be detected as slow while
// hedges complete its requests.
void RequestSystem::reportSlowerAttempts(const Request &request, const Attempt &winner,
                                         model::TimePoint now)
{
    constexpr double aboveThresholdFactor = 1.01;
    for (const model::AttemptId id : request.attempts) {
        const Attempt &loser = *m_table.find(id);
        if (loser.startedAt >= winner.startedAt) {
            continue;
        }
        const double minRatio
            = aboveThresholdFactor * m_dependencies.health.slowThreshold(request.pool);
        m_dependencies.health.onOverdue(loser.upstream, loser.healthEpoch,
                                        std::max(ratioOf(loser, now), minRatio), loser.startedAt,
                                        now);
    }
}

double RequestSystem::ratioOf(const Attempt &attempt, model::TimePoint now)
{
    return static_cast<double>((now - attempt.startedAt - attempt.blockedTime).count())
           / static_cast<double>(std::max<int64_t>(1, attempt.expectedDuration.count()));
}

void RequestSystem::recordAnswerTime(const Attempt &attempt, model::TimePoint now)
{
    upstreams::Upstream &upstream = m_dependencies.upstreams.at(attempt.upstream);
    upstreams::Pool &pool = m_dependencies.upstreams.at(upstream.pool);
    PoolState &state = stateOf(upstream.pool);
    constexpr model::Duration ratioLifetime = model::seconds(10);
    if (now - state.lastAnswerAt > ratioLifetime) {
        pool.ratios = {};
    }
    state.lastAnswerAt = now;
    const double ratio = ratioOf(attempt, now);
    m_dependencies.health.onAnswer(attempt.upstream, attempt.healthEpoch, ratio, now);
    if (m_dependencies.health.row(attempt.upstream).state == health::HealthState::Active) {
        pool.ratios.add(ratio);
    }
    const double poolRatio = std::max(1e-3, m_dependencies.health.poolRatio(upstream.pool));
    upstream.slowness += slownessSmoothingFactor * (ratio / poolRatio - upstream.slowness);
    double &recent = state.smoothedRatios[attempt.upstream.value];
    recent += ratioSmoothingFactor * (ratio - recent);
    if (attempt.startedAtLowLoad) {
        state.lowLoadRatio += ratioSmoothingFactor * (ratio - state.lowLoadRatio);
    }
    if (!m_options.adaptsConcurrencyLimits) {
        return;
    }
    // The load reported by the upstream takes precedence over answer times. When it has more
    // requests than it can run concurrently, the rest wait in its own queue, where no daemon can
    // reorder or refuse them.
    const bool isFresh = upstream.report.at == now;
    const bool isFull = isFresh && upstream.report.inFlight > pool.config.concurrency;
    if (isFull || recent > congestionFactor * std::max(state.lowLoadRatio, 1e-3)) {
        upstream.limit.onCongestion(now);
    } else {
        upstream.limit.onGoodAnswer(upstream.inFlight + 1);
    }
}

void RequestSystem::refreshPools(uint32_t daemons, model::TimePoint now)
{
    for (uint32_t i = 0; i < m_pools.size(); ++i) {
        PoolState &state = *m_pools[i];
        uint32_t inFlight = 0;
        state.availableSlots = availableSlots(model::PoolRow {i}, daemons, now, inFlight);
        const uint32_t shortInFlight = inFlight - std::min(inFlight, state.longInFlight);
        const auto currentDemand = static_cast<double>(shortInFlight + state.queue.shortSize());
        // The maximum decays slowly, over seconds, because short work comes in bursts.
        constexpr double decay = 0.98;
        state.shortSlotDemand = std::max(currentDemand, state.shortSlotDemand * decay);
    }
}

// Slots that this daemon may use: its fair share of each upstream, or more where the upstream
// reports that other daemons leave slots free.
uint32_t RequestSystem::availableSlots(model::PoolRow pool, uint32_t daemons, model::TimePoint now,
                                       uint32_t &inFlight) const
{
    constexpr model::Duration reportLifetime = model::seconds(2);
    const uint32_t concurrency = m_dependencies.upstreams.at(pool).config.concurrency;
    const uint32_t fairShare = (concurrency + daemons - 1) / std::max(1U, daemons);
    uint32_t sum = 0;
    for (const model::UpstreamRow upstream : m_dependencies.upstreams.at(pool).upstreams) {
        const upstreams::Upstream &row = m_dependencies.upstreams.at(upstream);
        inFlight += row.inFlight;
        const bool isInService = !health::isOutOfService(m_dependencies.health.row(upstream).state);
        if (!row.takesNewWork() || !isInService) {
            continue;
        }
        const bool isFresh
            = row.report.at != model::TimePoint::min() && now - row.report.at < reportLifetime;
        const uint32_t room = isFresh && row.report.inFlight < concurrency
                                  ? row.inFlight + concurrency - row.report.inFlight
                                  : 0;
        sum += std::min(row.limit.value(), std::max(fairShare, room));
    }
    return sum;
}

void RequestSystem::updateReportedLoad(model::UpstreamRow upstream, const ReportedLoad &load,
                                       model::TimePoint now)
{
    upstreams::Upstream &row = m_dependencies.upstreams.at(upstream);
    row.report = {.inFlight = load.inFlight, .ownInFlight = row.inFlight, .at = now};
    if (load.isLeaving && !row.leavingSince) {
        m_leavingUpstreams.push_back(upstream);
    }
}

void RequestSystem::onCallerDisconnected(const CallerDisconnected &event, model::TimePoint now)
{
    Request *request = m_table.find(event.request);
    if (!request) {
        return;
    }
    record(observability::EventCode::CallerLeft, *request, request->route->id.text(), "");
    request->hasCallerDisconnected = true;
    // Work that may run only once is not cancelled: its outcome would be unknown, and the caller
    // can fetch the answer later with its operation key.
    if (request->nonIdempotentSent > 0) {
        return;
    }
    const model::PoolRow pool = request->pool;
    finishFailed(*request, model::Reason::CallerGone, 0, now);
    dispatch(pool, now);
}

void RequestSystem::onCallerBlocked(const CallerBlocked &event, model::TimePoint now)
{
    if (Request *request = m_table.find(event.request)) {
        request->blockedSince = now;
    }
}

void RequestSystem::onCallerUnblocked(const CallerUnblocked &event, model::TimePoint now)
{
    Request *request = m_table.find(event.request);
    if (!request || !request->blockedSince) {
        return;
    }
    for (const model::AttemptId id : request->attempts) {
        Attempt &attempt = *m_table.find(id);
        attempt.blockedTime += now - std::max(*request->blockedSince, attempt.startedAt);
        if (std::exchange(attempt.isOverdueDeferred, false)) {
            armOverdueTimer(attempt);
        }
    }
    request->blockedSince.reset();
}

void RequestSystem::hedgeAttemptsAt(model::UpstreamRow upstream, model::TimePoint now)
{
    for (const model::AttemptId id : m_table.attemptsAt(upstream)) {
        const Attempt *attempt = m_table.find(id);
        Request *request = m_table.find(attempt->request);
        const bool shouldHedge
            = request->attempts.size() == 1 && request->stageConfig().isIdempotent
              && request->nextToken == 0
              && ratioOf(*attempt, now) > m_dependencies.health.poolRatio(request->pool);
        if (shouldHedge && !isDeadlineUnreachable(*request, now)) {
            tryStart(*request, true, now);
        }
    }
}

void RequestSystem::runTimers(model::TimePoint now)
{
    m_lastTime = now;
    removeObsoleteTimers();
    while (const auto timer = m_timers.takeDue(now)) {
        switch (timer->kind) {
        case TimerKind::Deadline:
            onDeadline(timer->request, now);
            break;
        case TimerKind::Hedge:
            onHedgeDue(timer->attempt, now);
            break;
        case TimerKind::Overdue:
            onOverdue(timer->attempt, now);
            break;
        case TimerKind::Retry:
            onRetryDue(timer->request, now);
            break;
        }
    }
}

// Most requests end long before their deadline. Without this clean-up, obsolete timers would
// outnumber the pending ones by far.
void RequestSystem::removeObsoleteTimers()
{
    constexpr size_t maxTimersPerEntry = 8;
    constexpr size_t minTimersToClean = 256;
    const size_t live = m_table.requestCount() + m_table.attemptCount();
    if (m_timers.size() <= minTimersToClean + maxTimersPerEntry * live) {
        return;
    }
    m_timers.removeIf([this](const Timer &timer) {
        const bool isOfAttempt = timer.attempt != model::AttemptId();
        return isOfAttempt ? m_table.find(timer.attempt) == nullptr
                           : m_table.find(timer.request) == nullptr;
    });
}

void RequestSystem::onDeadline(model::RequestId id, model::TimePoint now)
{
    Request *request = m_table.find(id);
    if (!request) {
        return;
    }
    const model::PoolRow pool = request->pool;
    finishFailed(*request, model::Reason::DeadlinePassed, 0, now);
    dispatch(pool, now);
}

void RequestSystem::onHedgeDue(model::AttemptId id, model::TimePoint now)
{
    const Attempt *attempt = m_table.find(id);
    if (!attempt) {
        return;
    }
    Request *request = m_table.find(attempt->request);
    PoolState &state = stateOf(request->pool);
    const bool isUseful = request->attempts.size() == 1 && request->nextToken == 0
                          && request->attemptCount < m_options.maxAttemptsPerStage
                          && now < request->deadline;
    // While requests are queued, a hedge would take the slot of a first attempt.
    if (!isUseful || !state.queue.isEmpty() || isDeadlineUnreachable(*request, now)) {
        return;
    }
    // Part of the budget is reserved for retries: a retried request has no other attempt in
    // progress.
    constexpr double retryReserve = 0.5;
    if (!attempt->isTest && !state.budget.take(retryReserve)) {
        return;
    }
    const std::string slowUpstream
        = m_dependencies.upstreams.at(attempt->upstream).config.id.text();
    if (tryStart(*request, true, now)) {
        record(observability::EventCode::AttemptHedged, *request, slowUpstream, "");
    }
}

void RequestSystem::onOverdue(model::AttemptId id, model::TimePoint now)
{
    Attempt *attempt = m_table.find(id);
    if (!attempt) {
        return;
    }
    Request &request = *m_table.find(attempt->request);
    // While nothing is read from the upstream, the time that passes shows the pace of the caller.
    if (request.blockedSince) {
        attempt->isOverdueDeferred = true;
        return;
    }
    if (attempt->blockedTime > model::Duration::zero() && overdueAt(*attempt) > now) {
        armOverdueTimer(*attempt);
        return;
    }
    m_dependencies.health.onOverdue(attempt->upstream, attempt->healthEpoch, ratioOf(*attempt, now),
                                    attempt->startedAt, now);
    hedgeOverdueRequest(request, now);
}

// Starts another attempt when a first attempt and its hedge are both slow, or when a stream became
// slow after its first tokens. The new attempt resumes after the last token delivered, and the
// attempt that delivers the next token first is kept.
void RequestSystem::hedgeOverdueRequest(Request &request, model::TimePoint now)
{
    const bool mayStart = request.stageConfig().isIdempotent && !request.hasCallerDisconnected
                          && request.attemptCount < m_options.maxAttemptsPerStage
                          && m_options.hedges && stateOf(request.pool).queue.isEmpty()
                          && !isDeadlineUnreachable(request, now);
    // A larger reserve than for first hedges, because those start earlier and help more requests.
    constexpr double hedgeReserve = 2.0;
    if (!mayStart || !hasUntriedUpstream(request)
        || !stateOf(request.pool).budget.take(hedgeReserve)) {
        return;
    }
    if (tryStart(request, true, now)) {
        record(observability::EventCode::AttemptHedged, request, request.route->id.text(),
               absl::StrCat("token=", request.nextToken));
    }
}

void RequestSystem::onRetryDue(model::RequestId id, model::TimePoint now)
{
    Request *request = m_table.find(id);
    if (!request || request->phase != StagePhase::BackingOff) {
        return;
    }
    enqueue(*request, now);
    dispatch(request->pool, now);
}

void RequestSystem::stopAll(model::TimePoint now)
{
    for (const model::RequestId id : m_table.requestIds()) {
        finishFailed(*m_table.find(id), model::Reason::Stopped, 0, now);
    }
}

std::vector<RequestCommand> RequestSystem::takeCommands()
{
    return std::exchange(m_commands, {});
}

std::vector<model::UpstreamRow> RequestSystem::takeLeavingUpstreams()
{
    return std::exchange(m_leavingUpstreams, {});
}

std::vector<CrashReport> RequestSystem::takeCrashReports()
{
    return std::exchange(m_crashReports, {});
}

size_t RequestSystem::queuedCount(model::PoolRow pool) const
{
    return pool.value < m_pools.size() ? m_pools[pool.value]->queue.size() : 0;
}

RequestSystem::PoolState &RequestSystem::stateOf(model::PoolRow pool)
{
    return *m_pools[pool.value];
}

void RequestSystem::record(observability::EventCode code, const Request &request,
                           std::string subject, std::string detail)
{
    m_commands.emplace_back(observability::Event {.code = code,
                                                  .request = request.callerId,
                                                  .subject = std::move(subject),
                                                  .detail = std::move(detail)});
}

} // namespace citronpick::pipeline
