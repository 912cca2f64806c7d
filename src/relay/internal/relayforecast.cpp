#include <algorithm>

#include "relay/relaysystem.h"

// What stages and engines take of late, and what the queues let a request expect.

namespace citronpick::relay
{

namespace
{

//! Left for the model engine to bring the first event, until a route's own time is known.
constexpr model::Duration engineAllowance = model::milliseconds(250);
//! A short prompt in an engine with room.
constexpr model::Duration shortestEngineTime = model::milliseconds(50);
//! Prompts differ in size and engines in load: most are done within this multiple of the usual
//! time.
constexpr double engineTimeMargin = 1.5;
//! Short prompts in engines with room take about half.
constexpr double engineTimeAtBest = 0.5;
//! Jobs differ in pieces and in luck: most are done within this multiple of the usual time.
constexpr double stageTimeMargin = 1.25;
//! Weight of the newest job in what a pool's stage is expected to take.
constexpr double stageTimeWeight = 0.15;
//! Jobs that fell behind while they waited tell of the queue, up to this multiple of a batch.
constexpr int64_t maxStageTimeInBatches = 4;

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
    const auto learnt = m_stageTimes.find(pool->id);
    const bool isLearnt = estimate == Estimate::Usual && learnt != m_stageTimes.end();
    return isLearnt ? std::max(least, model::scaled(learnt->second, stageTimeMargin)) : least;
}

// What a stage takes with its queue. A request whose later stages leave it no time gives way in its
// first stage, before it has cost the work of all others.
void RelaySystem::learnStageTime(const model::PoolId &pool, const JobResult &result)
{
    if (result.failure != JobFailure::None) {
        return;
    }
    const PoolRule *rule = m_configuration->findPool(pool);
    if (!rule || !rule->batch) {
        return;
    }
    const model::Duration took
        = std::min(result.took, rule->batch->callTime * maxStageTimeInBatches);
    const auto [it, isNew] = m_stageTimes.emplace(pool, took);
    // Late jobs wait for others, which says nothing of the pool; those that are fast all the same
    // keep a high estimate from making every job late.
    if (result.wasLate && took >= it->second) {
        return;
    }
    it->second += model::scaled(took - it->second, stageTimeWeight);
}

// From the request's sending to the first event of its answer.
model::Duration RelaySystem::engineTime(const Exchange &exchange, Estimate estimate) const
{
    const bool isLeast = estimate == Estimate::Least;
    const auto learnt = m_firstEventTimes.find(exchange.route->id);
    if (learnt == m_firstEventTimes.end()) {
        return isLeast ? shortestEngineTime : engineAllowance;
    }
    return model::scaled(learnt->second, isLeast ? engineTimeAtBest : engineTimeMargin);
}

// Time that the longest way from the end of a stage to the first token takes.
model::Duration RelaySystem::timeAfter(const Exchange &exchange, uint32_t stage,
                                       Estimate estimate) const
{
    model::Duration longest = engineTime(exchange, estimate);
    const std::vector<StageRule> &stages = exchange.route->stages;
    for (uint32_t i = 0; i < stages.size(); ++i) {
        const std::vector<uint32_t> &after = stages[i].after;
        if (std::find(after.begin(), after.end(), stage) != after.end()) {
            longest = std::max(longest,
                               stageTime(exchange, i, estimate) + timeAfter(exchange, i, estimate));
        }
    }
    return longest;
}

// When a stage should be finished for its request to meet its target.
model::TimePoint RelaySystem::dueOf(const Exchange &exchange, uint32_t stage) const
{
    return exchange.arrived.startedAt + exchange.route->latencyTarget
           - timeAfter(exchange, stage, Estimate::Usual);
}

void RelaySystem::noteForecast(const model::PoolId &pool, const QueueForecast &forecast,
                               model::TimePoint now)
{
    m_forecasts[pool] = {.forecast = forecast, .at = now};
}

QueueForecast RelaySystem::forecastOf(const model::PoolId &pool, model::TimePoint now) const
{
    if (!coordinatorOf(pool, now)) {
        return m_scheduler.forecastOf(pool, now);
    }
    const auto told = m_forecasts.find(pool);
    return told == m_forecasts.end() ? QueueForecast {}
                                     : told->second.forecast.after(now - told->second.at);
}

// The queue and the stage itself.
QueueWait RelaySystem::queueWait(const Exchange &exchange, uint32_t stage,
                                 model::TimePoint now) const
{
    const model::Duration work = stageTime(exchange, stage, Estimate::Least);
    if (work == model::Duration::zero()) {
        return {};
    }
    const QueueForecast forecast = forecastOf(exchange.route->stages[stage].pool, now);
    const QueueWait &wait = forecast.at(exchange.priority);
    return {.onTime = wait.onTime + work, .late = wait.late + work};
}

// What the queues of all stages let a request that arrives now expect.
RelaySystem::Prospect RelaySystem::prospectOf(const Exchange &exchange, model::TimePoint now) const
{
    const std::vector<StageRule> &stages = exchange.route->stages;
    std::vector<QueueWait> until(stages.size());
    Prospect prospect;
    for (uint32_t i = 0; i < stages.size(); ++i) {
        QueueWait before;
        for (const uint32_t earlier : stages[i].after) {
            if (earlier < i) {
                before.onTime = std::max(before.onTime, until[earlier].onTime);
                before.late = std::max(before.late, until[earlier].late);
            }
        }
        const QueueWait own = queueWait(exchange, i, now);
        until[i] = {.onTime = before.onTime + own.onTime, .late = before.late + own.late};
        prospect.lateEnd = std::max(prospect.lateEnd, until[i].late);
        const bool isInTime = now + until[i].onTime <= dueOf(exchange, i);
        prospect.canBeInTime = prospect.canBeInTime && isInTime;
    }
    return prospect;
}

// A request that would be late and then still not be done before its caller leaves has no chance.
// Nothing is given for a request that has one; else for how long the queues are too long.
std::optional<model::Duration> RelaySystem::excessWait(const Exchange &exchange,
                                                       model::TimePoint now) const
{
    const Prospect prospect = prospectOf(exchange, now);
    const model::TimePoint end = now + prospect.lateEnd + engineTime(exchange, Estimate::Least);
    if (prospect.canBeInTime || end <= exchange.firstBy) {
        return std::nullopt;
    }
    return end - exchange.firstBy;
}

} // namespace citronpick::relay
