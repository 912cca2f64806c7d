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
    Queued, //!< Waits for an upstream.
    BackingOff, //!< Waits before another attempt.
    Running, //!< At least one attempt is under way.
};

//! One dispatch of a stage.
struct Attempt {
    model::AttemptId id;
    model::RequestId request;
    model::UpstreamRow upstream;
    size_t stage = 0;
    model::TimePoint startedAt;
    model::Duration expected {}; //!< Of the whole answer at the configured speed.
    uint64_t healthEpoch = 0;
    bool isHedge = false;
    bool isTest = false; //!< Went to an upstream to see whether it is fit.
    bool isStruck = false;
    bool isLong = false;
    bool startedQuiet = false; //!< The upstream held little else of this daemon's.
    uint32_t tokens = 0;
};

//! One request from its arrival to its answer.
struct Request {
    model::RequestId id;
    model::CallerRequestId callerId;
    model::AccountId account;
    config::ConfigurationPtr configuration; //!< The one in force at arrival.
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
    model::PoolRow pool; //!< Of the present stage.
    model::BodyPtr input; //!< Of the present stage.
    admission::QueueTicket ticket; //!< Valid while queued.
    model::Duration cost {}; //!< Expected, of the present stage.
    bool isLong = false;
    std::vector<model::AttemptId> attempts; //!< Under way.
    std::vector<model::UpstreamRow> tried; //!< In the present stage.
    uint32_t attemptCount = 0; //!< In the present stage.
    uint32_t nextToken = 0; //!< In the present stage; earlier ones were taken.
    std::string streamed; //!< Tokens of a stage that is not streamed to the caller.

    uint32_t sentAttempts = 0; //!< In all stages; without those that failed to connect.
    uint32_t unrepeatableSent = 0; //!< Of these, of stages that may run only once.
    bool hasOpenUnrepeatable = false; //!< One of these has not been answered.
    bool isCallerGone = false;

    const config::StageConfig &stageConfig() const
    {
        return route->stages[stage];
    }
    bool isLastStage() const
    {
        return stage + 1 == route->stages.size();
    }
};

//! Requests and attempts under way.
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
