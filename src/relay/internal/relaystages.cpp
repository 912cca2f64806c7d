#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/hash.h"
#include "model/overloaded.h"
#include "relay/relaysystem.h"

namespace citronpick::relay
{

using observability::EventCode;

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
//! A coordinator that has answered nothing for this long is taken for stuck.
constexpr model::Duration peerSilence = model::milliseconds(1500);
//! A coordinator that owes answers and has been quiet for this long is asked whether it is there:
//! jobs may wait longer than that in its queue.
constexpr model::Duration inquiryAfter = model::milliseconds(700);
//! How long a stuck coordinator is passed over.
constexpr model::Duration peerAvoidance = model::seconds(3);
//! An upstream with room for the results of so many batches can keep them until their users are
//! done.
constexpr uint64_t ampleBatches = 4;
//! Keeps numbers of forwarded jobs apart from those of the own scheduler.
constexpr uint64_t forwardedBit = uint64_t {1} << 63U;

} // namespace

void RelaySystem::advance(model::RequestId id, model::TimePoint now)
{
    Exchange *exchange = find(id);
    if (!exchange) {
        return;
    }
    if (exchange->plan.isDone()) {
        startAttempt(*exchange, now);
        return;
    }
    const std::vector<uint32_t> ready = exchange->plan.takeReady();
    for (const uint32_t stage : ready) {
        exchange = find(id);
        if (!exchange) {
            return;
        }
        submit({.request = id, .stage = stage}, jobFor(*exchange, stage, now), now);
    }
}

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

// Inputs are kept until their job is done, in case a piece has to be made again, unless that would
// leave their makers no room for the next batches.
bool RelaySystem::releasesInputs(const Exchange &exchange, uint32_t stage)
{
    const std::vector<StageRule> &stages = exchange.route->stages;
    const std::vector<uint32_t> &after = stages[stage].after;
    const bool isRoomTight = std::any_of(after.begin(), after.end(), [&](uint32_t before) {
        const PoolRule *maker = exchange.configuration->findPool(stages[before].pool);
        return maker && maker->batch
               && stages[before].resultBytes * maker->batch->maxItems * ampleBatches
                      > maker->batch->resultRoomBytes;
    });
    return isRoomTight && exchange.plan.isLastUser(stage);
}

StageJob RelaySystem::jobFor(const Exchange &exchange, uint32_t stage, model::TimePoint now) const
{
    const StageRule &rule = exchange.route->stages[stage];
    // Each piece fetches all inputs, so they are worth more than the way of the results.
    const model::ZoneId inputsZone = exchange.plan.inputsZone(stage);
    StageJob job {.pool = rule.pool,
                  .request = exchange.arrived.callerId,
                  .stage = stage,
                  .pieceCount = exchange.plan.pieceCount(stage),
                  .inputs = exchange.plan.inputsOf(stage),
                  .priority = exchange.priority,
                  .due = dueOf(exchange, stage),
                  .deadline
                  = std::max(now, exchange.firstBy - timeAfter(exchange, stage, Estimate::Least)),
                  .preferredZone = inputsZone.isEmpty() ? exchange.homeZone : inputsZone,
                  .inputsUntil = exchange.plan.inputsUntil(stage),
                  .releasesInputs = releasesInputs(exchange, stage)};
    if (job.inputs.empty()) {
        job.key = exchange.arrived.pieceKey;
    }
    return job;
}

// One daemon schedules a pool for all, so that its upstreams get full batches and no two daemons
// collide there. Who that is follows from the members alone; daemons that differ about it for a
// moment only fill batches less well.
const PeerDaemon *RelaySystem::coordinatorOf(const model::PoolId &pool, model::TimePoint now) const
{
    std::vector<const PeerDaemon *> candidates;
    uint32_t bestLink = 0;
    for (const PeerDaemon &peer : m_peers) {
        const auto avoided = m_peerAvoidedUntil.find(peer.id);
        if (avoided == m_peerAvoidedUntil.end() || now >= avoided->second) {
            candidates.push_back(&peer);
            bestLink = std::max(bestLink, peer.linkMbps);
        }
    }
    const PeerDaemon *best = nullptr;
    uint64_t bestRank = 0;
    const uint64_t seed = model::hash64(pool.text());
    for (const PeerDaemon *peer : candidates) {
        const uint64_t rank = model::hash64(peer->id.text(), seed);
        // Batches of a whole pool would fill a narrow link.
        const bool isStrong = peer->linkMbps >= bestLink / 2;
        if (isStrong && (!best || rank > bestRank)) {
            best = peer;
            bestRank = rank;
        }
    }
    return best && best->id != m_options.daemon ? best : nullptr;
}

