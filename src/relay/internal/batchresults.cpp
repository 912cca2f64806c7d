#include <algorithm>
#include <map>

#include "relay/batchscheduler.h"

// Handles the outcomes of pieces: stores results, queues failed pieces again and releases inputs.

namespace citronpick::relay
{

namespace
{

//! An upstream without storage for results gets some back as stored results are fetched.
constexpr model::Duration fullStoragePause = model::milliseconds(80);
constexpr uint32_t maxPieceAttempts = 4;
//! Pieces beyond this part of a full batch are the first whose results may not be stored.
constexpr double safeBatchShare = 0.8;
//! Weight of the newest batch in the moving average of the fraction of stored results.
constexpr double storedFractionWeight = 0.05;

} // namespace

// Updates the fraction of stored results and pauses an upstream whose storage is full. A piece
// whose result cannot be stored delays its job and wastes the time spent on it. Storage becomes
// free as results are fetched, released or expire.
void BatchScheduler::noteStoredResults(const Batch &batch, const std::vector<ItemOutcome> &outcomes,
                                       model::TimePoint now)
{
    const auto failed = static_cast<size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [](const ItemOutcome &outcome) {
            return outcome.failure == ItemFailure::NoStorage;
        }));
    const double made
        = 1.0
          - static_cast<double>(failed) / static_cast<double>(std::max<size_t>(1, outcomes.size()));
    m_counters.piecesWithoutStorage += failed;
    Pool &pool = m_pools[batch.pool];
    pool.storedFraction += storedFractionWeight * (made - pool.storedFraction);
    Upstream *upstream = m_directory.find(batch.upstream);
    if (!upstream) {
        return;
    }
    if (failed > 0) {
        const auto first
            = std::find_if(outcomes.begin(), outcomes.end(), [](const ItemOutcome &outcome) {
                  return outcome.failure == ItemFailure::NoStorage;
              });
        upstream->storedResults = static_cast<size_t>(first - outcomes.begin());
    } else if (upstream->storedResults && outcomes.size() > *upstream->storedResults) {
        upstream->storedResults = std::nullopt;
    }
    if (failed > 0 && 2 * failed >= outcomes.size()) {
        upstream->avoidedUntil = std::max(upstream->avoidedUntil, now + fullStoragePause);
    }
}

// Upstreams have little storage for results, so inputs are released once they are fetched, while
// the pieces that use them still run. If such a piece fails, the stages before it have to run
// again. That is most likely for pieces whose results will not be stored, so their inputs are kept.
void BatchScheduler::releaseFetchedInputs(model::TimePoint now)
{
    for (auto &[id, batch] : m_batches) {
        if (batch.areInputsFetched || now < batch.inputsFetchedAt) {
            continue;
        }
        batch.areInputsFetched = true;
        const BatchRule *rule = ruleOf(batch.pool);
        const double most = safeBatchShare * static_cast<double>(rule ? rule->maxItems : 1);
        size_t safe = std::min(batch.pieces.size(), static_cast<size_t>(most));
        if (const Upstream *upstream = m_directory.find(batch.upstream);
            upstream && upstream->storedResults) {
            safe = std::min(safe, *upstream->storedResults);
        }
        for (size_t i = 0; i < safe; ++i) {
            const PieceRef &piece = batch.pieces[i];
            const auto job = m_jobs.find(piece.job);
            if (job != m_jobs.end()) {
                job->second.pieces[piece.piece].areInputsFetched = true;
                releaseInputs(piece.job);
            }
        }
    }
}

void BatchScheduler::releaseInputs(JobId id)
{
    Job &job = m_jobs.at(id);
    const bool isReleased
        = job.content.releasesInputs && !job.areInputsReleased
          && std::all_of(job.pieces.begin(), job.pieces.end(),
                         [](const Piece &piece) { return piece.areInputsFetched; });
    if (isReleased) {
        job.areInputsReleased = true;
        m_resultsToRelease.insert(m_resultsToRelease.end(), job.content.inputs.begin(),
                                  job.content.inputs.end());
    }
}

void BatchScheduler::completePiece(const PieceRef &ref, const ItemOutcome &outcome,
                                   const model::ZoneId &zone, model::TimePoint now)
{
    const auto it = m_jobs.find(ref.job);
    if (it == m_jobs.end()) {
        if (outcome.failure == ItemFailure::None) {
            ++m_counters.unusedResults;
            m_resultsToRelease.push_back(outcome.handle);
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
    case ItemFailure::NoStorage:
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
        job.resultsExpireAt = std::min(job.resultsExpireAt, now + rule->resultLifetime);
    }
    if (++job.done < job.pieces.size()) {
        return;
    }
    JobResult result {
        .zone = mainZoneOf(job),
        .duration = now - job.submittedAt,
        .wasLate = rule && (job.isDeprioritized || isLate(job.content, *rule, job.submittedAt)),
        .areInputsReleased = job.areInputsReleased};
    for (Piece &each : job.pieces) {
        result.handles.push_back(std::exchange(each.handle, {}));
    }
    finish(ref.job, std::move(result), now);
}

model::ZoneId BatchScheduler::mainZoneOf(const Job &job)
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

void BatchScheduler::requeue(const PieceRef &ref, bool countsAsAttempt, model::TimePoint now)
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
    piece.areInputsFetched = false;
    piece.attempts += countsAsAttempt ? 1 : 0;
    if (piece.attempts >= maxPieceAttempts) {
        finish(ref.job, {.failure = JobFailure::Failed, .retryAfter = model::seconds(1)}, now);
        return;
    }
    piece.state = PieceState::Queued;
    if (job.queued++ == 0) {
        m_pools[job.content.pool].waiting.push_back(ref.job);
    }
}

} // namespace citronpick::relay
