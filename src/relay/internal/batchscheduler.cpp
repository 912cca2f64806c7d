#include "relay/batchscheduler.h"

#include <algorithm>

namespace citronpick::relay
{

namespace
{

//! A batch this much slower than its pool's usual is run elsewhere as well.
constexpr double overdueFactor = 2.5;
//! Added to it, for the way there and back and other daemons' calls ahead in the queue.
constexpr model::Duration overdueMargin = model::milliseconds(250);
//! An upstream that was full is asked again after about half a batch.
constexpr model::Duration refusalPause = model::milliseconds(100);
//! An upstream without room for results gets some as those it holds are fetched.
constexpr model::Duration fullPause = model::milliseconds(80);
constexpr uint32_t maxTries = 4;
//! Inputs are fetched at the beginning of a call, over links that take some milliseconds for all of
//! a batch's; after this much of a call's fixed time they are.
constexpr double fetchShareOfCall = 0.5;
//! Pieces beyond this part of a full batch are the first to find no room for their results.
constexpr double safeShareOfBatch = 0.8;
//! Weight of the newest batch in a pool's slowness.
constexpr double slownessWeight = 0.2;
constexpr double maxSlowness = 3.0;
//! Weight of the newest batch in the part of pieces that find room.
constexpr double yieldWeight = 0.05;

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

JobId BatchScheduler::submit(StageJob job, model::TimePoint now)
{
    const JobId id(++m_lastJob);
    Job &row = m_jobs[id];
    row.content = std::move(job);
    row.submittedAt = now;
    row.pieces.resize(row.content.pieceCount);
    row.queued = row.content.pieceCount;
    const model::PoolId pool = row.content.pool;
    if (row.content.isInquiry) {
        finish(id, {}, now);
        return id;
    }
    if (!ruleOf(pool) || m_directory.inPool(pool).empty()) {
        finish(id, {.failure = JobFailure::NoUpstream, .retryAfter = model::seconds(1)}, now);
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
            m_abandoned.push_back(std::move(piece.handle));
        }
    }
    m_jobs.erase(it);
}

void BatchScheduler::run(model::TimePoint now)
{
    releaseFetched(now);
    expire(now);
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
        consider(batch.hasFetched ? batch.overdueAt : batch.fetchedAt);
    }
    for (const auto &[id, pool] : m_pools) {
        const BatchRule *rule = ruleOf(id);
        if (pool.waiting.empty() || !rule) {
            continue;
        }
        consider(pool.waitsUntil);
        for (const Upstream *upstream : m_directory.inPool(id)) {
            if (upstream->inFlight == 0 && upstream->avoidedUntil > model::TimePoint()) {
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

void BatchScheduler::start(const model::PoolId &id, Pool &pool, Upstream &upstream,
                           const BatchRule &rule, std::vector<PieceRef> pieces,
                           model::TimePoint now)
{
    const BatchId batch(++m_lastBatch);
    RunBatch command {.batch = batch,
                      .upstream = upstream.listing.id,
                      .address = upstream.listing.address,
                      .pool = id};
    for (const PieceRef &piece : pieces) {
        const StageJob &job = m_jobs.at(piece.job).content;
        pool.startedOnTime += givesWay(m_jobs.at(piece.job), rule, now) ? 0.0 : 1.0;
        command.items.push_back({.request = job.request,
                                 .stage = job.stage,
                                 .piece = piece.piece,
                                 .key = job.key,
                                 .inputs = job.inputs,
                                 .timeLeft = job.deadline - now});
    }
    const model::Duration expected
        = rule.callTime + rule.itemTime * static_cast<int64_t>(pieces.size());
    const model::Duration patience
        = model::scaled(expected, overdueFactor * pool.slowness) + overdueMargin;
    ++upstream.inFlight;
    m_batches.emplace(batch,
                      Batch {.pool = id,
                             .upstream = upstream.listing.id,
                             .pieces = std::move(pieces),
                             .startedAt = now,
                             .expected = expected,
                             .overdueAt = now + patience,
                             .fetchedAt = now + model::scaled(rule.callTime, fetchShareOfCall)});
    m_commands.emplace_back(std::move(command));
}

std::optional<BatchScheduler::Batch> BatchScheduler::take(BatchId id)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return std::nullopt;
    }
    Batch batch = std::move(it->second);
    m_batches.erase(it);
    Upstream *upstream = m_directory.find(batch.upstream);
    if (upstream && upstream->inFlight > 0) {
        --upstream->inFlight;
    }
    return batch;
}

void BatchScheduler::onAnswered(BatchId id, const std::vector<ItemOutcome> &outcomes,
                                model::TimePoint now)
{
    const std::optional<Batch> batch = take(id);
    if (!batch) {
        return;
    }
    Pool &pool = m_pools[batch->pool];
    const double ratio = model::toSeconds(now - batch->startedAt)
                         / std::max(model::toSeconds(batch->expected), 0.001);
    pool.slowness += slownessWeight * (std::clamp(ratio, 1.0, maxSlowness) - pool.slowness);
    m_directory.noteSuccess(batch->upstream);
    noteRoom(*batch, outcomes, now);
    const Upstream *maker = m_directory.find(batch->upstream);
    const model::ZoneId zone = maker ? maker->listing.zone : model::ZoneId();
    for (size_t i = 0; i < batch->pieces.size(); ++i) {
        settle(batch->pieces[i], i < outcomes.size() ? outcomes[i] : ItemOutcome {}, zone, now);
    }
    dispatch(batch->pool, pool, now);
}

// Pieces without room cost their job time, and others the time that they were given. Room comes
// back as results are fetched, given back or expire.
void BatchScheduler::noteRoom(const Batch &batch, const std::vector<ItemOutcome> &outcomes,
                              model::TimePoint now)
{
    const auto failed = static_cast<size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [](const ItemOutcome &outcome) {
            return outcome.failure == ItemFailure::NoRoom;
        }));
    const double made
        = 1.0
          - static_cast<double>(failed) / static_cast<double>(std::max<size_t>(1, outcomes.size()));
    Pool &pool = m_pools[batch.pool];
    pool.yield += yieldWeight * (made - pool.yield);
    Upstream *upstream = m_directory.find(batch.upstream);
    if (upstream && failed > 0 && 2 * failed >= outcomes.size()) {
        upstream->avoidedUntil = std::max(upstream->avoidedUntil, now + fullPause);
    }
}