void RelaySystem::submit(const LocalStage &owner, StageJob job, model::TimePoint now)
{
    const PeerDaemon *coordinator = coordinatorOf(job.pool, now);
    if (!coordinator) {
        submitHere(owner, std::move(job), now);
        return;
    }
    const JobId id(forwardedBit | ++m_lastForward);
    ++m_counters.forwardedJobs;
    find(owner.request)->jobs.push_back(id);
    m_commands.emplace_back(ForwardJob {.job = id, .peer = *coordinator, .content = job});
    m_forwards.emplace(
        id,
        Forward {.owner = owner, .peer = *coordinator, .content = std::move(job), .sentAt = now});
}

void RelaySystem::submitHere(const LocalStage &owner, StageJob job, model::TimePoint now)
{
    const JobId id = m_scheduler.submit(std::move(job), now);
    m_jobOwners.emplace(id, owner);
    find(owner.request)->jobs.push_back(id);
    takeScheduled(now);
}

void RelaySystem::takeScheduled(model::TimePoint now)
{
    for (BatchCommand &command : m_scheduler.takeCommands()) {
        std::visit(model::Overloaded {
                       [this](RunBatch &batch) {
                           ++m_counters.batches;
                           m_counters.batchedPieces += batch.items.size();
                           m_commands.emplace_back(std::move(batch));
                       },
                       [this](CancelBatch &cancel) { m_commands.emplace_back(cancel); },
                   },
                   command);
    }
    release(m_scheduler.takeAbandoned());
    for (FinishedJob &finished : m_scheduler.takeFinished()) {
        const auto it = m_jobOwners.find(finished.job);
        if (it == m_jobOwners.end()) {
            continue;
        }
        const JobOwner owner = it->second;
        m_jobOwners.erase(it);
        std::visit(model::Overloaded {
                       [&](const LocalStage &local) {
                           onStageFinished(local, finished.job, std::move(finished.result), now);
                       },
                       [&](const PeerExchange &peer) {
                           m_peerJobs.erase(peer.exchange);
                           m_commands.emplace_back(AnswerPeer {
                               .exchange = peer.exchange, .result = std::move(finished.result)});
                       },
                   },
                   owner);
    }
}

void RelaySystem::onStageFinished(const LocalStage &owner, JobId job, JobResult result,
                                  model::TimePoint now)
{
    Exchange *exchange = find(owner.request);
    if (!exchange) {
        release(std::move(result.handles));
        return;
    }
    std::erase(exchange->jobs, job);
    learnStageTime(exchange->route->stages[owner.stage].pool, result);
    record(EventCode::StageFinished, *exchange, absl::StrCat("stage-", owner.stage),
           absl::StrCat("outcome=", model::toAbsl(toString(result.failure)),
                        " pieces=", result.handles.size(),
                        " afterMs=", model::toMilliseconds(now - exchange->arrived.startedAt)));
    switch (result.failure) {
    case JobFailure::None:
        exchange->plan.complete(owner.stage, std::move(result.handles),
                                resultsUntil(*exchange, owner.stage, now), result.zone);
        if (std::vector<ResultHandle> spent = exchange->plan.takeSpent();
            !result.areInputsReleased) {
            release(std::move(spent));
        }
        advance(owner.request, now);
        return;
    case JobFailure::InputsGone:
        restartStages(*exchange, now);
        return;
    case JobFailure::Late:
        refuse(owner.request, Refusal::TooLate, result.retryAfter);
        return;
    case JobFailure::NoUpstream:
    case JobFailure::Failed:
        refuse(owner.request, Refusal::StagesFailed, result.retryAfter);
        return;
    }
}

// Pieces made in earlier batches are older than this says; the upstream that takes them tells.
model::TimePoint RelaySystem::resultsUntil(const Exchange &exchange, uint32_t stage,
                                           model::TimePoint now)
{
    const PoolRule *pool = exchange.configuration->findPool(exchange.route->stages[stage].pool);
    return pool && pool->batch && pool->batch->resultLifetime > model::Duration::zero()
               ? now + pool->batch->resultLifetime
               : model::TimePoint::max();
}

// Results end with their maker, so a lost one means that all stages run again.
void RelaySystem::restartStages(Exchange &exchange, model::TimePoint now)
{
    const model::RequestId id = exchange.arrived.request;
    if (exchange.wasRestarted) {
        refuse(id, Refusal::StagesFailed, model::seconds(1));
        return;
    }
    exchange.wasRestarted = true;
    ++m_counters.stageRestarts;
    record(EventCode::StagesRestarted, exchange, exchange.route->id.text(),
           absl::StrCat("leftMs=", model::toMilliseconds(exchange.deadline - now)));
    cancelJobs(exchange);
    release(exchange.plan.takeAll());
    exchange.plan.restart();
    advance(id, now);
}

