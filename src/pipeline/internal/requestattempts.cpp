#include "pipeline/requestsystem.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/invariant.h"

namespace citronpick::pipeline
{

namespace
{

constexpr double ratioSmoothing = 0.1;
constexpr double slownessSmoothing = 0.2;
//! Answers this much slower than at a quiet upstream are a sign of too many at once.
constexpr double congestionFactor = 2.5;

} // namespace

Attempt RequestSystem::closeAttempt(Request &request, const Attempt &attempt, bool isUseful,
                                    model::TimePoint now)
{
    const Attempt closed = attempt;
    upstreams::Upstream &upstream = m_parts.upstreams.at(closed.upstream);
    model::checkInvariant("requests in flight are counted", upstream.inFlight > 0);
    --upstream.inFlight;
    upstream.struckInFlight -= closed.isStruck ? 1 : 0;
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

// A hedge that wins hides how slow the first attempt would have been: without this, an upstream
// that answers nothing at all would never look slow while hedges save its requests.
void RequestSystem::blameSlowerAttempts(const Request &request, const Attempt &winner,
                                        model::TimePoint now)
{
    constexpr double justAbove = 1.01;
    for (const model::AttemptId id : request.attempts) {
        const Attempt &loser = *m_table.find(id);
        if (loser.startedAt >= winner.startedAt) {
            continue;
        }
        const double atLeast = justAbove * m_parts.health.slowThreshold(request.pool);
        m_parts.health.onOverdue(loser.upstream, loser.healthEpoch,
                                 std::max(ratioOf(loser, now), atLeast), loser.startedAt, now);
    }
}

double RequestSystem::ratioOf(const Attempt &attempt, model::TimePoint now)
{
    return static_cast<double>((now - attempt.startedAt).count())
           / static_cast<double>(std::max<int64_t>(1, attempt.expected.count()));
}

void RequestSystem::learnFrom(const Attempt &attempt, model::TimePoint now)
{
    upstreams::Upstream &upstream = m_parts.upstreams.at(attempt.upstream);
    upstreams::Pool &pool = m_parts.upstreams.at(upstream.pool);
    PoolState &state = stateOf(upstream.pool);
    constexpr model::Duration memory = model::seconds(10);
    if (now - state.lastAnswerAt > memory) {
        pool.ratios = {};
    }
    state.lastAnswerAt = now;
    const double ratio = ratioOf(attempt, now);
    m_parts.health.onAnswer(attempt.upstream, attempt.healthEpoch, ratio, now);
    if (m_parts.health.row(attempt.upstream).state == health::HealthState::Active) {
        pool.ratios.add(ratio);
    }
    const double poolRatio = std::max(1e-3, m_parts.health.poolRatio(upstream.pool));
    upstream.slowness += slownessSmoothing * (ratio / poolRatio - upstream.slowness);
    double &recent = state.recentRatios[attempt.upstream.value];
    recent += ratioSmoothing * (ratio - recent);
    if (attempt.startedQuiet) {
        state.quietRatio += ratioSmoothing * (ratio - state.quietRatio);
    }
    if (!m_options.adaptsLimits) {
        return;
    }
    // The upstream's own word comes before what answer times say: more there than it can run at a
    // time means that requests wait where no daemon can reorder or refuse them.
    const bool isFresh = upstream.report.at == now;
    const bool isFull = isFresh && upstream.report.inFlight > pool.config.concurrency;
    if (isFull || recent > congestionFactor * std::max(state.quietRatio, 1e-3)) {
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
        state.usableSlots = usableSlots(model::PoolRow {i}, daemons, now, inFlight);
        const uint32_t shortInFlight = inFlight - std::min(inFlight, state.longInFlight);
        const auto present = static_cast<double>(shortInFlight + state.queue.shortSize());
        // The need of the last seconds: short work comes in bursts.
        constexpr double decay = 0.98;
        state.shortNeed = std::max(present, state.shortNeed * decay);
    }
}

// What this daemon may count on: its part of each upstream, or more where the upstream reports
// that others leave room.
uint32_t RequestSystem::usableSlots(model::PoolRow pool, uint32_t daemons, model::TimePoint now,
                                    uint32_t &inFlight) const
{
    constexpr model::Duration reportLifetime = model::seconds(2);
    const uint32_t concurrency = m_parts.upstreams.at(pool).config.concurrency;
    const uint32_t fairShare = (concurrency + daemons - 1) / std::max(1U, daemons);
    uint32_t sum = 0;
    for (const model::UpstreamRow upstream : m_parts.upstreams.at(pool).upstreams) {
        const upstreams::Upstream &row = m_parts.upstreams.at(upstream);
        inFlight += row.inFlight;
        const bool isInService = !health::isOutOfService(m_parts.health.row(upstream).state);
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

void RequestSystem::noteLoad(model::UpstreamRow upstream, const ReportedLoad &load,
                             model::TimePoint now)
{
    upstreams::Upstream &row = m_parts.upstreams.at(upstream);
    row.report = {.inFlight = load.inFlight, .ownInFlight = row.inFlight, .at = now};
    if (load.isLeaving && !row.leavingSince) {
        m_leaving.push_back(upstream);
    }
}

void RequestSystem::onCallerGone(const CallerGone &event, model::TimePoint now)
{
    Request *request = m_table.find(event.request);
    if (!request) {
        return;
    }
    record(observability::EventCode::CallerLeft, *request, request->route->id.text(), "");
    request->isCallerGone = true;
    // Work that may run only once goes on: cutting it would leave its outcome unknown, and the
    // caller can ask for it again with its key.
    if (request->unrepeatableSent > 0) {
        return;
    }
    const model::PoolRow pool = request->pool;
    finishFailed(*request, model::Reason::CallerGone, 0, now);
    dispatch(pool, now);
}

void RequestSystem::rescueFrom(model::UpstreamRow upstream, model::TimePoint now)
{
    for (const model::AttemptId id : m_table.attemptsAt(upstream)) {
        const Attempt *attempt = m_table.find(id);
        Request *request = m_table.find(attempt->request);
        const bool isStuck = request->attempts.size() == 1 && request->stageConfig().isIdempotent
                             && request->nextToken == 0
                             && ratioOf(*attempt, now) > m_parts.health.poolRatio(request->pool);
        if (isStuck && !isHopeless(*request, now)) {
            tryStart(*request, true, now);
        }
    }
}

void RequestSystem::runTimers(model::TimePoint now)
{
    m_lastTime = now;
    dropDeadTimers();
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

// Most requests end long before their deadlines; their timers would outnumber the live ones by far.
void RequestSystem::dropDeadTimers()
{
    constexpr size_t timersPerRow = 8;
    constexpr size_t alwaysKept = 256;
    const size_t live = m_table.requestCount() + m_table.attemptCount();
    if (m_timers.size() <= alwaysKept + timersPerRow * live) {
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
    // With requests waiting, a second copy would take a first one's place.
    if (!isUseful || !state.queue.isEmpty() || isHopeless(*request, now)) {
        return;
    }
    // Part of the budget stays back for retries, which save a request that has nothing else.
    constexpr double retryReserve = 0.5;
    if (!attempt->isTest && !state.budget.take(retryReserve)) {
        return;
    }
    const std::string slowUpstream = m_parts.upstreams.at(attempt->upstream).config.id.text();
    if (tryStart(*request, true, now)) {
        record(observability::EventCode::AttemptHedged, *request, slowUpstream, "");
    }
}

void RequestSystem::onOverdue(model::AttemptId id, model::TimePoint now)
{
    const Attempt *attempt = m_table.find(id);
    if (!attempt) {
        return;
    }
    m_parts.health.onOverdue(attempt->upstream, attempt->healthEpoch, ratioOf(*attempt, now),
                             attempt->startedAt, now);
    takeOver(*m_table.find(attempt->request), now);
}

// When a first attempt and its hedge, or a stream that had begun well, are all slow, another
// upstream goes on from the last token delivered; whoever brings the next one first wins.
void RequestSystem::takeOver(Request &request, model::TimePoint now)
{
    const bool mayStart = request.stageConfig().isIdempotent && !request.isCallerGone
                          && request.attemptCount < m_options.maxAttemptsPerStage
                          && m_options.hedges && stateOf(request.pool).queue.isEmpty()
                          && !isHopeless(request, now);
    // Hedges come first: they act earlier, for more requests.
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

std::vector<model::UpstreamRow> RequestSystem::takeLeaving()
{
    return std::exchange(m_leaving, {});
}

std::vector<Strike> RequestSystem::takeStrikes()
{
    return std::exchange(m_strikes, {});
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
