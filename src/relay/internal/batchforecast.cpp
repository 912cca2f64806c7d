#include <algorithm>
#include <cmath>
#include <utility>

#include "relay/batchscheduler.h"

// Compares a pool's queue with its throughput: decides which jobs can be on time, rejects jobs that
// cannot finish, and forecasts the queue wait.

namespace citronpick::relay
{

namespace
{

//! How often the forecast of a pool's queue is updated.
constexpr model::Duration forecastInterval = model::milliseconds(100);
//! A retry after less than about the time of a batch would find the queue unchanged.
constexpr model::Duration minRetryAfter = model::milliseconds(300);

//! Time constant for averaging the load of on-time jobs: several batches, but shorter than a load
//! peak.
constexpr model::Duration loadTimeConstant = model::seconds(2);
//! Minimum part of a pool's throughput for the jobs of each priority that have waited for longer
//! than loadTimeConstant.
constexpr double minPriorityShare = 0.05;
//! Keeps rates finite for pools whose configuration contains no times.
constexpr model::Duration minBatchTime = model::milliseconds(1);

model::Duration timeOf(double pieces, double secondsPerPiece)
{
    return model::scaled(model::seconds(1), pieces * secondsPerPiece);
}

model::Duration batchTime(const BatchRule &rule, size_t pieces, double slowdown)
{
    const model::Duration time = rule.callTime + rule.itemTime * static_cast<int64_t>(pieces);
    return std::max(minBatchTime, model::scaled(time, slowdown));
}

} // namespace

void BatchScheduler::updateForecast(const model::PoolId &id, Pool &pool, const BatchRule &rule,
                                    model::TimePoint now)
{
    if (now < pool.nextForecast) {
        return;
    }
    pool.nextForecast = now + forecastInterval;
    PoolRate rate = rateOf(id, pool, rule, now);
    updateLoad(pool, rate, now);
    deprioritizeJobs(pool, rule, rate, firstFreeAt(id, pool, rule, now), now);
    sortWaiting(pool, rule, {}, now);
    shedLateJobs(pool, rule, rate, now);
    forecastWaits(pool, rule, rate, now);
}

BatchScheduler::PoolRate BatchScheduler::rateOf(const model::PoolId &id, const Pool &pool,
                                                const BatchRule &rule, model::TimePoint now) const
{
    PoolRate rate {.fullBatchTime = batchTime(rule, rule.maxItems, pool.slowdown),
                   .maxItems = static_cast<double>(rule.maxItems)};
    const double each = pool.storedFraction
                        * static_cast<double>(rule.maxItems * std::max(1U, rule.slots))
                        / model::toSeconds(rate.fullBatchTime);
    double piecesPerSecond = 0.0;
    for (const Upstream *upstream : m_directory.inPool(id)) {
        const bool isOut
            = !UpstreamDirectory::isAvailable(*upstream, now) || now < upstream->avoidedUntil;
        piecesPerSecond += isOut ? 0.0 : each;
    }
    rate.secondsPerPiece = 1.0 / std::max(piecesPerSecond, each);
    return rate;
}

size_t BatchScheduler::priorityIndex(const Job &job)
{
    return std::min<size_t>(job.content.priority, QueueForecast::priorities - 1);
}

// Late jobs get the capacity that on-time jobs leave which are at least as urgent. The pieces of
// one full batch on every upstream may have arrived in a single burst, so only pieces beyond that
// number count as sustained load.
void BatchScheduler::updateLoad(Pool &pool, PoolRate &rate, model::TimePoint now)
{
    const double timeConstant = model::toSeconds(loadTimeConstant);
    const double decay = std::exp(-model::toSeconds(now - pool.forecastAt) / timeConstant);
    const double round = model::toSeconds(rate.fullBatchTime) / rate.secondsPerPiece;
    double onTime = 0.0;
    for (size_t i = 0; i < pool.recentPieces.size(); ++i) {
        pool.recentPieces[i]
            = decay * pool.recentPieces[i] + std::exchange(pool.startedPieces[i], 0.0);
        pool.recentOnTimePieces[i]
            = decay * pool.recentOnTimePieces[i] + std::exchange(pool.startedOnTimePieces[i], 0.0);
        onTime += pool.recentOnTimePieces[i];
        const double load = std::max(0.0, onTime - round) / timeConstant;
        const double left = 1.0 / rate.secondsPerPiece - load;
        rate.secondsPerLatePiece[i] = 1.0 / std::max(minPriorityShare / rate.secondsPerPiece, left);
    }
}

CallerStake BatchScheduler::stakeOf(const Job &job, const BatchRule &rule,
                                    model::TimePoint now) const
{
    const double pieces = job.queued;
    const double batches = pieces / static_cast<double>(std::max(1U, rule.maxItems));
    return {.priority = job.content.priority,
            .isLate = isQueuedAsLate(job, rule, now),
            .deadline = std::min(job.content.deadline, job.expiresAt()),
            .work = model::scaled(rule.itemTime, pieces) + model::scaled(rule.callTime, batches),
            .workSpent = job.content.workSpent};
}

// In a long overload, urgent jobs alone could use all of the capacity.
void BatchScheduler::promoteUnderserved(Pool &pool, model::TimePoint now)
{
    PiecesByPriority recent = pool.recentPieces;
    double all = 0.0;
    for (size_t i = 0; i < recent.size(); ++i) {
        recent[i] += pool.startedPieces[i];
        all += recent[i];
    }
    std::stable_partition(pool.waiting.begin(), pool.waiting.end(), [&](JobId id) {
        const Job &job = m_jobs.at(id);
        return now - job.submittedAt >= loadTimeConstant
               && recent[priorityIndex(job)] < minPriorityShare * all;
    });
}

model::TimePoint BatchScheduler::firstFreeAt(const model::PoolId &id, const Pool &pool,
                                             const BatchRule &rule, model::TimePoint now) const
{
    if (!freeUpstreams(id, rule, now).empty()) {
        return now;
    }
    model::TimePoint first = model::TimePoint::max();
    for (const auto &[number, batch] : m_batches) {
        if (batch.pool == id) {
            first = std::min(first, batch.startedAt + model::scaled(batch.expected, pool.slowdown));
        }
    }
    first = std::min(first, pool.nextReturn);
    return first == model::TimePoint::max() ? now : std::max(now, first);
}

// Chooses which jobs can be on time by the Moore-Hodgson algorithm, extended by priorities: jobs
// are planned in order of their due time, and whenever one would miss it, the job planned so far
// whose caller loses least is deprioritized: the least urgent, then usually the largest one. At
// equal priority this maximises the number of on-time jobs. With the order by due time alone, every
// job would finish at the last moment and a load peak would make all late.
void BatchScheduler::deprioritizeJobs(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                                      model::TimePoint firstFreeAt, model::TimePoint now)
{
    std::vector<std::pair<model::TimePoint, JobId>> byDue;
    for (const JobId id : pool.waiting) {
        m_jobs.at(id).isDeprioritized = false;
        byDue.emplace_back(m_jobs.at(id).content.due, id);
    }
    std::sort(byDue.begin(), byDue.end());
    const auto isDeprioritizedFirst = [&](JobId left, JobId right) {
        return givesWayBefore(stakeOf(m_jobs.at(right), rule, now),
                              stakeOf(m_jobs.at(left), rule, now));
    };
    std::vector<JobId> planned; // A heap with the job that is deprioritized next on top.
    double pieces = 0.0;
    for (const auto &[due, id] : byDue) {
        planned.push_back(id);
        std::push_heap(planned.begin(), planned.end(), isDeprioritizedFirst);
        pieces += m_jobs.at(id).queued;
        // Batches start one after the other as upstreams become free; the job's last batch then
        // takes the time of a full batch.
        const double before = std::max(0.0, pieces - rate.maxItems);
        if (firstFreeAt + timeOf(before, rate.secondsPerPiece) + rate.fullBatchTime <= due) {
            continue;
        }
        std::pop_heap(planned.begin(), planned.end(), isDeprioritizedFirst);
        Job &deprioritized = m_jobs.at(planned.back());
        deprioritized.isDeprioritized = true;
        pieces -= deprioritized.queued;
        planned.pop_back();
    }
}

// Fails a late job at once if its pool cannot process the work ahead of it before the job's
// deadline or the expiry of its inputs. The caller is told to retry when the queue is shorter
// instead of waiting in vain.
void BatchScheduler::shedLateJobs(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                                  model::TimePoint now)
{
    const model::Duration pause = std::max(model::Duration::zero(), pool.availableFrom - now);
    model::Duration queueWait {};
    std::array<model::Duration, QueueForecast::priorities> shareWaits {};
    std::vector<std::pair<JobId, model::Duration>> unreachable;
    for (const JobId job : pool.waiting) {
        const Job &entry = m_jobs.at(job);
        const size_t priority = priorityIndex(entry);
        const model::Duration wait = pause + std::min(queueWait, shareWaits[priority]);
        const bool isLate = isQueuedAsLate(entry, rule, now);
        const bool isInTime
            = now + wait + rule.callTime < entry.content.deadline && now + wait < entry.expiresAt();
        if (isLate && !isInTime) {
            unreachable.emplace_back(job, wait);
            continue;
        }
        queueWait += timeOf(entry.queued,
                            isLate ? rate.secondsPerLatePiece[priority] : rate.secondsPerPiece);
        shareWaits[priority] += timeOf(entry.queued, rate.secondsPerPiece / minPriorityShare);
    }
    for (const auto &[job, wait] : unreachable) {
        finish(job, {.failure = JobFailure::Late, .retryAfter = std::max(wait, minRetryAfter)},
               now);
    }
}

// Follows the order of sortWaiting(): a job waits for all that are at least as urgent and on time,
// then for late ones; late jobs that are more urgent are ahead of all. Its own priority gets its
// minimum share whatever is ahead.
void BatchScheduler::forecastWaits(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                                   model::TimePoint now)
{
    PiecesByPriority onTime {};
    PiecesByPriority late {};
    for (const JobId id : pool.waiting) {
        const Job &job = m_jobs.at(id);
        (isQueuedAsLate(job, rule, now) ? late : onTime)[priorityIndex(job)] += job.queued;
    }
    double onTimeUpTo = 0.0;
    model::Duration lateBefore {};
    for (size_t i = 0; i < onTime.size(); ++i) {
        onTimeUpTo += onTime[i];
        const model::Duration onTimeWait = timeOf(onTimeUpTo, rate.secondsPerPiece);
        const model::Duration lateWait = lateBefore + timeOf(late[i], rate.secondsPerLatePiece[i]);
        const model::Duration shareWait
            = loadTimeConstant
              + timeOf(onTime[i] + late[i], rate.secondsPerPiece / minPriorityShare);
        pool.forecast.waits[i] = {.onTime = onTimeWait + lateBefore,
                                  .late = std::min(onTimeWait + lateWait, shareWait)};
        lateBefore = lateWait;
    }
    pool.forecastAt = now;
}

// Without new jobs, the wait decreases by the time that has passed since the forecast.
QueueForecast BatchScheduler::forecastOf(const model::PoolId &id, model::TimePoint now) const
{
    const auto it = m_pools.find(id);
    if (it == m_pools.end()) {
        return {};
    }
    return it->second.forecast.after(now - it->second.forecastAt);
}

} // namespace citronpick::relay