void BatchScheduler::onRefused(BatchId id, model::TimePoint now)
{
    const std::optional<Batch> batch = take(id);
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
    const std::optional<Batch> batch = take(id);
    if (!batch) {
        return;
    }
    m_directory.noteFailure(batch->upstream, now);
    if (Upstream *upstream = m_directory.find(batch->upstream)) {
        upstream->avoidedUntil = std::max(upstream->avoidedUntil, now + refusalPause);
    }
    for (const PieceRef &piece : batch->pieces) {
        requeue(piece, true, now);
    }
    dispatch(batch->pool, m_pools[batch->pool], now);
}

// The makers of inputs have little room: what has been fetched is given back while the pieces that
// took it are still worked on. A piece that fails after that costs its job the stages before.
void BatchScheduler::releaseFetched(model::TimePoint now)
{
    for (auto &[id, batch] : m_batches) {
        if (batch.hasFetched || now < batch.fetchedAt) {
            continue;
        }
        batch.hasFetched = true;
        const BatchRule *rule = ruleOf(batch.pool);
        const double most = safeShareOfBatch * static_cast<double>(rule ? rule->maxItems : 1);
        const size_t safe = std::min(batch.pieces.size(), static_cast<size_t>(most));
        for (size_t i = 0; i < safe; ++i) {
            const PieceRef &piece = batch.pieces[i];
            const auto job = m_jobs.find(piece.job);
            if (job != m_jobs.end()) {
                job->second.pieces[piece.piece].hasFetched = true;
                releaseInputs(piece.job);
            }
        }
    }
}

