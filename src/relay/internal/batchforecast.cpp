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
//! Minimum part of a pool's throughput that late jobs are assumed to get, even if on-time jobs use
//! all of it.
constexpr double minLateShare = 0.05;
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
    updateOnTimeLoad(pool, rate, now);
    rate.secondsPerLatePiece = 1.0
                               / std::max(minLateShare / rate.secondsPerPiece,
                                          1.0 / rate.secondsPerPiece - pool.onTimePiecesPerSecond);
    deprioritizeJobs(pool, rate, firstFreeAt(id, pool, rule, now));
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

// The pieces of one full batch on every upstream may have arrived in a single burst, so only pieces
// beyond that number count as sustained load.
void BatchScheduler::updateOnTimeLoad(Pool &pool, const PoolRate &rate, model::TimePoint now)
{
    const double timeConstant = model::toSeconds(loadTimeConstant);
    const double decay = std::exp(-model::toSeconds(now - pool.forecastAt) / timeConstant);
    pool.recentOnTimePieces
        = decay * pool.recentOnTimePieces + std::exchange(pool.startedOnTimePieces, 0.0);
    const double round = model::toSeconds(rate.fullBatchTime) / rate.secondsPerPiece;
    pool.onTimePiecesPerSecond = std::max(0.0, pool.recentOnTimePieces - round) / timeConstant;
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
// are planned in order of their due time, and whenever one would miss it, the least urgent and then
// the largest job planned so far is deprioritized. At equal priority this maximises the number of
// on-time jobs. With the order by due time alone, every job would finish at the last moment and a
// load peak would make all late.
void BatchScheduler::deprioritizeJobs(Pool &pool, const PoolRate &rate,
                                      model::TimePoint firstFreeAt)
{
    std::vector<std::pair<model::TimePoint, JobId>> byDue;
    for (const JobId id : pool.waiting) {
        m_jobs.at(id).isDeprioritized = false;
        byDue.emplace_back(m_jobs.at(id).content.due, id);
    }
    std::sort(byDue.begin(), byDue.end());
    const auto isDeprioritizedFirst = [this](JobId left, JobId right) {
        const Job &a = m_jobs.at(left);
        const Job &b = m_jobs.at(right);
        return std::pair(a.content.priority, a.queued) < std::pair(b.content.priority, b.queued);
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
    model::Duration wait = std::max(model::Duration::zero(), pool.availableFrom - now);
    std::vector<std::pair<JobId, model::Duration>> unreachable;
    for (const JobId job : pool.waiting) {
        const Job &entry = m_jobs.at(job);
        const bool isLate = isQueuedAsLate(entry, rule, now);
        const bool isInTime
            = now + wait + rule.callTime < entry.content.deadline && now + wait < entry.expiresAt();
        if (isLate && !isInTime) {
            unreachable.emplace_back(job, wait);
            continue;
        }
        wait += timeOf(entry.queued, isLate ? rate.secondsPerLatePiece : rate.secondsPerPiece);
    }
    for (const auto &[job, wait] : unreachable) {
        finish(job, {.failure = JobFailure::Late, .retryAfter = std::max(wait, minRetryAfter)},
               now);
    }
}

void BatchScheduler::forecastWaits(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                                   model::TimePoint now)
{
    std::array<double, QueueForecast::priorities> onTime {};
    std::array<double, QueueForecast::priorities> late {};
    for (const JobId id : pool.waiting) {
        const Job &job = m_jobs.at(id);
        auto &ahead = isQueuedAsLate(job, rule, now) ? late : onTime;
        ahead[std::min<size_t>(job.content.priority, ahead.size() - 1)] += job.queued;
    }
    double allOnTime = 0.0;
    double moreUrgent = 0.0;
    double lateUpTo = 0.0;
    for (const double pieces : onTime) {
        allOnTime += pieces;
    }
    for (size_t i = 0; i < onTime.size(); ++i) {
        moreUrgent += onTime[i];
        lateUpTo += late[i];
        pool.forecast.waits[i] = {.onTime = timeOf(moreUrgent, rate.secondsPerPiece),
                                  .late = timeOf(allOnTime, rate.secondsPerPiece)
                                          + timeOf(lateUpTo, rate.secondsPerLatePiece)};
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
