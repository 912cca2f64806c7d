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

//! Commands of the request system, to be carried out in order.
using RequestCommand
    = std::variant<StartAttempt, CancelAttempt, StreamToCaller, Respond, observability::Event>;

//! Components that the request system uses. All of them must outlive it.
struct RequestSystemDependencies {
    upstreams::UpstreamTable &upstreams;
    health::HealthSystem &health;
    routing::IRouter &router;
    routing::PrefixTable &prefixes;
    operations::OperationTable &operations;
    const admission::IAccountShare &accountShare;
};

//! Runs requests through their stages: admission, queueing, attempts, retries, hedges, answers.
class RequestSystem
{
public:
    RequestSystem(PipelineOptions options, RequestSystemDependencies dependencies, uint64_t seed);

    //! Sets the configuration for new requests. Requests in progress keep the one they started
    //! with.
    void setConfiguration(config::ConfigurationPtr configuration);

    //! Refuses all requests that arrive from now on.
    void refuseNewWork()
    {
        m_refusesNewWork = true;
    }

    bool refusesNewWork() const
    {
        return m_refusesNewWork;
    }

    void onArrival(const RequestArrived &event, model::TimePoint now);
    void onCallerDisconnected(const CallerDisconnected &event, model::TimePoint now);
    void onCallerBlocked(const CallerBlocked &event, model::TimePoint now);
    void onCallerUnblocked(const CallerUnblocked &event, model::TimePoint now);
    void onAnswer(const AttemptAnswered &event, model::TimePoint now);
    void onStream(const AttemptStreamed &event, model::TimePoint now);
    void onFailure(const AttemptFailed &event, model::TimePoint now);

    //! Adds a crash report from another daemon. Returns true when it puts the fingerprint into
    //! quarantine.
    bool onPeerCrashReport(const CrashReport &report, model::TimePoint now);
    //! Starts hedges on other upstreams for the slow attempts at an upstream that went out of
    //! service or became slow.
    void hedgeAttemptsAt(model::UpstreamRow upstream, model::TimePoint now);

    void runTimers(model::TimePoint now);
    //! Updates the slots available to this daemon and the slots needed for short work in each pool.
    //! Called every 100 ms.
    void refreshPools(uint32_t daemons, model::TimePoint now);
    //! Dispatches queued requests to upstreams with free slots.
    void dispatchAll(model::TimePoint now);
    //! Ends every request with the reason "stopped", when a planned stop has taken too long.
    void stopAll(model::TimePoint now);

    std::vector<RequestCommand> takeCommands();
    std::vector<CrashReport> takeCrashReports();
    //! Upstreams that announced in an answer that they are leaving.
    std::vector<model::UpstreamRow> takeLeavingUpstreams();

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
        model::QuantileSketch costs; //!< Expected costs of started stages, in seconds.
        double lowLoadRatio = 1.0; //!< Smoothed normalised answer time at upstreams with low load.
        std::vector<double> smoothedRatios; //!< Smoothed normalised answer time by upstream row.
        uint32_t longInFlight = 0;
        uint32_t availableSlots = 1; //!< Slots of the pool that this daemon may use.
        //! Slots that short work has needed in the last seconds, decaying.
        double shortSlotDemand = 0.0;
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

    // Arrival and admission
    struct Refusal {
        model::Reason reason = model::Reason::None;
        model::Duration retryAfter {};
    };
    std::optional<Refusal> checkArrival(const RequestArrived &event, model::Fingerprint fingerprint,
                                        model::TimePoint now) const;
    std::optional<Refusal> checkFeasibility(Request &request, model::TimePoint now);
    Request makeRequest(const RequestArrived &event, model::Fingerprint fingerprint,
                        model::TimePoint now) const;
    //! Returns true when the request may run. Otherwise it is answered here.
    bool beginOperation(const Request &request, model::TimePoint now);
    void refuse(const RequestArrived &event, const Refusal &refusal);
    model::Duration estimate(const config::StageConfig &stage, uint32_t tokens,
                             double quantile) const;
    model::Duration laterStagesTime(const Request &request) const;
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
    //! When an attempt counts as slow; time in which its caller was blocked does not count.
    model::TimePoint overdueAt(const Attempt &attempt) const;
    void armOverdueTimer(const Attempt &attempt);
    void armAttemptTimers(const Request &request, const Attempt &attempt);
    bool isDeadlineUnreachable(const Request &request, model::TimePoint now) const;
    uint32_t totalSlots(model::PoolRow pool) const;
    uint32_t availableSlots(model::PoolRow pool, uint32_t daemons, model::TimePoint now,
                            uint32_t &inFlight) const;
    bool mayStartLong(model::PoolRow pool) const;
    admission::QueueItem queueItem(const Request &request) const;

    // Answers
    Attempt closeAttempt(Request &request, const Attempt &attempt, bool isUseful,
                         model::TimePoint now);
    void cancelAttempts(Request &request, model::TimePoint now);
    void reportSlowerAttempts(const Request &request, const Attempt &winner, model::TimePoint now);
    static double ratioOf(const Attempt &attempt, model::TimePoint now);
    void recordAnswerTime(const Attempt &attempt, model::TimePoint now);
    void updateReportedLoad(model::UpstreamRow upstream, const ReportedLoad &load,
                            model::TimePoint now);
    void advance(Request &request, model::BodyPtr result, uint16_t status, model::TimePoint now);
    void handleAttemptLoss(Request &request, const Attempt &attempt, AttemptError error,
                           model::TimePoint now);
    void addCrashReport(Request &request, const Attempt &attempt, model::TimePoint now);
    void retryOrFail(Request &request, const Attempt &attempt, model::Reason reason,
                     uint16_t status, model::TimePoint now);
    bool mayRetry(const Request &request, const Attempt &attempt, model::TimePoint now);
    bool hasUntriedUpstream(const Request &request) const;
    void finish(Request &request, Respond answer, model::TimePoint now);
    void finishFailed(Request &request, model::Reason reason, uint16_t status,
                      model::TimePoint now);
    void countOutcome(const Request &request, model::Outcome outcome, model::TimePoint now);
    void recordOutcome(const Request &request, const Respond &answer);

    // Timers
    void removeObsoleteTimers();
    void onDeadline(model::RequestId id, model::TimePoint now);
    void onHedgeDue(model::AttemptId id, model::TimePoint now);
    void onOverdue(model::AttemptId id, model::TimePoint now);
    void hedgeOverdueRequest(Request &request, model::TimePoint now);
    void onRetryDue(model::RequestId id, model::TimePoint now);

    PoolState &stateOf(model::PoolRow pool);
    void record(observability::EventCode code, const Request &request, std::string subject,
                std::string detail);

    PipelineOptions m_options;
    RequestSystemDependencies m_dependencies;
    model::Random m_random;
    config::ConfigurationPtr m_configuration;
    RequestTable m_table;
    std::vector<std::unique_ptr<PoolState>> m_pools; //!< By pool row.
    QuarantineTable m_quarantine;
    admission::AccountLimits m_limits;
    model::TimerQueue<Timer> m_timers;
    CostTable m_costs;
    std::vector<RequestCommand> m_commands;
    std::vector<CrashReport> m_crashReports;
    std::vector<model::UpstreamRow> m_leavingUpstreams;
    model::TimePoint m_lastTime;
    uint64_t m_lastAttempt = 0;
    uint64_t m_droppedAnswers = 0;
    bool m_refusesNewWork = false;
};

} // namespace citronpick::pipeline

#endif // CITRONPICK_PIPELINE_REQUESTSYSTEM_H
