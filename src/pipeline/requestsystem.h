#ifndef CITRONPICK_PIPELINE_REQUESTSYSTEM_H
#define CITRONPICK_PIPELINE_REQUESTSYSTEM_H

#include <variant>
#include <vector>

#include "admission/accountlimits.h"
#include "admission/attemptbudget.h"
#include "admission/stagequeue.h"
#include "config/configuration.h"
#include "health/healthsystem.h"
#include "model/outcome.h"
#include "model/random.h"
#include "model/timerqueue.h"
#include "observability/event.h"
#include "operations/operationtable.h"
#include "pipeline/costtable.h"
#include "pipeline/pipelineoptions.h"
#include "pipeline/quarantinetable.h"
#include "pipeline/requestcommands.h"
#include "pipeline/requestevents.h"
#include "pipeline/requesttable.h"
#include "routing/irouter.h"
#include "routing/prefixtable.h"
#include "upstreams/upstreamtable.h"

namespace citronpick::pipeline
{

//! What the request system wants done; the order matters.
using RequestCommand
    = std::variant<StartAttempt, CancelAttempt, StreamToCaller, Respond, observability::Event>;

//! What the request system works with; all outlive it.
struct RequestSystemParts {
    upstreams::UpstreamTable &upstreams;
    health::HealthSystem &health;
    routing::IRouter &router;
    routing::PrefixTable &prefixes;
    operations::OperationTable &operations;
    const admission::IAccountShare &accountShare;
};

//! Takes requests through their stages: admission, queues, attempts, retries, hedges, answers.
class RequestSystem
{
public:
    RequestSystem(PipelineOptions options, RequestSystemParts parts, uint64_t seed);

    //! New requests run under this configuration; those under way keep theirs.
    void setConfiguration(config::ConfigurationPtr configuration);

    //! From here on nothing new is taken in.
    void refuseNewWork()
    {
        m_refusesNewWork = true;
    }

    bool refusesNewWork() const
    {
        return m_refusesNewWork;
    }

    void arrive(const RequestArrived &event, model::TimePoint now);
    void onCallerGone(const CallerGone &event, model::TimePoint now);
    void onAnswer(const AttemptAnswered &event, model::TimePoint now);
    void onStream(const AttemptStreamed &event, model::TimePoint now);
    void onFailure(const AttemptFailed &event, model::TimePoint now);

    //! A daemon saw a crash; true when the fingerprint is in quarantine now.
    bool onPeerStrike(const Strike &strike, model::TimePoint now);
    //! An upstream went out of service or became slow: what is stuck there is tried elsewhere.
    void rescueFrom(model::UpstreamRow upstream, model::TimePoint now);

    void runTimers(model::TimePoint now);
    //! Works out what the daemon may count on in each pool; every 100 ms.
    void refreshPools(uint32_t daemons, model::TimePoint now);
    //! Hands queued work to whatever has room.
    void dispatchAll(model::TimePoint now);
    //! Ends every request as "stopped"; for the end of a stop that took too long.
    void stopAll(model::TimePoint now);

    std::vector<RequestCommand> takeCommands();
    std::vector<Strike> takeStrikes();
    //! Upstreams that said in an answer that they leave.
    std::vector<model::UpstreamRow> takeLeaving();

    const CostTable &costs() const
    {
        return m_costs;
    }
    admission::AccountLimits &accountLimits()
    {
        return m_limits;
    }
    size_t requestCount() const
    {
        return m_table.requestCount();
    }
    size_t queuedCount(model::PoolRow pool) const;
    uint64_t droppedAnswers() const
    {
        return m_droppedAnswers;
    }

private:
    static constexpr double medianQuantile = 0.5;

    struct PoolState {
        admission::StageQueue queue;
        admission::AttemptBudget budget;
        model::QuantileSketch costs; //!< Expected costs of recent work, in milliseconds.
        double quietRatio = 1.0; //!< Normalised answer time while upstreams are little used.
        std::vector<double> recentRatios; //!< By upstream row; smoothed.
        uint32_t longInFlight = 0;
        uint32_t usableSlots = 1;
        double shortNeed = 0.0; //!< Slots that short work has needed in the last seconds.
        model::TimePoint lastAnswerAt;
    };

    enum class TimerKind {
        Deadline,
        Hedge,
        Overdue,
        Retry,
    };

    struct Timer {
        TimerKind kind = TimerKind::Deadline;
        model::RequestId request;
        model::AttemptId attempt;
    };