void BatchScheduler::releaseInputs(JobId id)
{
    Job &job = m_jobs.at(id);
    const bool isReleased = job.content.releasesInputs && !job.areInputsReleased
                            && std::all_of(job.pieces.begin(), job.pieces.end(),
                                           [](const Piece &piece) { return piece.hasFetched; });
    if (isReleased) {
        job.areInputsReleased = true;
        m_abandoned.insert(m_abandoned.end(), job.content.inputs.begin(), job.content.inputs.end());
    }
}

void BatchScheduler::expire(model::TimePoint now)
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

void BatchScheduler::settle(const PieceRef &ref, const ItemOutcome &outcome,
                            const model::ZoneId &zone, model::TimePoint now)
{
    const auto it = m_jobs.find(ref.job);
    if (it == m_jobs.end()) {
        if (outcome.failure == ItemFailure::None) {
            m_abandoned.push_back(outcome.handle);
        }
        return;
    }
    Job &job = it->second;
    switch (outcome.failure) {
    case ItemFailure::None:
        break;
    case ItemFailure::InputsGone:
        finish(ref.job, {.failure = JobFailure::InputsGone}, now);
        return;
    case ItemFailure::Late:
        if (now >= job.content.deadline) {
            finish(ref.job, {.failure = JobFailure::Late, .retryAfter = model::seconds(1)}, now);
            return;
        }
        requeue(ref, true, now);
        return;
    case ItemFailure::NoRoom:
        requeue(ref, false, now);
        return;
    case ItemFailure::Error:
        requeue(ref, true, now);
        return;
    }
    Piece &piece = job.pieces[ref.piece];
    if (piece.state == PieceState::Done) {
        return;
    }
    piece.state = PieceState::Done;
    piece.handle = outcome.handle;
    piece.zone = zone;
    const BatchRule *rule = ruleOf(job.content.pool);
    if (rule && rule->resultLifetime > model::Duration::zero()) {
        job.resultsUntil = std::min(job.resultsUntil, now + rule->resultLifetime);
    }
    if (++job.done < job.pieces.size()) {
        return;
    }
    JobResult result {.zone = zoneOf(job),
                      .took = now - job.submittedAt,
                      .wasLate
                      = rule && (job.isDemoted || isLate(job.content, *rule, job.submittedAt)),
                      .areInputsReleased = job.areInputsReleased};
    for (Piece &each : job.pieces) {
        result.handles.push_back(std::exchange(each.handle, {}));
    }
    finish(ref.job, std::move(result), now);
}

model::ZoneId BatchScheduler::zoneOf(const Job &job)
{
    std::map<model::ZoneId, size_t> counts;
    for (const Piece &piece : job.pieces) {
        ++counts[piece.zone];
    }
    const auto most
        = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
              return left.second < right.second;
          });
    return most == counts.end() ? model::ZoneId() : most->first;
}

void BatchScheduler::requeue(const PieceRef &ref, bool countsAsTry, model::TimePoint now)
{
    const auto it = m_jobs.find(ref.job);
    if (it == m_jobs.end()) {
        return;
    }
    Job &job = it->second;
    Piece &piece = job.pieces[ref.piece];
    if (piece.state != PieceState::Running) {
        return;
    }
    if (job.areInputsReleased) {
        finish(ref.job, {.failure = JobFailure::InputsGone}, now);
        return;
    }
    piece.hasFetched = false;
    piece.tries += countsAsTry ? 1 : 0;
    if (piece.tries >= maxTries) {
        finish(ref.job, {.failure = JobFailure::Failed, .retryAfter = model::seconds(1)}, now);
        return;
    }
    piece.state = PieceState::Queued;
    if (job.queued++ == 0) {
        m_pools[job.content.pool].waiting.push_back(ref.job);
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

std::vector<ResultHandle> BatchScheduler::takeAbandoned()
{
    return std::exchange(m_abandoned, {});
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
