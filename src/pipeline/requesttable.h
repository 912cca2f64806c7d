#ifndef CITRONPICK_PIPELINE_REQUESTTABLE_H
#define CITRONPICK_PIPELINE_REQUESTTABLE_H

#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "admission/stagequeue.h"
#include "config/configuration.h"
#include "model/body.h"
#include "model/ids.h"
#include "model/row.h"
#include "model/time.h"

namespace citronpick::pipeline
{

enum class StagePhase {
    Queued, //!< The stage waits in the queue of its pool.
    BackingOff, //!< The stage waits for its backoff before a retry.
    Running, //!< At least one attempt is in progress.
};

//! One dispatch of a stage to an upstream.
struct Attempt {
    model::AttemptId id;
    model::RequestId request;
    model::UpstreamRow upstream;
    size_t stage = 0;
    model::TimePoint startedAt;
    //! Expected time for the whole answer at the speed configured for the pool.
    model::Duration expectedDuration {};
    model::Duration blockedTime {}; //!< Time in which nothing was read because of the caller.
    uint64_t healthEpoch = 0;
    bool isOverdueDeferred = false; //!< Its time ran out while the caller was blocked.
    bool isHedge = false;
    bool isTest = false; //!< Sent to test an upstream that is returning or suspected.
    bool isCrashSuspect = false; //!< The request had crash reports when the attempt started.
    bool isLong = false;
    bool startedAtLowLoad = false; //!< The upstream had few requests of this daemon in flight.
    uint32_t tokens = 0;
};

//! State of one request from its arrival to its answer.
struct Request {
    model::RequestId id;
    model::CallerRequestId callerId;
    model::AccountId account;
    config::ConfigurationPtr configuration; //!< Configuration that was in force at arrival.
    const config::RouteConfig *route = nullptr;
    double weight = 1.0;
    uint32_t priorityRank = 0;
    model::TimePoint arrivedAt;
    model::TimePoint deadline;
    uint32_t expectedTokens = 0;
    bool wantsStream = false;
    std::string operationKey;
    model::Fingerprint fingerprint;
    uint64_t prefix = 0;

    size_t stage = 0;
    StagePhase phase = StagePhase::Queued;
    model::PoolRow pool; //!< Pool of the current stage.
    model::BodyPtr input; //!< Input of the current stage.
    admission::QueueTicket ticket; //!< Valid while the request is queued.
    model::Duration cost {}; //!< Expected upstream time of the current stage.
    bool isLong = false;
    std::vector<model::AttemptId> attempts; //!< Attempts in progress.
    std::vector<model::UpstreamRow> triedUpstreams; //!< Upstreams tried for the current stage.
    uint32_t attemptCount = 0; //!< Attempts of the current stage.
    uint32_t nextToken = 0; //!< Index of the next token expected in the current stage.
    std::string collectedText; //!< Received tokens of a stage that is not streamed to the caller.

    uint32_t sentAttempts = 0; //!< Attempts of all stages, except those that failed to connect.
    uint32_t nonIdempotentSent = 0; //!< Sent attempts of stages that may run only once.
    bool hasPendingNonIdempotent = false; //!< A sent non-idempotent attempt has no answer yet.
    bool hasCallerDisconnected = false;
    //! Since when reading from upstreams is paused because the caller reads too slowly.
    std::optional<model::TimePoint> blockedSince;

    const config::StageConfig &stageConfig() const
    {
        return route->stages[stage];
    }
    bool isLastStage() const
    {
        return stage + 1 == route->stages.size();
    }
};

//! Requests and attempts in progress.
class RequestTable
{
public:
    Request &add(Request request);
    Request *find(model::RequestId id);
    void remove(model::RequestId id);

    Attempt &add(Attempt attempt);
    Attempt *find(model::AttemptId id);
    void remove(model::AttemptId id);

    size_t requestCount() const
    {
        return m_requests.size();
    }
    size_t attemptCount() const
    {
        return m_attempts.size();
    }

    std::vector<model::RequestId> requestIds() const;
    std::vector<model::AttemptId> attemptsAt(model::UpstreamRow upstream) const;

private:
    absl::flat_hash_map<model::RequestId, std::unique_ptr<Request>> m_requests;
    absl::flat_hash_map<model::AttemptId, std::unique_ptr<Attempt>> m_attempts;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTTABLE_H
