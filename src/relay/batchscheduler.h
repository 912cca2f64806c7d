#ifndef CITRONPICK_RELAY_BATCHSCHEDULER_H
#define CITRONPICK_RELAY_BATCHSCHEDULER_H

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "relay/callerloss.h"
#include "relay/relayconfiguration.h"
#include "relay/stagejob.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! Send a batch to an upstream. The outcome is reported through RelaySystem::onBatchAnswered(),
//! onBatchRefused() or onBatchBroken().
struct RunBatch {
    BatchId batch;
    model::UpstreamId upstream;
    uint64_t incarnation = 0; //!< Of the upstream, according to the registry.
    config::Endpoint address;
    model::PoolId pool;
    std::vector<BatchItem> items;
};

//! Cancel the call of a batch whose answer is no longer needed.
struct CancelBatch {
    BatchId batch;
};

using BatchCommand = std::variant<RunBatch, CancelBatch>;

//! Totals since the start of the daemon.
struct BatchCounters {
    uint64_t piecesWithoutStorage = 0; //!< Pieces whose results an upstream could not store.
    uint64_t unusedResults = 0; //!< Results that were discarded before their job was done.
};

struct FinishedJob {
    JobId job;
    JobResult result;
};

/*!
 * Groups pieces of many requests into batches.
 *
 * One scheduler serves all upstreams of a pool, so that a batch starts as soon as any upstream is
 * free and contains the pieces that are most urgent at that moment.
 */
class BatchScheduler
{
public:
    explicit BatchScheduler(UpstreamDirectory &directory)
        : m_directory(directory)
    {
    }

    void setConfiguration(RelayConfigurationPtr configuration);

    JobId submit(StageJob job, model::TimePoint now);
    //! Removes a job that is no longer needed; batches that contain its pieces continue to run.
    void cancel(JobId job);

    void onAnswered(BatchId batch, const std::vector<ItemOutcome> &outcomes, model::TimePoint now);
    //! The upstream has not started the batch and will not start it.
    void onRefused(BatchId batch, model::TimePoint now);
    //! The upstream gave no valid answer and may have run the batch.
    void onBroken(BatchId batch, model::TimePoint now);

    //! Starts batches on free upstreams, cancels overdue batches and fails jobs that cannot finish
    //! by their deadline.
    void run(model::TimePoint now);
    //! The earliest time at which run() has work to do if no other event occurs.
    std::optional<model::TimePoint> nextRun() const;

    std::vector<BatchCommand> takeCommands();
    std::vector<FinishedJob> takeFinished();
    //! Results of cancelled or failed jobs, and job inputs that all pieces have fetched.
    std::vector<ResultHandle> takeResultsToRelease();

    //! The content of a job that has not ended; null for another one.
    const StageJob *find(JobId job) const;
    //! Jobs all of whose pieces are queued, in the order of their arrival.
    std::vector<JobId> jobsNotBegun() const;
    size_t queuedPieces(const model::PoolId &pool) const;
    //! Expected queue wait of a job that arrives now; zero for a pool that is not scheduled here.
    QueueForecast forecastOf(const model::PoolId &pool, model::TimePoint now) const;
    const BatchCounters &counters() const
    {
        return m_counters;
    }
    size_t jobCount() const
    {
        return m_jobs.size();
    }

private:
    enum class PieceState {
        Queued,
        Running,
        Done,
    };
    struct Piece {
        PieceState state = PieceState::Queued;
        uint32_t attempts = 0;
        bool areInputsFetched = false; //!< The upstream that runs the piece has fetched its inputs.
        ResultHandle handle;
        model::ZoneId zone; //!< Zone of the upstream that produced the result.
    };
    struct Job {
        StageJob content;
        model::TimePoint submittedAt;
        std::vector<Piece> pieces;
        uint32_t queued = 0;
        uint32_t done = 0;
        bool areInputsReleased = false;
        bool isDeprioritized
            = false; //!< Cannot be on time because preferred jobs use the capacity.
        //! Earliest expiry of the results of completed pieces.
        model::TimePoint resultsExpireAt = model::TimePoint::max();

        //! Earliest expiry of the job's inputs and of its results so far.
        model::TimePoint expiresAt() const
        {
            return std::min(content.inputsExpireAt, resultsExpireAt);
        }
    };
    struct PieceRef {
        JobId job;
        uint32_t piece = 0;
    };
    struct Batch {
        model::PoolId pool;
        model::UpstreamId upstream;
        std::vector<PieceRef> pieces;
        model::TimePoint startedAt;
        model::Duration expected {};
        model::TimePoint overdueAt;
        //! When the upstream is expected to have fetched all inputs.
        model::TimePoint inputsFetchedAt;
        bool areInputsFetched = false;
    };
    //! Expected time at which the first upstream of each zone becomes free; the current time for a
    //! zone that has a free upstream.
    using ZoneFreeTimes = std::map<model::ZoneId, model::TimePoint>;
    using PiecesByPriority = std::array<double, QueueForecast::priorities>;
    struct Pool {
        std::vector<JobId> waiting; //!< Jobs with queued pieces.
        //! End of the wait of queued jobs for an upstream in their preferred zone.
        model::TimePoint zoneWaitUntil = model::TimePoint::max();
        //! When an upstream takes work again if all of them rest.
        model::TimePoint availableFrom;
        model::TimePoint nextReturn = model::TimePoint::max(); //!< When a rest ends next.
        model::TimePoint nextForecast;
        QueueForecast forecast; //!< Calculated at forecastAt.
        model::TimePoint forecastAt;
        //! Pieces started since the last forecast, by priority.
        PiecesByPriority startedPieces {};
        PiecesByPriority startedOnTimePieces {}; //!< The part of them that was on time.
        PiecesByPriority recentPieces {}; //!< Exponentially decaying sum of startedPieces.
        PiecesByPriority recentOnTimePieces {}; //!< The same of startedOnTimePieces.
        //! Moving average of the fraction of pieces whose results the upstream could store.
        double storedFraction = 1.0;
        //! Moving average of the actual batch time divided by the configured one.
        double slowdown = 1.0;
    };
    //! Throughput of a pool.
    struct PoolRate {
        model::Duration fullBatchTime {};
        double maxItems = 0.0; //!< Pieces in a full batch.
        double secondsPerPiece = 0.0; //!< With full batches on all upstreams.
        //! With the capacity that on-time jobs which are at least as urgent leave, by priority.
        PiecesByPriority secondsPerLatePiece {};
    };