    // Arrival
    struct Refusal {
        model::Reason reason = model::Reason::None;
        model::Duration retryAfter {};
    };
    std::optional<Refusal> checkArrival(const RequestArrived &event, model::Fingerprint fingerprint,
                                        model::TimePoint now) const;
    std::optional<Refusal> checkFeasible(Request &request, model::TimePoint now);
    Request makeRequest(const RequestArrived &event, model::Fingerprint fingerprint,
                        model::TimePoint now) const;
    bool passesOperationGate(const Request &request, model::TimePoint now);
    void refuse(const RequestArrived &event, const Refusal &refusal);
    model::Duration estimate(const config::StageConfig &stage, uint32_t tokens,
                             double quantile) const;
    model::Duration laterStagesNeed(const Request &request) const;
    static model::Duration costOf(const config::PoolConfig &pool, uint32_t tokens);

    // Dispatch
    bool prepareStage(Request &request);
    void startStage(Request &request, model::TimePoint now);
    void enqueue(Request &request, model::TimePoint now);
    void dispatch(model::PoolRow pool, model::TimePoint now);
    bool dispatchOne(model::PoolRow pool, model::TimePoint now);
    bool tryStart(Request &request, bool isHedge, model::TimePoint now);
    void startAttempt(Request &request, const routing::Choice &choice, bool isHedge,
                      model::TimePoint now);
    StartAttempt commandFor(const Request &request, const Attempt &attempt,
                            model::TimePoint now) const;
    void armAttemptTimers(const Request &request, const Attempt &attempt);
    bool isHopeless(const Request &request, model::TimePoint now) const;
    uint32_t slots(model::PoolRow pool) const;
    uint32_t usableSlots(model::PoolRow pool, uint32_t daemons, model::TimePoint now,
                         uint32_t &inFlight) const;
    bool mayTakeLong(model::PoolRow pool) const;
    admission::QueueItem queueItem(const Request &request) const;

    // Answers
    Attempt closeAttempt(Request &request, const Attempt &attempt, bool isUseful,
                         model::TimePoint now);
    void cancelAttempts(Request &request, model::TimePoint now);
    void blameSlowerAttempts(const Request &request, const Attempt &winner, model::TimePoint now);
    static double ratioOf(const Attempt &attempt, model::TimePoint now);
    void learnFrom(const Attempt &attempt, model::TimePoint now);
    void noteLoad(model::UpstreamRow upstream, const ReportedLoad &load, model::TimePoint now);
    void advance(Request &request, model::BodyPtr result, uint16_t status, model::TimePoint now);
    void handleAttemptLoss(Request &request, const Attempt &attempt, AttemptError error,
                           model::TimePoint now);
    void addStrike(Request &request, const Attempt &attempt, model::TimePoint now);
    void retryOrFail(Request &request, const Attempt &attempt, model::Reason reason,
                     uint16_t status, model::TimePoint now);
    bool mayRetry(const Request &request, const Attempt &attempt, model::TimePoint now);
    bool hasUntriedUpstream(const Request &request) const;
    void finish(Request &request, Respond answer, model::TimePoint now);
    void finishFailed(Request &request, model::Reason reason, uint16_t status,
                      model::TimePoint now);
    void count(const Request &request, model::Outcome outcome, model::TimePoint now);
    void recordOutcome(const Request &request, const Respond &answer);

    // Timers
    void dropDeadTimers();
    void onDeadline(model::RequestId id, model::TimePoint now);
    void onHedgeDue(model::AttemptId id, model::TimePoint now);
    void onOverdue(model::AttemptId id, model::TimePoint now);
    void takeOver(Request &request, model::TimePoint now);
    void onRetryDue(model::RequestId id, model::TimePoint now);

    PoolState &stateOf(model::PoolRow pool);
    void record(observability::EventCode code, const Request &request, std::string subject,
                std::string detail);

    PipelineOptions m_options;
    RequestSystemParts m_parts;
    model::Random m_random;
    config::ConfigurationPtr m_configuration;
    RequestTable m_table;
    std::vector<std::unique_ptr<PoolState>> m_pools; //!< By pool row.
    QuarantineTable m_quarantine;
    admission::AccountLimits m_limits;
    model::TimerQueue<Timer> m_timers;
    CostTable m_costs;
    std::vector<RequestCommand> m_commands;
    std::vector<Strike> m_strikes;
    std::vector<model::UpstreamRow> m_leaving;
    model::TimePoint m_lastTime;
    uint64_t m_lastAttempt = 0;
    uint64_t m_droppedAnswers = 0;
    bool m_refusesNewWork = false;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTSYSTEM_H
