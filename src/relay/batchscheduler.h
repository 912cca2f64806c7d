#ifndef CITRONPICK_RELAY_BATCHSCHEDULER_H
#define CITRONPICK_RELAY_BATCHSCHEDULER_H

#include <algorithm>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "relay/relayconfiguration.h"
#include "relay/stagejob.h"
#include "relay/upstreamdirectory.h"

namespace citronpick::relay
{

//! Send a batch to an upstream; answer with one of the scheduler's onBatch functions.
struct RunBatch {
    BatchId batch;
    model::UpstreamId upstream;
    config::Endpoint address;
    model::PoolId pool;
    std::vector<BatchItem> items;
};

//! Nobody waits for a batch any more.
struct CancelBatch {
    BatchId batch;
};

using BatchCommand = std::variant<RunBatch, CancelBatch>;

struct FinishedJob {
    JobId job;
    JobResult result;
};

/*!
 * Fills batches with pieces of many requests.
 *
 * One scheduler serves all upstreams of a pool, so that a batch starts as soon as any upstream is
 * free and takes whatever is most urgent at that moment.
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
    //! The job's caller is gone; a batch under way goes on.
    void cancel(JobId job);

    void onAnswered(BatchId batch, const std::vector<ItemOutcome> &outcomes, model::TimePoint now);
    //! The upstream has not begun the batch and never will.
    void onRefused(BatchId batch, model::TimePoint now);
    void onBroken(BatchId batch, model::TimePoint now);

    //! Starts what can be started and gives up what is late.
    void run(model::TimePoint now);
    //! When run() has something to do without another event.
    std::optional<model::TimePoint> nextRun() const;

    std::vector<BatchCommand> takeCommands();
    std::vector<FinishedJob> takeFinished();
    //! Results of jobs that were cancelled or failed: nobody will take them.
    std::vector<ResultHandle> takeAbandoned();

    size_t queuedPieces(const model::PoolId &pool) const;
    //! How long a job that arrives now waits; zero for a pool that is not scheduled here.
    QueueForecast forecastOf(const model::PoolId &pool, model::TimePoint now) const;
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
        uint32_t tries = 0;
        bool hasFetched = false; //!< Its upstream has fetched the inputs.
        ResultHandle handle;
        model::ZoneId zone; //!< Of its maker.
    };
    struct Job {
        StageJob content;
        model::TimePoint submittedAt;
        std::vector<Piece> pieces;
        uint32_t queued = 0;
        uint32_t done = 0;
        bool areInputsReleased = false;
        bool isDemoted = false; //!< The pool cannot do it in time beside what it prefers.
        model::TimePoint resultsUntil = model::TimePoint::max(); //!< Of pieces that are done.

        //! When what it takes or has made begins to expire.
        model::TimePoint expiresAt() const
        {
            return std::min(content.inputsUntil, resultsUntil);
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
        model::TimePoint fetchedAt; //!< When its upstream has fetched all inputs.
        bool hasFetched = false;
    };
    //! When the first upstream of a zone is expected to be free; now for one that is.
    using ZoneTimes = std::map<model::ZoneId, model::TimePoint>;
    struct Pool {
        std::vector<JobId> waiting; //!< Jobs with queued pieces.
        model::TimePoint waitsUntil = model::TimePoint::max(); //!< For upstreams of other zones.
        model::TimePoint nextForecast;
        QueueForecast forecast; //!< As of the last one.
        model::TimePoint forecastAt;
        double startedOnTime = 0.0; //!< Pieces of jobs on time, since the last forecast.
        double recentOnTime = 0.0; //!< The same over a longer time, older ones fading.
        double onTimePerSecond = 0.0; //!< Load that goes on; what came in one go left out.
        double yield = 1.0; //!< Part of the pieces that find room for their results; smoothed.
        double slowness = 1.0; //!< Time of batches over what the configuration says; smoothed.
    };
    //! What a pool can do.
    struct PoolRate {
        model::Duration fullBatch {};
        double maxItems = 0.0; //!< Pieces in it.
        double secondsPerPiece = 0.0; //!< With all batches full.
        double secondsPerLatePiece = 0.0; //!< Beside the jobs on time that keep arriving.
    };

    void dispatch(const model::PoolId &id, Pool &pool, model::TimePoint now);
    void dropLate(Pool &pool, const BatchRule &rule, model::TimePoint now);
    size_t queuedPieces(const Pool &pool) const;
    void forecast(const model::PoolId &id, Pool &pool, const BatchRule &rule, model::TimePoint now);
    PoolRate rateOf(const model::PoolId &id, const Pool &pool, const BatchRule &rule,
                    model::TimePoint now) const;
    static void learnOnTimeLoad(Pool &pool, const PoolRate &rate, model::TimePoint now);
    model::TimePoint firstFree(const model::PoolId &id, const Pool &pool, const BatchRule &rule,
                               model::TimePoint now) const;
    void demote(Pool &pool, const PoolRate &rate, model::TimePoint firstFree);
    void dropHopeless(Pool &pool, const BatchRule &rule, const PoolRate &rate,
                      model::TimePoint now);
    void noteWaits(Pool &pool, const BatchRule &rule, const PoolRate &rate, model::TimePoint now);
    void order(Pool &pool, const BatchRule &rule, const model::ZoneId &zone, model::TimePoint now);
    std::vector<Upstream *> freeUpstreams(const model::PoolId &id, const BatchRule &rule,
                                          model::TimePoint now) const;
    Upstream *pickUpstream(const Pool &pool, const std::vector<Upstream *> &free) const;
    std::vector<PieceRef> fill(Pool &pool, const BatchRule &rule, const Upstream &upstream,
                               const ZoneTimes &freeAt, model::TimePoint now);
    ZoneTimes zoneTimes(const model::PoolId &id, const Pool &pool,
                        const std::vector<Upstream *> &free, model::TimePoint now) const;
    static bool isLeftToZone(const Job &job, const BatchRule &rule, const Upstream &upstream,
                             const ZoneTimes &freeAt, model::TimePoint now);
    void takePieces(Job &job, JobId id, size_t count, std::vector<PieceRef> &batch);
    void noteRoom(const Batch &batch, const std::vector<ItemOutcome> &outcomes,
                  model::TimePoint now);
    void start(const model::PoolId &id, Pool &pool, Upstream &upstream, const BatchRule &rule,
               std::vector<PieceRef> pieces, model::TimePoint now);
    std::optional<Batch> take(BatchId id);
    void requeue(const PieceRef &piece, bool countsAsTry, model::TimePoint now);
    void settle(const PieceRef &piece, const ItemOutcome &outcome, const model::ZoneId &zone,
                model::TimePoint now);
    static model::ZoneId zoneOf(const Job &job);
    void finish(JobId job, JobResult result, model::TimePoint now);
    static bool isLate(const StageJob &job, const BatchRule &rule, model::TimePoint now);
    static bool givesWay(const Job &job, const BatchRule &rule, model::TimePoint now);
    void expire(model::TimePoint now);
    void releaseFetched(model::TimePoint now);
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
    std::vector<ResultHandle> m_abandoned;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_BATCHSCHEDULER_H
