#include <algorithm>

#include "relay/relaysystem.h"

// Measures the time of stages and engines and estimates whether a request can finish in time.

namespace citronpick::relay
{

namespace
{

//! Assumed time of the model engine until the first event while a route has no measurement.
constexpr model::Duration defaultEngineTime = model::milliseconds(250);
//! Time until the first event for a short prompt in an engine with free capacity.
constexpr model::Duration minEngineTime = model::milliseconds(50);
//! Prompts differ in size and engines in load; most first events arrive within this multiple of
//! the average time.
constexpr double typicalEngineTimeFactor = 1.5;
//! Short prompts in engines with free capacity take about half of the average time.
constexpr double minEngineTimeFactor = 0.5;
//! Jobs differ in size and queue wait; most finish within this multiple of the average time.
constexpr double typicalStageTimeFactor = 1.25;
//! Weight of the newest job in the moving average of a pool's stage time.
constexpr double stageTimeWeight = 0.15;
//! Times of jobs that were delayed in the queue are included up to this multiple of a batch's fixed
//! time.
constexpr int64_t maxStageTimeInBatches = 4;
//! Weight of the newest stream in the moving average of a route's stream time.
constexpr double streamTimeWeight = 0.1;
//! Nearly all streams are shorter than the mean plus this multiple of the mean deviation.
constexpr int64_t streamTimeDeviations = 4;

} // namespace

model::Duration RelaySystem::stageTime(const Exchange &exchange, uint32_t stage,
                                       Estimate estimate) const
{
    const PoolRule *pool = exchange.configuration->findPool(exchange.route->stages[stage].pool);
    if (!pool || !pool->batch || exchange.plan.pieceCount(stage) == 0) {
        return {};
    }
    const uint32_t pieces = std::min(exchange.plan.pieceCount(stage), pool->batch->maxItems);
    const model::Duration least
        = pool->batch->callTime + pool->batch->itemTime * static_cast<int64_t>(pieces);
    const auto measured = m_stageTimes.find({pool->id, exchange.priority});
    const bool isMeasured = estimate == Estimate::Typical && measured != m_stageTimes.end();
    return isMeasured ? std::max(least, model::scaled(measured->second, typicalStageTimeFactor))
                      : least;
}

// Updates the average time of a stage, which includes its queue wait. The average determines when
// earlier stages are due, so a request that cannot be in time is already queued as late in its
// first stage, before work is spent on the others. More urgent requests wait less, so each priority
// has its own average.
void RelaySystem::updateStageTime(const Exchange &exchange, uint32_t stage, const JobResult &result)
{
    const model::PoolId &pool = exchange.route->stages[stage].pool;
    if (result.failure != JobFailure::None) {
        return;
    }
    const PoolRule *rule = m_configuration->findPool(pool);
    if (!rule || !rule->batch) {
        return;
    }
    const model::Duration took
        = std::min(result.duration, rule->batch->callTime * maxStageTimeInBatches);
    const auto [it, isNew] = m_stageTimes.emplace(std::pair(pool, exchange.priority), took);
    // Late jobs wait for others, so their long times do not measure the pool. Their short times are
    // included, because otherwise an estimate that is too high would make every job late and never
    // be corrected.
    if (result.wasLate && took >= it->second) {
        return;
    }
    it->second += model::scaled(took - it->second, stageTimeWeight);
}

// A stage that precedes another one on several paths is run once.
model::Duration RelaySystem::workBefore(const Exchange &exchange, uint32_t stage)
{
    const std::vector<StageRule> &stages = exchange.route->stages;
    std::vector<bool> isVisited(stages.size());
    std::vector<uint32_t> pending = stages[stage].after;
    model::Duration work {};
    while (!pending.empty()) {
        const uint32_t before = pending.back();
        pending.pop_back();
        if (isVisited[before]) {
            continue;
        }
        isVisited[before] = true;
        pending.insert(pending.end(), stages[before].after.begin(), stages[before].after.end());
        const PoolRule *pool = exchange.configuration->findPool(stages[before].pool);
        if (pool && pool->batch) {
            const double pieces = exchange.plan.pieceCount(before);
            const double batches
                = pieces / static_cast<double>(std::max(1U, pool->batch->maxItems));
            work += model::scaled(pool->batch->itemTime, pieces)
                    + model::scaled(pool->batch->callTime, batches);
        }
    }
    return work;
}

// Time from sending the request until the first event of its answer.
model::Duration RelaySystem::engineTime(const Exchange &exchange, Estimate estimate) const
{
    const bool isMinimum = estimate == Estimate::Minimum;
    const auto measured = m_firstEventTimes.find(exchange.route->id);
    if (measured == m_firstEventTimes.end()) {
        return isMinimum ? minEngineTime : defaultEngineTime;
    }
    return model::scaled(measured->second,
                         isMinimum ? minEngineTimeFactor : typicalEngineTimeFactor);
}

// Time from the first event of a stream to its end that few streams of the route exceed.
model::Duration RelaySystem::streamTime(const RouteRule &route) const
{
    const auto measured = m_streamTimes.find(route.id);
    return measured == m_streamTimes.end()
               ? model::Duration::zero()
               : measured->second.mean + streamTimeDeviations * measured->second.deviation;
}

void RelaySystem::updateStreamTime(const Exchange &exchange, model::TimePoint now)
{
    const model::Duration took = now - exchange.streamStartedAt;
    const auto [it, isNew] = m_streamTimes.emplace(exchange.route->id, StreamTime {.mean = took});
    StreamTime &measured = it->second;
    const model::Duration difference = took - measured.mean;
    measured.mean += model::scaled(difference, streamTimeWeight);
    measured.deviation
        += model::scaled(std::chrono::abs(difference) - measured.deviation, streamTimeWeight);
}

// Time of the longest path from the end of a stage to the first token.
model::Duration RelaySystem::timeAfterStage(const Exchange &exchange, uint32_t stage,
                                            Estimate estimate) const
{
    const std::vector<StageRule> &stages = exchange.route->stages;
    const std::vector<uint32_t> &order = exchange.plan.order();
    std::vector<model::Duration> longest(stages.size(), engineTime(exchange, estimate));
    for (auto later = order.rbegin(); later != order.rend(); ++later) {
        const model::Duration path = stageTime(exchange, *later, estimate) + longest[*later];
        for (const uint32_t before : stages[*later].after) {
            longest[before] = std::max(longest[before], path);
        }
    }
    return longest[stage];
}

// Latest end of a stage with which its request meets its latency target. A stream that has begun
// pauses until its stages have run again, so these are due at once.
model::TimePoint RelaySystem::dueOf(const Exchange &exchange, uint32_t stage,
                                    model::TimePoint now) const
{
    if (exchange.isAnswerStarted) {
        return now + stageTime(exchange, stage, Estimate::Minimum);
    }
    return exchange.arrived.startedAt + exchange.route->latencyTarget
           - timeAfterStage(exchange, stage, Estimate::Typical);
}

// The results of a stage are useless after this time, because the caller has given up.
model::TimePoint RelaySystem::deadlineOf(const Exchange &exchange, uint32_t stage,
                                         model::TimePoint now) const
{
    const model::TimePoint eventDeadline
        = exchange.isAnswerStarted
              ? std::min(exchange.deadline, now + callerTimeout(*exchange.route))
              : exchange.firstEventDeadline;
    return std::max(now, eventDeadline - timeAfterStage(exchange, stage, Estimate::Minimum));
}

void RelaySystem::noteForecast(const model::PoolId &pool, const QueueForecast &forecast,
                               model::TimePoint now)
{
    m_peerForecasts[pool] = {.forecast = forecast, .at = now};
}

QueueForecast RelaySystem::forecastOf(const model::PoolId &pool, model::TimePoint now) const
{
    if (!coordinatorOf(pool, now)) {
        return m_scheduler.forecastOf(pool, now);
    }
    const auto known = m_peerForecasts.find(pool);
    return known == m_peerForecasts.end() ? QueueForecast {}
                                          : known->second.forecast.after(now - known->second.at);
}

// Time until a stage is done: its queue wait and its own duration.
QueueWait RelaySystem::queueWait(const Exchange &exchange, uint32_t stage,
                                 model::TimePoint now) const
{
    const model::Duration work = stageTime(exchange, stage, Estimate::Minimum);
    if (work == model::Duration::zero()) {
        return {};
    }
    const QueueForecast forecast = forecastOf(exchange.route->stages[stage].pool, now);
    const QueueWait &wait = forecast.at(exchange.priority);
    return {.onTime = wait.onTime + work, .late = wait.late + work};
}

// Estimates from the queues of all stages whether a request that arrives now can meet its target.
RelaySystem::CompletionEstimate RelaySystem::estimateCompletion(const Exchange &exchange,
                                                                model::TimePoint now) const
{
    const std::vector<StageRule> &stages = exchange.route->stages;
    std::vector<QueueWait> waitUntilDone(stages.size());
    CompletionEstimate completion;
    for (const uint32_t i : exchange.plan.order()) {
        QueueWait before;
        for (const uint32_t earlier : stages[i].after) {
            before.onTime = std::max(before.onTime, waitUntilDone[earlier].onTime);
            before.late = std::max(before.late, waitUntilDone[earlier].late);
        }
        const QueueWait own = queueWait(exchange, i, now);
        waitUntilDone[i] = {.onTime = before.onTime + own.onTime, .late = before.late + own.late};
        completion.onTimeWait = std::max(completion.onTimeWait, waitUntilDone[i].onTime);
        completion.lateWait = std::max(completion.lateWait, waitUntilDone[i].late);
        const bool isInTime = now + waitUntilDone[i].onTime <= dueOf(exchange, i, now);
        completion.canMeetTarget = completion.canMeetTarget && isInTime;
    }
    return completion;
}

// A request that cannot meet its target and would not finish before its caller gives up is not
// worth starting. Returns how far its expected end exceeds that limit; nullopt if the request can
// finish.
std::optional<model::Duration> RelaySystem::excessWait(const Exchange &exchange,
                                                       model::TimePoint now) const
{
    const CompletionEstimate &completion = exchange.expected;
    if (completion.canMeetTarget && !exchange.isLimitedByShutdown) {
        return std::nullopt;
    }
    const model::Duration wait
        = completion.canMeetTarget ? completion.onTimeWait : completion.lateWait;
    const model::TimePoint end = now + wait + engineTime(exchange, Estimate::Minimum);
    if (end <= exchange.firstEventDeadline) {
        return std::nullopt;
    }
    return end - exchange.firstEventDeadline;
}

} // namespace citronpick::relay
