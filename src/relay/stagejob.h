#ifndef CITRONPICK_RELAY_STAGEJOB_H
#define CITRONPICK_RELAY_STAGEJOB_H

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "model/ids.h"
#include "model/time.h"
#include "relay/stageplan.h"

namespace citronpick::relay
{

//! Identifies one stage of one request that was submitted to a scheduler.
using JobId = model::Number<struct JobTag>;
//! Identifies one call of a batch to an upstream.
using BatchId = model::Number<struct BatchTag>;

//! Exceeds the piece count of every deployed stage; bounds the memory that one request can claim.
inline constexpr uint32_t maxPiecesPerStage = 4096;

//! Expected time that a job that arrives now waits until its pool starts it.
struct QueueWait {
    model::Duration onTime {}; //!< For a job that can still meet its target.
    model::Duration late {}; //!< For a job that can no longer meet its target.

    friend bool operator==(const QueueWait &, const QueueWait &) = default;
};

//! Expected waits in a pool's queue by priority, the most urgent first.
struct QueueForecast {
    //! Number of entries; all priorities beyond the last entry share it.
    static constexpr size_t priorities = 4;

    std::array<QueueWait, priorities> waits {};

    const QueueWait &at(uint32_t priority) const
    {
        return waits[std::min<size_t>(priority, priorities - 1)];
    }
    //! The forecast for \a time later if no further job joins the queue.
    QueueForecast after(model::Duration time) const
    {
        QueueForecast remaining;
        for (size_t i = 0; i < waits.size(); ++i) {
            remaining.waits[i]
                = {.onTime = std::max(model::Duration::zero(), waits[i].onTime - time),
                   .late = std::max(model::Duration::zero(), waits[i].late - time)};
        }
        return remaining;
    }

    friend bool operator==(const QueueForecast &, const QueueForecast &) = default;
};

//! All pieces of one stage of one request.
struct StageJob {
    model::PoolId pool;
    model::CallerRequestId request;
    uint32_t stage = 0;
    uint32_t pieceCount = 1;
    std::string key; //!< Identifies the data that a stage without inputs processes.
    std::vector<ResultHandle> inputs;
    uint32_t priority = 0;
    model::Duration workSpent {}; //!< Upstream time of the request's earlier stages.
    model::TimePoint due; //!< Latest end with which the request still meets its latency target.
    model::TimePoint deadline; //!< The results are useless after this time.
    model::ZoneId preferredZone; //!< Where the job should run; empty for any zone.
    model::TimePoint inputsExpireAt = model::TimePoint::max(); //!< Earliest expiry of an input.
    bool releasesInputs = false; //!< The inputs may be released as soon as they were fetched.
    //! Was passed on or sent again: the daemon that receives it does not pass it on.
    bool isRelayed = false;
    bool isInquiry = false; //!< Has no pieces and only requests the pool's forecast.

    friend bool operator==(const StageJob &, const StageJob &) = default;
};

//! Why a job produced no results.
enum class JobFailure {
    None,
    Late, //!< The job cannot finish before its deadline.
    InputsGone, //!< An input has expired, was lost or was already released.
    NoUpstream,
    Failed, //!< A piece failed on every allowed attempt.
    Unavailable, //!< No upstream of the pool takes work before the job's deadline.
};

std::string_view toString(JobFailure failure);

struct JobResult {
    JobFailure failure = JobFailure::None;
    std::vector<ResultHandle> handles; //!< One per piece, in order.
    model::ZoneId zone; //!< Where most of the results were produced.
    model::Duration retryAfter {}; //!< For a failed job: when a retry may succeed.
    model::Duration duration {}; //!< From submission to the scheduler to completion.
    bool wasLate = false; //!< The job was queued as late because it could not meet its target.
    bool areInputsReleased = false; //!< The inputs were released as soon as they were fetched.
    QueueForecast forecast; //!< Forecast for the job's pool when the job ended.

    friend bool operator==(const JobResult &, const JobResult &) = default;
};

//! A piece in a batch.
struct BatchItem {
    model::CallerRequestId request;
    uint32_t stage = 0;
    uint32_t piece = 0;
    std::string key;
    std::vector<ResultHandle> inputs;
    model::Duration timeLeft {};

    friend bool operator==(const BatchItem &, const BatchItem &) = default;
};

//! Why a piece of a batch produced no result.
enum class ItemFailure {
    None,
    Late,
    InputsGone,
    NoStorage, //!< The upstream had no storage left for the result.
    Error,
};

struct ItemOutcome {
    ItemFailure failure = ItemFailure::Error;
    ResultHandle handle;

    friend bool operator==(const ItemOutcome &, const ItemOutcome &) = default;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STAGEJOB_H
