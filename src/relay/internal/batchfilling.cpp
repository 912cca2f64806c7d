#include <algorithm>
#include <tuple>

#include "relay/batchscheduler.h"

// Which jobs go next, to which upstream, and which are told that they have no chance.

namespace citronpick::relay
{

namespace
{

//! What a way between zones is worth: a job gives way to one of the zone that is due this much
//! later.
constexpr model::Duration otherZonePenalty = model::milliseconds(300);
//! Longest wait for an upstream of the wanted zone: about half a batch.
constexpr model::Duration zoneWait = model::milliseconds(150);
//! Batches end this much around their expected time; one beyond it may take any time longer.
constexpr model::Duration batchTimeSpread = model::milliseconds(30);
//! Of a job's slack, the part that such a wait may use up in one stage.
constexpr double zoneWaitSlackShare = 0.33;
//! A job on time gives way to one of the next more urgent kind that is due this much later: about a
//! batch, so that under a crest the more urgent kind is served and without one both are.
constexpr model::Duration priorityStep = model::milliseconds(300);

} // namespace

void BatchScheduler::dispatch(const model::PoolId &id, Pool &pool, model::TimePoint now)
{
    const BatchRule *rule = ruleOf(id);
    if (pool.waiting.empty() || !rule) {
        pool.forecast = {};
        return;
    }
    dropLate(pool, *rule, now);
    forecast(id, pool, *rule, now);
    pool.waitsUntil = model::TimePoint::max();
    std::vector<Upstream *> free = freeUpstreams(id, *rule, now);
    while (!pool.waiting.empty() && !free.empty()) {
        order(pool, *rule, {}, now);
        Upstream &upstream = *pickUpstream(pool, free);
        order(pool, *rule, upstream.listing.zone, now);
        const ZoneTimes freeAt = zoneTimes(id, pool, free, now);
        std::vector<PieceRef> pieces = fill(pool, *rule, upstream, freeAt, now);
        const bool isIdle = pieces.empty();
        if (!isIdle) {
            start(id, pool, upstream, *rule, std::move(pieces), now);
        }
        if (isIdle || upstream.inFlight >= std::max(1U, rule->slots)) {
            std::erase(free, &upstream);
        }
    }
    if (!pool.waiting.empty() && !freeUpstreams(id, *rule, now).empty()) {
        pool.waitsUntil = now + zoneWait;
    }
}

void BatchScheduler::dropLate(Pool &pool, const BatchRule &rule, model::TimePoint now)
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

bool BatchScheduler::givesWay(const Job &job, const BatchRule &rule, model::TimePoint now)
{
    return job.isDemoted || isLate(job.content, rule, now);
}

// Jobs of which some pieces are made keep results that nobody can use yet: these end first. Then
// come jobs that can still meet their target, the earliest due before others. Those that have
// missed it are worth less: they take what room is left, the more urgent kind first and the nearest
// deadline among equals. Results that would expire before they are used count as a deadline.
void BatchScheduler::order(Pool &pool, const BatchRule &rule, const model::ZoneId &zone,
                           model::TimePoint now)
{
    struct Rank {
        bool holdsNothing = false;
        bool isLate = false;
        uint32_t priority = 0; //!< Of late jobs only.
        model::TimePoint at;
        JobId id;

        auto operator<=>(const Rank &) const = default;
    };
    std::vector<Rank> ranks;
    for (const JobId id : pool.waiting) {
        const Job &job = m_jobs.at(id);
        const bool isLate = givesWay(job, rule, now);
        const model::ZoneId &wanted = job.content.preferredZone;
        const bool isElsewhere = !zone.isEmpty() && !wanted.isEmpty() && wanted != zone;
        const model::TimePoint last = std::min(job.content.deadline, job.expiresAt());
        ranks.push_back(
            {.holdsNothing = job.done == 0,
             .isLate = isLate,
             .priority = isLate ? job.content.priority : 0,
             .at = (isLate ? last : job.content.due)
                   + (isElsewhere ? otherZonePenalty : model::Duration::zero())
                   + (isLate ? model::Duration::zero()
                             : priorityStep * static_cast<int64_t>(job.content.priority)),
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

// For the most urgent job, in its zone if there is one.
Upstream *BatchScheduler::pickUpstream(const Pool &pool, const std::vector<Upstream *> &free) const
{
    const model::ZoneId &zone = m_jobs.at(pool.waiting.front()).content.preferredZone;
    const auto rank = [&zone](const Upstream *upstream) {
        return std::tuple(upstream->consecutiveFailures, upstream->listing.zone != zone,
                          upstream->inFlight);
    };
    return *std::min_element(
        free.begin(), free.end(),
        [&rank](const Upstream *left, const Upstream *right) { return rank(left) < rank(right); });
}

BatchScheduler::ZoneTimes BatchScheduler::zoneTimes(const model::PoolId &id, const Pool &pool,
                                                    const std::vector<Upstream *> &free,
                                                    model::TimePoint now) const
{
    ZoneTimes times;
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
            = batch.startedAt + model::scaled(batch.expected, pool.slowness) + batchTimeSpread;
        if (batch.pool == id && upstream && !upstream->listing.isLeaving && end > now) {
            note(upstream->listing.zone, end);
        }
    }
    return times;
}

// Inputs that cross zones cost more than a short wait for an upstream of the zone, as long as the
// job still meets its target with most of its slack left to later stages.
bool BatchScheduler::isLeftToZone(const Job &job, const BatchRule &rule, const Upstream &upstream,
                                  const ZoneTimes &freeAt, model::TimePoint now)
{
    const model::ZoneId &wanted = job.content.preferredZone;
    const auto other = freeAt.find(wanted);
    if (wanted.isEmpty() || wanted == upstream.listing.zone || other == freeAt.end()) {
        return false;
    }
    const model::Duration slack = job.content.due - now - rule.callTime;
    return other->second - now <= std::min(zoneWait, model::scaled(slack, zoneWaitSlackShare));
}

// Pieces of one job stay together where they fit: a stage ends with its last piece.
std::vector<BatchScheduler::PieceRef> BatchScheduler::fill(Pool &pool, const BatchRule &rule,
                                                           const Upstream &upstream,
                                                           const ZoneTimes &freeAt,
                                                           model::TimePoint now)
{
    std::vector<PieceRef> batch;
    const size_t room = std::max(1U, rule.maxItems);
    const auto mayTake = [&](const Job &job) {
        return job.queued > 0 && !isLeftToZone(job, rule, upstream, freeAt, now);
    };
    for (const JobId id : pool.waiting) {
        Job &job = m_jobs.at(id);
        const size_t left = room - batch.size();
        const bool fits = batch.empty() || job.queued <= left;
        if (left > 0 && fits && mayTake(job)) {
            takePieces(job, id, left, batch);
        }
    }
    // Under saturation room is worth more than a job's pieces side by side: its rest goes with one
    // of the next batches.
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
