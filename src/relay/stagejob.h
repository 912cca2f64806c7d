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

//! One stage of one request, given to a scheduler.
using JobId = model::Number<struct JobTag>;
//! One call to an upstream of a stage.
using BatchId = model::Number<struct BatchTag>;

//! How long a job that arrives now waits for its pool to begin it.
struct QueueWait {
    model::Duration onTime {}; //!< While it can still meet its target.
    model::Duration late {}; //!< Once it cannot.

    friend bool operator==(const QueueWait &, const QueueWait &) = default;
};

//! The queue of a pool as each priority sees it, the most urgent first.
struct QueueForecast {
    //! Less urgent priorities than this are alike.
    static constexpr size_t priorities = 4;

    std::array<QueueWait, priorities> waits {};

    const QueueWait &at(uint32_t priority) const
    {
        return waits[std::min<size_t>(priority, priorities - 1)];
    }
    //! What is left of it some time later, if nobody joins the queue.
    QueueForecast after(model::Duration time) const
    {
        QueueForecast rest;
        for (size_t i = 0; i < waits.size(); ++i) {
            rest.waits[i] = {.onTime = std::max(model::Duration::zero(), waits[i].onTime - time),
                             .late = std::max(model::Duration::zero(), waits[i].late - time)};
        }
        return rest;
    }

    friend bool operator==(const QueueForecast &, const QueueForecast &) = default;
};

//! All pieces of one stage of one request.
struct StageJob {
    model::PoolId pool;
    model::CallerRequestId request;
    uint32_t stage = 0;
    uint32_t pieceCount = 1;
    std::string key; //!< What a stage without inputs works on.
    std::vector<ResultHandle> inputs;
    uint32_t priority = 0;
    model::TimePoint due; //!< When it should be finished for its request to meet its target.
    model::TimePoint deadline; //!< After this its results are of no use.
    model::ZoneId preferredZone; //!< Where its results are wanted; empty for anywhere.
    model::TimePoint inputsUntil = model::TimePoint::max(); //!< When the first input expires.
    bool releasesInputs = false; //!< Its inputs may be given back once fetched.
    bool isInquiry = false; //!< Without pieces: asks only for the pool's forecast.

    friend bool operator==(const StageJob &, const StageJob &) = default;
};

//! Why a job made nothing.
enum class JobFailure {
    None,
    Late, //!< It cannot be finished before its deadline.
    InputsGone, //!< A result that it takes does not exist any more.
    NoUpstream,
    Failed, //!< Upstreams failed it again and again.
};

std::string_view toString(JobFailure failure);

struct JobResult {
    JobFailure failure = JobFailure::None;
    std::vector<ResultHandle> handles; //!< One a piece, in order.
    model::ZoneId zone; //!< Where most of them were made.
    model::Duration retryAfter {}; //!< For a job that failed: when there is room again.
    model::Duration took {}; //!< From its arrival at the scheduler to its end.
    bool wasLate
        = false; //!< Its target was out of reach when it arrived, so it gave way to others.
    bool areInputsReleased = false; //!< Given back as soon as they were fetched.
    QueueForecast forecast; //!< Of its pool, at its end.

    friend bool operator==(const JobResult &, const JobResult &) = default;
};

//! One piece in a batch.
struct BatchItem {
    model::CallerRequestId request;
    uint32_t stage = 0;
    uint32_t piece = 0;
    std::string key;
    std::vector<ResultHandle> inputs;
    model::Duration timeLeft {};

    friend bool operator==(const BatchItem &, const BatchItem &) = default;
};

//! Why a piece of a batch has no result.
enum class ItemFailure {
    None,
    Late,
    InputsGone,
    NoRoom,
    Error,
};

struct ItemOutcome {
    ItemFailure failure = ItemFailure::Error;
    ResultHandle handle;

    friend bool operator==(const ItemOutcome &, const ItemOutcome &) = default;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STAGEJOB_H