void RelaySystem::cancelJobs(Exchange &exchange)
{
    for (const JobId job : std::exchange(exchange.jobs, {})) {
        if (m_forwards.erase(job) > 0) {
            m_commands.emplace_back(CancelForward {.job = job});
        } else {
            m_scheduler.cancel(job);
            m_jobOwners.erase(job);
        }
    }
}

void RelaySystem::onBatchAnswered(BatchId batch, const std::vector<ItemOutcome> &outcomes,
                                  model::TimePoint now)
{
    m_scheduler.onAnswered(batch, outcomes, now);
    takeScheduled(now);
}

void RelaySystem::onBatchRefused(BatchId batch, model::TimePoint now)
{
    m_scheduler.onRefused(batch, now);
    takeScheduled(now);
}

void RelaySystem::onBatchBroken(BatchId batch, model::TimePoint now)
{
    m_scheduler.onBroken(batch, now);
    takeScheduled(now);
}

void RelaySystem::onPeerJob(uint64_t exchange, StageJob job, model::TimePoint now)
{
    const JobId id = m_scheduler.submit(std::move(job), now);
    m_jobOwners.emplace(id, PeerExchange {.exchange = exchange});
    m_peerJobs.emplace(exchange, id);
    takeScheduled(now);
}

void RelaySystem::onPeerGone(uint64_t exchange)
{
    const auto it = m_peerJobs.find(exchange);
    if (it == m_peerJobs.end()) {
        return;
    }
    m_scheduler.cancel(it->second);
    m_jobOwners.erase(it->second);
    m_peerJobs.erase(it);
}

void RelaySystem::onForwardAnswered(JobId job, JobResult result, model::TimePoint now)
{
    const auto it = m_forwards.find(job);
    if (it == m_forwards.end()) {
        return;
    }
    const Forward forward = it->second;
    m_forwards.erase(it);
    m_peerHeardAt[forward.peer.id] = now;
    noteForecast(forward.content.pool, result.forecast, now);
    if (forward.content.isInquiry) {
        return;
    }
    const bool isRetriedHere = result.failure == JobFailure::NoUpstream;
    if (isRetriedHere && find(forward.owner.request)) {
        // A coordinator that has just started may not have read the list of upstreams.
        std::erase(find(forward.owner.request)->jobs, job);
        submitHere(forward.owner, forward.content, now);
        return;
    }
    onStageFinished(forward.owner, job, std::move(result), now);
}

void RelaySystem::onForwardFailed(JobId job, model::TimePoint now)
{
    const auto it = m_forwards.find(job);
    if (it == m_forwards.end()) {
        return;
    }
    const Forward forward = it->second;
    m_forwards.erase(it);
    if (forward.content.isInquiry) {
        // The jobs that the peer owes decide.
        return;
    }
    m_peerAvoidedUntil[forward.peer.id] = now + peerAvoidance;
    Exchange *exchange = find(forward.owner.request);
    if (!exchange) {
        return;
    }
    std::erase(exchange->jobs, job);
    record(EventCode::CoordinatorAvoided, *exchange, forward.peer.id.text(),
           absl::StrCat("pool=", forward.content.pool.text(),
                        " afterMs=", model::toMilliseconds(now - forward.sentAt)));
    submit(forward.owner, forward.content, now);
}

void RelaySystem::checkPeers(model::TimePoint now)
{
    std::vector<JobId> stuck;
    std::map<model::DaemonId, const Forward *> quiet;
    for (const auto &[id, forward] : m_forwards) {
        const auto heard = m_peerHeardAt.find(forward.peer.id);
        const model::TimePoint last = heard == m_peerHeardAt.end()
                                          ? forward.sentAt
                                          : std::max(forward.sentAt, heard->second);
        if (now - last >= peerSilence) {
            stuck.push_back(id);
        } else if (now - last >= inquiryAfter) {
            quiet.emplace(forward.peer.id, &forward);
        }
    }
    for (const auto &[id, forward] : quiet) {
        inquire(forward->peer, forward->content.pool, now);
    }
    std::sort(stuck.begin(), stuck.end());
    for (const JobId job : stuck) {
        m_commands.emplace_back(CancelForward {.job = job});
        onForwardFailed(job, now);
    }
}

void RelaySystem::inquire(const PeerDaemon &peer, const model::PoolId &pool, model::TimePoint now)
{
    const auto asked = m_peerAskedAt.find(peer.id);
    if (asked != m_peerAskedAt.end() && now - asked->second < inquiryAfter) {
        return;
    }
    m_peerAskedAt[peer.id] = now;
    const JobId id(forwardedBit | ++m_lastForward);
    StageJob inquiry {
        .pool = pool, .pieceCount = 0, .due = now, .deadline = now, .isInquiry = true};
    m_commands.emplace_back(ForwardJob {.job = id, .peer = peer, .content = inquiry});
    m_forwards.emplace(
        id, Forward {.owner = {}, .peer = peer, .content = std::move(inquiry), .sentAt = now});
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
