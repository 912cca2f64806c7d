#include "relay/batchscheduler.h"

#include <algorithm>

#include "relay/retryafter.h"

namespace citronpick::relay
{

namespace
{

//! A batch that takes longer than this multiple of its pool's usual time is overdue: its pieces are
//! queued again.
constexpr double overdueFactor = 2.5;
//! Added to the overdue limit for the network round trip and for other daemons' calls that are
//! ahead in the upstream's queue.
constexpr model::Duration overdueMargin = model::milliseconds(250);
//! A full upstream is tried again after about half the time of a batch.
constexpr model::Duration refusalPause = model::milliseconds(100);
//! Inputs are fetched at the beginning of a call, which takes some milliseconds for a whole batch.
//! They are assumed to be fetched after this part of the call's fixed time.
constexpr double fetchShareOfCall = 0.5;
//! Weight of the newest batch in a pool's slowdown factor.
constexpr double slowdownWeight = 0.2;
constexpr double maxSlowdown = 3.0;

} // namespace

std::string_view toString(JobFailure failure)
{
    switch (failure) {
    case JobFailure::None:
        return "none";
    case JobFailure::Late:
        return "late";
    case JobFailure::InputsGone:
        return "inputs-gone";
    case JobFailure::NoUpstream:
        return "no-upstream";
    case JobFailure::Failed:
        return "failed";
    case JobFailure::Unavailable:
        return "unavailable";
    }
    return "failed";
}

void BatchScheduler::setConfiguration(RelayConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
}

const BatchRule *BatchScheduler::ruleOf(const model::PoolId &pool) const
{
    const PoolRule *rule = m_configuration ? m_configuration->findPool(pool) : nullptr;
    return rule && rule->batch ? &*rule->batch : nullptr;
}

std::optional<JobResult> BatchScheduler::unavailability(const StageJob &job,
                                                        model::TimePoint availableFrom,
                                                        model::TimePoint now) const
{
    const BatchRule *rule = ruleOf(job.pool);
    if (!rule || m_directory.inPool(job.pool).empty()) {
        return JobResult {.failure = JobFailure::NoUpstream, .retryAfter = emptyPoolRetryAfter};
    }
    const bool canRun = availableFrom <= now
                        || (availableFrom < model::TimePoint::max()
                            && availableFrom + rule->callTime < job.deadline);
    if (canRun) {
        return std::nullopt;
    }
    return JobResult {.failure = JobFailure::Unavailable,
                      .retryAfter = retryAfterFor(availableFrom, emptyPoolRetryAfter, now)};
}

JobId BatchScheduler::submit(StageJob job, model::TimePoint now)
{
    const JobId id(++m_lastJob);
    Job &entry = m_jobs[id];
    entry.content = std::move(job);
    entry.submittedAt = now;
    entry.pieces.resize(entry.content.pieceCount);
    entry.queued = entry.content.pieceCount;
    const model::PoolId pool = entry.content.pool;
    if (entry.content.isInquiry) {
        finish(id, {}, now);
        return id;
    }
    if (std::optional<JobResult> failed
        = unavailability(entry.content, m_directory.availableFrom(pool, now), now)) {
        finish(id, *std::move(failed), now);
        return id;
    }
    m_pools[pool].waiting.push_back(id);
    dispatch(pool, m_pools[pool], now);
    return id;
}

void BatchScheduler::cancel(JobId job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
        return;
    }
    std::erase(m_pools[it->second.content.pool].waiting, job);
    for (Piece &piece : it->second.pieces) {
        if (piece.state == PieceState::Done && !piece.handle.empty()) {
            ++m_counters.unusedResults;
            m_resultsToRelease.push_back(std::move(piece.handle));
        }
    }
    m_jobs.erase(it);
}

void BatchScheduler::run(model::TimePoint now)
{
    releaseFetchedInputs(now);
    cancelOverdue(now);
    for (auto &[id, pool] : m_pools) {
        dispatch(id, pool, now);
    }
}

