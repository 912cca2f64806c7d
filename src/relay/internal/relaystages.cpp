#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/overloaded.h"
#include "relay/relaysystem.h"

// Runs the stages of a request.

namespace citronpick::relay
{

using observability::EventCode;

namespace
{

//! An upstream that can store the results of this many batches can keep results until the jobs that
//! use them are done.
constexpr uint64_t ampleStorageBatches = 4;

} // namespace

void RelaySystem::advanceExchange(model::RequestId id, model::TimePoint now)
{
    Exchange *exchange = find(id);
    if (!exchange) {
        return;
    }
    if (exchange->plan.isDone()) {
        startAttempt(*exchange, now);
        return;
    }
    const bool wasRestarted = exchange->wasRestarted;
    const std::vector<uint32_t> ready = exchange->plan.takeReady();
    for (const uint32_t stage : ready) {
        exchange = find(id);
        // A job that fails at once ends the request, starts its stages again, or leaves a stream to
        // its silent upstream.
        const bool needsStages = exchange && exchange->attempt.value() == 0;
        if (!needsStages || exchange->wasRestarted != wasRestarted) {
            return;
        }
        submit(LocalStage {.request = id, .stage = stage}, jobFor(*exchange, stage, now), now);
    }
}

bool RelaySystem::isStorageScarce(const Exchange &exchange, uint32_t stage)
{
    const StageRule &rule = exchange.route->stages[stage];
    const PoolRule *producer = exchange.configuration->findPool(rule.pool);
    return producer && producer->batch
           && rule.resultBytes * producer->batch->maxItems * ampleStorageBatches
                  > producer->batch->resultStorageBytes;
}

// Inputs are kept until their job is done, in case a piece has to run again, unless the upstreams
// that store them would then have no space for the results of the next batches.
bool RelaySystem::releasesInputs(const Exchange &exchange, uint32_t stage)
{
    const std::vector<uint32_t> &after = exchange.route->stages[stage].after;
    return std::any_of(after.begin(), after.end(),
                       [&](uint32_t before) { return isStorageScarce(exchange, before); })
           && exchange.plan.isOnlyUserOfInputs(stage);
}

// An upstream fetches the results before it answers. A stream that cannot resume is not sent to
// another upstream. One that can is sent again so rarely that its stages then run again, if its
// results would take up scarce storage as long as it lasts.
bool RelaySystem::releasesFinalResults(const Exchange &exchange)
{
    if (exchange.route->kind == RequestKind::Stream) {
        return true;
    }
    for (uint32_t i = 0; i < exchange.route->stages.size(); ++i) {
        if (exchange.plan.pieceCount(i) > 0 && isStorageScarce(exchange, i)) {
            return true;
        }
    }
    return false;
}

StageJob RelaySystem::jobFor(const Exchange &exchange, uint32_t stage, model::TimePoint now) const
{
    const StageRule &rule = exchange.route->stages[stage];
    // Each piece fetches all inputs, so being close to the inputs saves more transfer time than
    // being close to the upstream that will use the results.
    const model::ZoneId inputsZone = exchange.plan.inputsZone(stage);
    StageJob job {.pool = rule.pool,
                  .request = exchange.arrived.callerId,
                  .stage = stage,
                  .pieceCount = exchange.plan.pieceCount(stage),
                  .inputs = exchange.plan.inputsOf(stage),
                  .priority = exchange.priority,
                  .workSpent = workBefore(exchange, stage),
                  .due = dueOf(exchange, stage, now),
                  .deadline = deadlineOf(exchange, stage, now),
                  .preferredZone = inputsZone.isEmpty() ? exchange.expectedZone : inputsZone,
                  .inputsExpireAt = exchange.plan.inputsExpiry(stage),
                  .releasesInputs = releasesInputs(exchange, stage)};
    if (job.inputs.empty()) {
        job.key = exchange.arrived.pieceKey;
    }
    return job;
}

void RelaySystem::runScheduler(model::TimePoint now)
{
    m_scheduler.run(now);
    handleSchedulerOutput(now);
}

void RelaySystem::handleSchedulerOutput(model::TimePoint now)
{
    handleSuspects(now);
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
    releaseResults(m_scheduler.takeResultsToRelease());
    for (FinishedJob &finished : m_scheduler.takeFinished()) {
        const auto it = m_jobOwners.find(finished.job);
        if (it == m_jobOwners.end()) {
            continue;
        }
        const JobOwner owner = it->second;
        m_jobOwners.erase(it);
        finishJob(owner, finished.job, std::move(finished.result), now);
    }
}

void RelaySystem::finishJob(const JobOwner &owner, JobId job, JobResult result,
                            model::TimePoint now)
{
    std::visit(
        model::Overloaded {
            [&](const LocalStage &local) { onStageFinished(local, job, std::move(result), now); },
            [&](const PeerExchange &peer) {
                m_peerJobs.erase(peer.exchange);
                m_commands.emplace_back(
                    AnswerPeer {.exchange = peer.exchange, .result = std::move(result)});
            },
        },
        owner);
}

void RelaySystem::onStageFinished(const LocalStage &owner, JobId job, JobResult result,
                                  model::TimePoint now)
{
    Exchange *exchange = find(owner.request);
    if (!exchange) {
        releaseResults(std::move(result.handles));
        return;
    }
    std::erase(exchange->jobs, job);
    updateStageTime(*exchange, owner.stage, result);
    if (result.wasLate) {
        ++m_counters.lateStagesByPriority[exchange->priority];
    }
    record(EventCode::StageFinished, *exchange, absl::StrCat("stage-", owner.stage),
           absl::StrCat("outcome=", model::toAbsl(toString(result.failure)),
                        " pieces=", result.handles.size(),
                        " inputs=", exchange->plan.inputsOf(owner.stage).size(),
                        " afterMs=", model::toMilliseconds(now - exchange->arrived.startedAt)));
    switch (result.failure) {
    case JobFailure::None:
        exchange->plan.complete(owner.stage, std::move(result.handles),
                                resultsExpiry(*exchange, owner.stage, now), result.zone);
        if (std::vector<ResultHandle> unneeded = exchange->plan.takeUnneeded();
            !result.areInputsReleased) {
            releaseResults(std::move(unneeded));
        }
        advanceExchange(owner.request, now);
        return;
    case JobFailure::InputsGone:
        restartStages(*exchange, now);
        return;
    case JobFailure::Late:
        refuse(owner.request, Refusal::TooLate, result.retryAfter);
        return;
    case JobFailure::NoUpstream:
    case JobFailure::Failed:
    case JobFailure::Unavailable:
        refuse(owner.request, Refusal::StagesFailed, result.retryAfter);
        return;
    }
}

// Results from earlier batches of the stage expire sooner than this estimate. The upstream that
// fetches them reports it if they have expired.
model::TimePoint RelaySystem::resultsExpiry(const Exchange &exchange, uint32_t stage,
                                            model::TimePoint now)
{
    const PoolRule *pool = exchange.configuration->findPool(exchange.route->stages[stage].pool);
    return pool && pool->batch && pool->batch->resultLifetime > model::Duration::zero()
               ? now + pool->batch->resultLifetime
               : model::TimePoint::max();
}

// Results are lost together with the upstream that stores them, so all stages have to run again.
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
    releaseResults(exchange.plan.takeAllResults());
    exchange.plan.restart();
    advanceExchange(id, now);
}

void RelaySystem::cancelJobs(Exchange &exchange)
{
    for (const JobId job : std::exchange(exchange.jobs, {})) {
        cancelJob(job);
    }
}

void RelaySystem::cancelJob(JobId job)
{
    if (m_forwardedJobs.erase(job) > 0) {
        m_commands.emplace_back(CancelForwardedJob {.job = job});
        return;
    }
    m_scheduler.cancel(job);
    m_jobOwners.erase(job);
}

void RelaySystem::onBatchAnswered(BatchId batch, const std::vector<ItemOutcome> &outcomes,
                                  model::TimePoint now)
{
    m_scheduler.onAnswered(batch, outcomes, now);
    handleSchedulerOutput(now);
}

void RelaySystem::onBatchRefused(BatchId batch, model::TimePoint now)
{
    ++m_counters.refusedBatches;
    m_scheduler.onRefused(batch, now);
    handleSchedulerOutput(now);
}

void RelaySystem::onBatchBroken(BatchId batch, model::TimePoint now)
{
    m_scheduler.onBroken(batch, now);
    handleSchedulerOutput(now);
}

} // namespace citronpick::relay