    void dispatch(const model::PoolId &id, Pool &pool, model::TimePoint now);
    //! The result of a job that no upstream of its pool will run in time; nullopt for another job.
    std::optional<JobResult> unavailability(const StageJob &job, model::TimePoint availableFrom,
                                            model::TimePoint now) const;
    void failUnavailableJobs(const model::PoolId &id, Pool &pool, model::TimePoint now);
    void failExpiredJobs(Pool &pool, const BatchRule &rule, model::TimePoint now);
    size_t queuedPieces(const Pool &pool) const;
    void updateForecast(const model::PoolId &id, Pool &pool, const BatchRule &rule,
                        model::TimePoint now);
    PoolRate rateOf(const model::PoolId &id, const Pool &pool, const BatchRule &rule,
                    model::TimePoint now) const;
    static size_t priorityIndex(const Job &job);
    //! Updates the sustained load and the rates that it leaves for late jobs.
    static void updateLoad(Pool &pool, PoolRate &rate, model::TimePoint now);
    CallerStake stakeOf(const Job &job, const BatchRule &rule, model::TimePoint now) const;
    //! Moves jobs that have waited long to the front if their priority got too small a share.
    void promoteUnderserved(Pool &pool, model::TimePoint now);
    model::TimePoint firstFreeAt(const model::PoolId &id, const Pool &pool, const BatchRule &rule,
                                 model::TimePoint now) const;
    void deprioritizeJobs(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                          model::TimePoint firstFreeAt, model::TimePoint now);
    void shedLateJobs(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                      model::TimePoint now);
    void forecastWaits(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                       model::TimePoint now);
    void sortWaiting(Pool &pool, const BatchRule &rule, const model::ZoneId &zone,
                     model::TimePoint now);
    std::vector<Upstream *> freeUpstreams(const model::PoolId &id, const BatchRule &rule,
                                          model::TimePoint now) const;
    Upstream *chooseUpstream(const Pool &pool, const std::vector<Upstream *> &free) const;
    std::vector<PieceRef> fillBatch(Pool &pool, const BatchRule &rule, const Upstream &upstream,
                                    const ZoneFreeTimes &freeAt, model::TimePoint now);
    ZoneFreeTimes zoneFreeTimes(const model::PoolId &id, const Pool &pool,
                                const std::vector<Upstream *> &free, model::TimePoint now) const;
    static bool isHeldForZone(const Job &job, const BatchRule &rule, const Upstream &upstream,
                              const ZoneFreeTimes &freeAt, model::TimePoint now);
    void takePieces(Job &job, JobId id, size_t count, std::vector<PieceRef> &batch);
    void noteStoredResults(const Batch &batch, const std::vector<ItemOutcome> &outcomes,
                           model::TimePoint now);
    void startBatch(const model::PoolId &id, Pool &pool, Upstream &upstream, const BatchRule &rule,
                    std::vector<PieceRef> pieces, model::TimePoint now);
    std::optional<Batch> takeBatch(BatchId id);
    void requeue(const PieceRef &piece, bool countsAsAttempt, model::TimePoint now);
    void completePiece(const PieceRef &piece, const ItemOutcome &outcome, const model::ZoneId &zone,
                       model::TimePoint now);
    static model::ZoneId mainZoneOf(const Job &job);
    void finish(JobId job, JobResult result, model::TimePoint now);
    static bool isLate(const StageJob &job, const BatchRule &rule, model::TimePoint now);
    static bool isQueuedAsLate(const Job &job, const BatchRule &rule, model::TimePoint now);
    void cancelOverdue(model::TimePoint now);
    void releaseFetchedInputs(model::TimePoint now);
    void releaseInputs(JobId job);
    const BatchRule *ruleOf(const model::PoolId &pool) const;

    UpstreamDirectory &m_directory;
    RelayConfigurationPtr m_configuration;
    std::map<model::PoolId, Pool> m_pools;
    absl::flat_hash_map<JobId, Job> m_jobs;
    std::map<BatchId, Batch> m_batches;
    uint64_t m_lastJob = 0;
    uint64_t m_lastBatch = 0;
    std::vector<BatchCommand> m_commands;
    std::vector<FinishedJob> m_finished;
    std::vector<ResultHandle> m_resultsToRelease;
    BatchCounters m_counters;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_BATCHSCHEDULER_H