std::optional<model::TimePoint> BatchScheduler::nextRun() const
{
    std::optional<model::TimePoint> next;
    const auto consider = [&next](model::TimePoint at) {
        next = next ? std::min(*next, at) : at;
    };
    for (const auto &[id, batch] : m_batches) {
        consider(batch.areInputsFetched ? batch.overdueAt : batch.inputsFetchedAt);
    }
    for (const auto &[id, pool] : m_pools) {
        const BatchRule *rule = ruleOf(id);
        if (pool.waiting.empty() || !rule) {
            continue;
        }
        consider(pool.zoneWaitUntil);
        consider(pool.nextReturn);
        for (const Upstream *upstream : m_directory.inPool(id)) {
            // A rest or a wait for a turn at a cold or limited upstream that lasts longer is
            // considered by nextReturn.
            const model::TimePoint opensAt = std::max(
                {upstream->restUntil, std::min(upstream->coldUntil, upstream->coldTurnAt),
                 upstream->limit ? upstream->limitTurnAt : model::TimePoint()});
            const bool isAvoided = upstream->avoidedUntil > opensAt;
            if (upstream->inFlight == 0 && isAvoided && !upstream->isClosed()) {
                consider(upstream->avoidedUntil);
            }
        }
        for (const JobId job : pool.waiting) {
            consider(std::min(m_jobs.at(job).content.deadline - rule->callTime,
                              m_jobs.at(job).expiresAt()));
        }
    }
    return next;
}

void BatchScheduler::takePieces(Job &job, JobId id, size_t count, std::vector<PieceRef> &batch)
{
    for (uint32_t i = 0; i < job.pieces.size() && count > 0; ++i) {
        if (job.pieces[i].state == PieceState::Queued) {
            job.pieces[i].state = PieceState::Running;
            --job.queued;
            --count;
            batch.push_back({.job = id, .piece = i});
        }
    }
}

void BatchScheduler::startBatch(const model::PoolId &id, Pool &pool, Upstream &upstream,
                                const BatchRule &rule, std::vector<PieceRef> pieces,
                                model::TimePoint now)
{
    const BatchId batch(++m_lastBatch);
    RunBatch command {.batch = batch,
                      .upstream = upstream.listing.id,
                      .incarnation = upstream.listing.incarnation,
                      .address = upstream.listing.address,
                      .pool = id};
    for (const PieceRef &piece : pieces) {
        const StageJob &job = m_jobs.at(piece.job).content;
        const size_t priority = priorityIndex(m_jobs.at(piece.job));
        pool.startedPieces[priority] += 1.0;
        pool.startedOnTimePieces[priority]
            += isQueuedAsLate(m_jobs.at(piece.job), rule, now) ? 0.0 : 1.0;
        command.items.push_back({.request = job.request,
                                 .stage = job.stage,
                                 .piece = piece.piece,
                                 .key = job.key,
                                 .inputs = job.inputs,
                                 .timeLeft = job.deadline - now});
    }
    const model::Duration expected
        = rule.callTime + rule.itemTime * static_cast<int64_t>(pieces.size());
    const model::Duration timeLimit
        = model::scaled(expected, overdueFactor * pool.slowdown) + overdueMargin;
    UpstreamDirectory::noteStarted(upstream, now);
    m_batches.emplace(
        batch, Batch {.pool = id,
                      .upstream = upstream.listing.id,
                      .pieces = std::move(pieces),
                      .startedAt = now,
                      .expected = expected,
                      .overdueAt = now + timeLimit,
                      .inputsFetchedAt = now + model::scaled(rule.callTime, fetchShareOfCall)});
    m_commands.emplace_back(std::move(command));
}

std::optional<BatchScheduler::Batch> BatchScheduler::takeBatch(BatchId id)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return std::nullopt;
    }
    Batch batch = std::move(it->second);
    m_batches.erase(it);
    m_directory.noteEnded(batch.upstream, batch.startedAt);
    return batch;
}

