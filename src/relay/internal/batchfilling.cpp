#include <algorithm>
#include <tuple>

#include "relay/batchscheduler.h"

// Chooses the jobs and the upstream of the next batch and fails jobs that cannot finish in time.

namespace citronpick::relay
{

namespace
{

//! Cost of a transfer between zones: on an upstream, a job that prefers another zone is sorted as
//! if it were due this much later.
constexpr model::Duration otherZonePenalty = model::milliseconds(300);
//! Maximum wait for an upstream of the preferred zone: about half a batch.
constexpr model::Duration zoneWait = model::milliseconds(150);
//! Most batches end within this time of their expected end. A batch that takes longer may take any
//! time, so nothing waits for it.
constexpr model::Duration batchTimeSpread = model::milliseconds(30);
//! Maximum part of a job's slack that the wait for its preferred zone may use in one stage.
constexpr double zoneWaitSlackShare = 0.33;
//! On-time jobs are sorted as if they were due this much later per priority step. It is about the
//! time of a batch: during a load peak the more urgent jobs are served first, and otherwise all are
//! in time.
constexpr model::Duration priorityStep = model::milliseconds(300);

} // namespace

void BatchScheduler::dispatch(const model::PoolId &id, Pool &pool, model::TimePoint now)
{
    const BatchRule *rule = ruleOf(id);
    if (!pool.waiting.empty()) {
        failUnavailableJobs(id, pool, now);
    }
    if (pool.waiting.empty()) {
        pool.forecast = {};
        return;
    }
    failExpiredJobs(pool, *rule, now);
    updateForecast(id, pool, *rule, now);
    pool.zoneWaitUntil = model::TimePoint::max();
    std::vector<Upstream *> free = freeUpstreams(id, *rule, now);
    while (!pool.waiting.empty() && !free.empty()) {
        sortWaiting(pool, *rule, {}, now);
        promoteUnderserved(pool, now);
        Upstream &upstream = *chooseUpstream(pool, free);
        sortWaiting(pool, *rule, upstream.listing.zone, now);
        promoteUnderserved(pool, now);
        const ZoneFreeTimes freeAt = zoneFreeTimes(id, pool, free, now);
        std::vector<PieceRef> pieces = fillBatch(pool, *rule, upstream, freeAt, now);
        const bool isIdle = pieces.empty();
        if (!isIdle) {
            startBatch(id, pool, upstream, *rule, std::move(pieces), now);
        }
        if (isIdle || upstream.inFlight >= std::max(1U, rule->slots)) {
            std::erase(free, &upstream);
        }
    }
    if (!pool.waiting.empty() && !freeUpstreams(id, *rule, now).empty()) {
        pool.zoneWaitUntil = now + zoneWait;
    }
}

// Fails jobs that no upstream of the pool will run in time.
void BatchScheduler::failUnavailableJobs(const model::PoolId &id, Pool &pool, model::TimePoint now)
{
    pool.availableFrom = m_directory.availableFrom(id, now);
    pool.nextReturn = m_directory.nextReturn(id, now);
    if (ruleOf(id) && pool.availableFrom <= now) {
        return;
    }
    const std::vector<JobId> waiting = pool.waiting;
    for (const JobId job : waiting) {
        if (std::optional<JobResult> failed
            = unavailability(m_jobs.at(job).content, pool.availableFrom, now)) {
            finish(job, *std::move(failed), now);
        }
    }
}

void BatchScheduler::failExpiredJobs(Pool &pool, const BatchRule &rule, model::TimePoint now)
{
    std::vector<JobId> late;
    std::vector<JobId> expired;
    for (const JobId job : pool.waiting) {
        if (now + rule.callTime >= m_jobs.at(job).content.deadline) {
            late.push_back(job);
        } else if (now >= m_jobs.at(job).expiresAt()) {
            expired.push_back(job);
        }
    }
    for (const JobId job : expired) {
        finish(job, {.failure = JobFailure::InputsGone}, now);
    }
    for (const JobId job : late) {
        finish(job, {.failure = JobFailure::Late, .retryAfter = model::seconds(1)}, now);
    }
}

bool BatchScheduler::isLate(const StageJob &job, const BatchRule &rule, model::TimePoint now)
{
    return now + rule.callTime > job.due;
}

bool BatchScheduler::isQueuedAsLate(const Job &job, const BatchRule &rule, model::TimePoint now)
{
    return job.isDeprioritized || isLate(job.content, rule, now);
}

// Sorts the waiting jobs. Jobs with some completed pieces come first, because their results occupy
// storage and cannot be used yet. The others follow in their service order; jobs that can still
// meet their target in order of their due time, late ones in order of their deadline. The expiry of
// inputs and results counts as a deadline.
void BatchScheduler::sortWaiting(Pool &pool, const BatchRule &rule, const model::ZoneId &zone,
                                 model::TimePoint now)
{
    struct Rank {
        bool hasNoResults = false;
        ServiceOrder order;
        model::TimePoint at;
        JobId id;

        auto operator<=>(const Rank &) const = default;
    };
    std::optional<uint32_t> mostUrgentLate;
    for (const JobId id : pool.waiting) {
        const Job &job = m_jobs.at(id);
        if (isQueuedAsLate(job, rule, now)) {
            mostUrgentLate
                = std::min(mostUrgentLate.value_or(job.content.priority), job.content.priority);
        }
    }
    std::vector<Rank> ranks;
    for (const JobId id : pool.waiting) {
        const Job &job = m_jobs.at(id);
        const CallerStake stake = stakeOf(job, rule, now);
        const model::ZoneId &wanted = job.content.preferredZone;
        const bool isElsewhere = !zone.isEmpty() && !wanted.isEmpty() && wanted != zone;
        const model::TimePoint at
            = stake.isLate ? stake.deadline
                           : job.content.due + priorityStep * static_cast<int64_t>(stake.priority);
        ranks.push_back({.hasNoResults = job.done == 0,
                         .order = serviceOrder(stake, mostUrgentLate),
                         .at = at + (isElsewhere ? otherZonePenalty : model::Duration::zero()),
                         .id = id});
    }
    std::sort(ranks.begin(), ranks.end());
    std::transform(ranks.begin(), ranks.end(), pool.waiting.begin(),
                   [](const Rank &rank) { return rank.id; });
}

std::vector<Upstream *> BatchScheduler::freeUpstreams(const model::PoolId &id,
                                                      const BatchRule &rule,
                                                      model::TimePoint now) const
{
    std::vector<Upstream *> free;
    for (Upstream *upstream : m_directory.inPool(id)) {
        const bool isFree = upstream->inFlight < std::max(1U, rule.slots)
                            && UpstreamDirectory::isUsable(*upstream, now);
        if (isFree) {
            free.push_back(upstream);
        }
    }
    return free;
}

// Chooses an upstream for the most urgent job: one without recent failures, then one in the job's
// preferred zone, then the one that has had no work for longest. The results of its last batch have
// most likely been released by now, so that it has storage for the next ones.
Upstream *BatchScheduler::chooseUpstream(const Pool &pool,
                                         const std::vector<Upstream *> &free) const
{
    const model::ZoneId &zone = m_jobs.at(pool.waiting.front()).content.preferredZone;
    const auto rank = [&zone](const Upstream *upstream) {
        return std::tuple(upstream->consecutiveFailures, upstream->listing.zone != zone,
                          upstream->inFlight, upstream->lastStartedAt);
    };
    return *std::min_element(
        free.begin(), free.end(),
        [&rank](const Upstream *left, const Upstream *right) { return rank(left) < rank(right); });
}

BatchScheduler::ZoneFreeTimes BatchScheduler::zoneFreeTimes(const model::PoolId &id,
                                                            const Pool &pool,
                                                            const std::vector<Upstream *> &free,
                                                            model::TimePoint now) const
{
    ZoneFreeTimes times;
    const auto note = [&times](const model::ZoneId &zone, model::TimePoint at) {
        const auto [it, isNew] = times.emplace(zone, at);
        it->second = std::min(it->second, at);
    };
    for (const Upstream *upstream : free) {
        note(upstream->listing.zone, now);
    }
    for (const auto &[number, batch] : m_batches) {
        const Upstream *upstream = m_directory.find(batch.upstream);
        const model::TimePoint end
            = batch.startedAt + model::scaled(batch.expected, pool.slowdown) + batchTimeSpread;
        if (batch.pool == id && upstream && !upstream->isClosed() && end > now) {
            note(upstream->listing.zone, end);
        }
    }
    return times;
}

// Fetching inputs from another zone costs more than a short wait for an upstream of the preferred
// zone. The job waits only if most of its slack is left for later stages.
bool BatchScheduler::isHeldForZone(const Job &job, const BatchRule &rule, const Upstream &upstream,
                                   const ZoneFreeTimes &freeAt, model::TimePoint now)
{
    const model::ZoneId &wanted = job.content.preferredZone;
    const auto other = freeAt.find(wanted);
    if (wanted.isEmpty() || wanted == upstream.listing.zone || other == freeAt.end()) {
        return false;
    }
    const model::Duration slack = job.content.due - now - rule.callTime;
    return other->second - now <= std::min(zoneWait, model::scaled(slack, zoneWaitSlackShare));
}

// The pieces of a job are kept in one batch if they fit, because a stage ends with its last piece.
std::vector<BatchScheduler::PieceRef> BatchScheduler::fillBatch(Pool &pool, const BatchRule &rule,
                                                                const Upstream &upstream,
                                                                const ZoneFreeTimes &freeAt,
                                                                model::TimePoint now)
{
    std::vector<PieceRef> batch;
    const size_t room = std::max(1U, rule.maxItems);
    const auto mayTake = [&](const Job &job) {
        return job.queued > 0 && !isHeldForZone(job, rule, upstream, freeAt, now);
    };
    for (const JobId id : pool.waiting) {
        Job &job = m_jobs.at(id);
        const size_t left = room - batch.size();
        const bool fits = batch.empty() || job.queued <= left;
        if (left > 0 && fits && mayTake(job)) {
            takePieces(job, id, left, batch);
        }
    }
    // If a full batch is waiting, throughput matters more than keeping a job's pieces together: the
    // batch is filled up with a part of a job, whose other pieces run in a later batch.
    for (const JobId id : pool.waiting) {
        const size_t left = room - batch.size();
        if (left == 0 || queuedPieces(pool) < room) {
            break;
        }
        if (Job &job = m_jobs.at(id); mayTake(job)) {
            takePieces(job, id, left, batch);
        }
    }
    std::erase_if(pool.waiting, [this](JobId id) { return m_jobs.at(id).queued == 0; });
    return batch;
}

} // namespace citronpick::relay