void BatchScheduler::onAnswered(BatchId id, const std::vector<ItemOutcome> &outcomes,
                                model::TimePoint now)
{
    const std::optional<Batch> batch = takeBatch(id);
    if (!batch) {
        return;
    }
    Pool &pool = m_pools[batch->pool];
    const double ratio = model::toSeconds(now - batch->startedAt)
                         / std::max(model::toSeconds(batch->expected), 0.001);
    pool.slowdown += slowdownWeight * (std::clamp(ratio, 1.0, maxSlowdown) - pool.slowdown);
    m_directory.noteSuccess(batch->upstream, batch->startedAt);
    noteStoredResults(*batch, outcomes, now);
    const Upstream *producer = m_directory.find(batch->upstream);
    const model::ZoneId zone = producer ? producer->listing.zone : model::ZoneId();
    for (size_t i = 0; i < batch->pieces.size(); ++i) {
        completePiece(batch->pieces[i], i < outcomes.size() ? outcomes[i] : ItemOutcome {}, zone,
                      now);
    }
    dispatch(batch->pool, pool, now);
}

void BatchScheduler::onRefused(BatchId id, model::TimePoint now)
{
    const std::optional<Batch> batch = takeBatch(id);
    if (!batch) {
        return;
    }
    if (Upstream *upstream = m_directory.find(batch->upstream)) {
        upstream->avoidedUntil = std::max(upstream->avoidedUntil, now + refusalPause);
    }
    for (const PieceRef &piece : batch->pieces) {
        requeue(piece, false, now);
    }
    dispatch(batch->pool, m_pools[batch->pool], now);
}

void BatchScheduler::onBroken(BatchId id, model::TimePoint now)
{
    const std::optional<Batch> batch = takeBatch(id);
    if (!batch) {
        return;
    }
    m_directory.noteFailure(batch->upstream, now);
    m_directory.noteConnectionLost(batch->upstream, now);
    if (Upstream *upstream = m_directory.find(batch->upstream)) {
        upstream->avoidedUntil = std::max(upstream->avoidedUntil, now + refusalPause);
    }
    for (const PieceRef &piece : batch->pieces) {
        requeue(piece, true, now);
    }
    dispatch(batch->pool, m_pools[batch->pool], now);
}

void BatchScheduler::cancelOverdue(model::TimePoint now)
{
    std::vector<BatchId> overdue;
    for (const auto &[id, batch] : m_batches) {
        if (now >= batch.overdueAt) {
            overdue.push_back(id);
        }
    }
    for (const BatchId id : overdue) {
        m_commands.emplace_back(CancelBatch {.batch = id});
        onBroken(id, now);
    }
}

void BatchScheduler::finish(JobId id, JobResult result, model::TimePoint now)
{
    const auto it = m_jobs.find(id);
    if (it != m_jobs.end()) {
        result.forecast = forecastOf(it->second.content.pool, now);
    }
    cancel(id);
    m_finished.push_back({.job = id, .result = std::move(result)});
}

std::vector<BatchCommand> BatchScheduler::takeCommands()
{
    return std::exchange(m_commands, {});
}

std::vector<FinishedJob> BatchScheduler::takeFinished()
{
    return std::exchange(m_finished, {});
}

std::vector<ResultHandle> BatchScheduler::takeResultsToRelease()
{
    return std::exchange(m_resultsToRelease, {});
}

const StageJob *BatchScheduler::find(JobId job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second.content;
}

std::vector<JobId> BatchScheduler::jobsNotBegun() const
{
    std::vector<JobId> found;
    for (const auto &[id, job] : m_jobs) {
        if (job.queued == job.pieces.size()) {
            found.push_back(id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

size_t BatchScheduler::queuedPieces(const model::PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : queuedPieces(it->second);
}

size_t BatchScheduler::queuedPieces(const Pool &pool) const
{
    size_t count = 0;
    for (const JobId job : pool.waiting) {
        count += m_jobs.at(job).queued;
    }
    return count;
}

} // namespace citronpick::relay
