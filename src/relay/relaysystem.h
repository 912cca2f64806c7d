#ifndef CITRONPICK_RELAY_RELAYSYSTEM_H
#define CITRONPICK_RELAY_RELAYSYSTEM_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/timerqueue.h"
#include "relay/batchscheduler.h"
#include "relay/partquarantine.h"
#include "relay/pastversions.h"
#include "relay/relaycommands.h"
#include "relay/relayconfiguration.h"
#include "relay/relaycounters.h"
#include "relay/relayevents.h"
#include "relay/retrybudget.h"
#include "relay/stageplan.h"
#include "relay/streamorigins.h"
#include "relay/upstreamchooser.h"
#include "relay/upstreamdirectory.h"
#include "relay/upstreamnotice.h"
#include "relay/versionhistory.h"

namespace citronpick::relay
{

struct RelayOptions {
    model::DaemonId daemon;
    model::ZoneId zone;
    RetryBudgetOptions retries;
    double coldOvershoot = 1.0; //!< See ColdStartOptions.
    double coldSlack = 0.0;
    bool placesByFirstEvent = false; //!< Chooses model engines with EnginePlacement.
    uint64_t seed = 1;
};

/*!
 * Decides how each request is served: its route, account, stages, upstream and answer.
 *
 * Performs no input or output. Events are reported through calls that carry the current time; the
 * resulting actions are returned as commands, in order.
 */
class RelaySystem
{
public:
    explicit RelaySystem(RelayOptions options);

    //! Ignores a revision that is not newer than the current one. Returns true if it was applied.
    bool setConfiguration(RelayConfigurationPtr configuration);
    const RelayConfigurationPtr &configuration() const
    {
        return m_configuration;
    }
    UpstreamDirectory &upstreams()
    {
        return m_directory;
    }
    const UpstreamDirectory &upstreams() const
    {
        return m_directory;
    }
    //! Sets the daemons that are alive, including this one.
    void setPeers(std::vector<PeerDaemon> peers, model::TimePoint now);
    //! Begins a planned shutdown that ends after \a limit. From now on only requests that are
    //! expected to finish by then are accepted, and by then each open request is answered, refused
    //! or, if its answer has begun, aborted.
    void beginShutdown(model::TimePoint now, model::Duration limit);
    //! Accepts nothing more and refuses what no upstream has. The rest may go on until the end that
    //! beginShutdown() has set.
    void hastenShutdown(model::TimePoint now);

    void onRequestArrived(ArrivedRequest request, model::TimePoint now);
    void onCallerDisconnected(model::RequestId request, model::TimePoint now);

    void onAttemptHead(model::AttemptId attempt, const AnswerFacts &facts, model::TimePoint now);
    //! At least one more event of a stream was received; \a lastEvent is the id of the last
    //! complete one.
    void onAttemptProgress(model::AttemptId attempt, const std::string &lastEvent,
                           model::TimePoint now);
    //! Reading the answer has been paused because its caller reads slowly, or has been resumed.
    void onAttemptPaused(model::AttemptId attempt, bool isPaused, model::TimePoint now);
    //! More of the answer was received than may be held back until its end.
    void onAnswerBufferFull(model::AttemptId attempt, model::TimePoint now);
    //! The answer was received completely.
    void onAttemptEnd(model::AttemptId attempt, model::TimePoint now);
    //! \a lastEvent is the id of the last complete event that was sent to the caller.
    void onAttemptFailed(model::AttemptId attempt, AttemptFailure failure,
                         const std::string &lastEvent, model::TimePoint now);

    //! The head of an answer to a call was received; \a notice is empty if the upstream states
    //! nothing about itself.
    void onUpstreamNotice(const NoticeSource &source, const UpstreamNotice &notice,
                          model::TimePoint now);
    //! Another daemon was told by an upstream of this incarnation that it leaves.
    void onPeerLeavingUpstream(const model::UpstreamId &upstream, uint64_t incarnation,
                               model::TimePoint now);

    //! An upstream of this incarnation stated this to another daemon \a age ago.
    void onPeerUpstreamRate(const model::UpstreamId &upstream, uint64_t incarnation,
                            const RateStatement &rate, model::Duration age, model::TimePoint now);

    //! The registry lists an upstream or has changed its entry.
    ListingChange onUpstreamListed(const UpstreamListing &listing, model::TimePoint now);
    //! What the registry listed before this daemon began to follow it, oldest first. \a wallNow is
    //! the time of day at \a now.
    void onPastListings(const std::vector<PastListing> &past, model::WallTime wallNow,
                        model::TimePoint now);
    //! The registry lists an upstream no more. Returns false if it was not listed.
    bool onUpstreamRemoved(const model::UpstreamId &upstream);
    //! The operator orders that the upstreams of a zone get no work, or takes the order back.
    void onZoneEvacuated(const model::ZoneId &zone, model::TimePoint now);
    void onZoneRestored(const model::ZoneId &zone, model::TimePoint now);

    //! The attempt was ended before its upstream received any byte of the request.
    void onAttemptRecalled(model::AttemptId attempt, model::TimePoint now);

    void onBatchAnswered(BatchId batch, const std::vector<ItemOutcome> &outcomes,
                         model::TimePoint now);
    void onBatchRefused(BatchId batch, model::TimePoint now);
    void onBatchBroken(BatchId batch, model::TimePoint now);

    //! A peer requests a stage job. Its result is returned as an AnswerPeer command with the same
    //! exchange number.
    void onPeerJob(uint64_t exchange, StageJob job, model::TimePoint now);
    void onPeerDisconnected(uint64_t exchange);
    void onForwardAnswered(JobId job, JobResult result, model::TimePoint now);
    void onForwardFailed(JobId job, model::TimePoint now);
    //! Another daemon reports that the connection to an upstream broke while it ran a request.
    void onPeerCrashReport(const pipeline::CrashReport &report, model::TimePoint now);
    //! The same for the parts of that request's prompt, which was lost \a age ago.
    void onPeerPartCrash(const PartCrash &crash, model::Duration age, model::TimePoint now);
    //! Another daemon suspects a part of prompts.
    void onPeerSuspectedPart(const PartSuspicion &suspicion, model::TimePoint now);
    //! Another daemon found \a age ago that a part of prompts crashes upstreams.
    void onPeerQuarantinedPart(model::Fingerprint part, model::Duration age, model::TimePoint now);
    //! Another daemon passed on an answer \a age ago to a request with a suspected part.
    void onPeerClearedPart(model::Fingerprint part, model::Duration age, model::TimePoint now);

    //! Handles expired timeouts, runs the batch scheduler and checks the peers.
    void run(model::TimePoint now);
    //! The time at which run() has to be called next.
    std::optional<model::TimePoint> nextRun() const;

    std::vector<RelayCommand> takeCommands();

    size_t requestCount() const
    {
        return m_exchanges.size();
    }
    const BatchCounters &batchCounters() const
    {
        return m_scheduler.counters();
    }
    const RelayCounters &counters() const
    {
        return m_counters;
    }
    //! Number of model engines whose speed is known.
    size_t measuredEngines() const
    {
        return m_chooser.measuredEngines();
    }
    const BatchScheduler &scheduler() const
    {
        return m_scheduler;
    }

private:
    //! Estimate of a request's stages from the forecasts of their queues.
    struct CompletionEstimate {
        bool canMeetTarget = true;
        model::Duration onTimeWait {}; //!< Time until all stages are done if no job is late.
        model::Duration lateWait {}; //!< Time until all stages are done if they are queued as late.
    };
    struct Exchange {
        ArrivedRequest arrived;
        RelayConfigurationPtr configuration; //!< The revision in force at arrival.
        const RouteRule *route = nullptr;
        model::AccountId account;
        uint32_t priority = 0;
        model::PoolId pool;
        model::TimePoint deadline; //!< The earlier one of the caller's and the route's deadline.
        //! When the caller is assumed to give up if no answer has begun.
        model::TimePoint firstEventDeadline;
        bool isLimitedByShutdown = false; //!< The shutdown shortened one of the two deadlines.
        model::ZoneId expectedZone; //!< Zone of the upstream that is expected to run the request.
        CompletionEstimate expected; //!< The estimate at arrival.
        StagePlan plan;
        std::vector<JobId> jobs; //!< Unfinished stage jobs, here and at peers.
        bool wasRestarted = false; //!< The stages were restarted once.
        model::AttemptId attempt; //!< The current attempt; zero if there is none.
        //! The attempt whose upstream is silent while another one is sought for the rest of the
        //! stream; zero if there is none.
        model::AttemptId silentAttempt;
        uint32_t sentAttempts = 0; //!< Attempts that an upstream may have received.
        uint32_t unsentAttempts = 0; //!< Attempts that certainly reached no upstream.
        std::vector<model::UpstreamId> triedUpstreams;
        std::vector<config::Endpoint> triedAddresses;
        PartFingerprints sharedParts; //!< Parts of the prompt that may crash upstreams.
        bool isAnswerStarted = false; //!< The head of a streamed answer was sent to the caller.
        model::TimePoint streamStartedAt; //!< When the head of a stream was sent to the caller.
        bool mayHaveRun = false; //!< An upstream may have started to run the request.
        std::string lastEvent;
        //! The software version that began the stream; empty if it has none. nullopt while the
        //! stream is bound to no version.
        std::optional<model::SoftwareVersion> version;
    };
    struct Attempt {
        model::RequestId request;
        model::UpstreamId upstream;
        uint64_t incarnation = 0; //!< Incarnation of the upstream in the platform's list.
        model::SoftwareVersion version; //!< Of the upstream in the platform's list.
        uint64_t tokens = 0;
        uint64_t unreadTokens = 0; //!< Prompt tokens that the engine probably has to read.
        bool isOnEngine = false; //!< The upstream is a model engine.
        model::TimePoint startedAt;
        model::TimePoint lastProgressAt; //!< When the last event of the answer was received.
        model::TimePoint silenceNotedAt; //!< When a lack of events last counted as a failure.
        bool isPaused = false; //!< Not read, because the caller reads slowly.
        bool isResumption = false; //!< The caller already has the first part of the answer.
        std::optional<model::TimePoint> beganAt; //!< When the head of the answer was received.
        std::optional<model::TimePoint> firstEventAt; //!< When events of a stream first arrived.
        bool hasOutlivedCrashes = false; //!< The stream goes on, so the request crashes nothing.
        std::optional<AnswerFacts> facts;
    };
    //! Identifies the local request and stage for which a job runs.
    struct LocalStage {
        model::RequestId request;
        uint32_t stage = 0;
    };
    //! Identifies the request of a peer for which a job runs.
    struct PeerExchange {
        uint64_t exchange = 0;
    };
    using JobOwner = std::variant<LocalStage, PeerExchange>;
    //! The last forecast for a pool's queue that the coordinator of the pool sent.
    struct PeerForecast {
        QueueForecast forecast;
        model::TimePoint at;
    };
    struct ForwardedJob {
        JobOwner owner;
        PeerDaemon peer;
        StageJob content;
        model::TimePoint sentAt;
    };

    //! Moving averages of the duration of a route's streams and of its deviation from that.
    struct StreamTime {
        model::Duration mean {};
        model::Duration deviation {};
    };
    //! How the duration of a stage is estimated.
    enum class Estimate {
        Minimum, //!< Without any queue.
        Typical, //!< From recent measurements.
    };

    // Arrival
    std::optional<Refusal> admit(Exchange &exchange, model::TimePoint now) const;
    model::PoolId poolOf(const Exchange &exchange) const;
    //! Ends a request that is not answered; aborts its answer if that has begun.
    void refuse(model::RequestId request, Refusal refusal, model::Duration retryAfter);
    void abortAnswer(const Exchange &exchange, std::string detail);
    //! How long callers are assumed to wait for the first or the next event of a stream.
    static model::Duration callerTimeout(const RouteRule &route);
    static model::TimePoint firstEventDeadlineOf(const Exchange &exchange);
    void limitToShutdown(Exchange &exchange);
    void refuseUnsent(const std::function<bool(const Exchange &)> &isRefused);
    //! Whether an upstream that gets the request now may still run it when the shutdown ends.
    static bool mayOutlastShutdown(const Exchange &exchange);
    void addDeadlineTimers(const Exchange &exchange);
    void onTimeout(model::RequestId request, model::TimePoint now);

    // Stages
    void advanceExchange(model::RequestId request, model::TimePoint now);
    //! Whether the upstreams that make a stage's results have storage for a few batches only.
    static bool isStorageScarce(const Exchange &exchange, uint32_t stage);
    static bool releasesFinalResults(const Exchange &exchange);
    static bool releasesInputs(const Exchange &exchange, uint32_t stage);
    StageJob jobFor(const Exchange &exchange, uint32_t stage, model::TimePoint now) const;
    void submit(const JobOwner &owner, StageJob job, model::TimePoint now);
    void submitLocally(const JobOwner &owner, StageJob job, model::TimePoint now);
    void forward(const JobOwner &owner, const PeerDaemon &peer, StageJob job, model::TimePoint now);
    //! Passes jobs that have not begun on to the coordinator that is now known for their pool.
    void moveQueuedJobs(model::TimePoint now);
    void addToOwner(const JobOwner &owner, JobId job);
    //! Returns false if the request that the job belongs to has ended.
    bool takeFromOwner(const JobOwner &owner, JobId job);
    void finishJob(const JobOwner &owner, JobId job, JobResult result, model::TimePoint now);
    void cancelJob(JobId job);
    const PeerDaemon *coordinatorOf(const model::PoolId &pool, model::TimePoint now) const;
    void onStageFinished(const LocalStage &owner, JobId job, JobResult result,
                         model::TimePoint now);
    static model::TimePoint resultsExpiry(const Exchange &exchange, uint32_t stage,
                                          model::TimePoint now);
    void restartStages(Exchange &exchange, model::TimePoint now);
    void handleSchedulerOutput(model::TimePoint now);
    void cancelJobs(Exchange &exchange);
    void checkPeers(model::TimePoint now);
    void sendInquiry(const PeerDaemon &peer, const model::PoolId &pool, model::TimePoint now);
    void noteForecast(const model::PoolId &pool, const QueueForecast &forecast,
                      model::TimePoint now);
    QueueForecast forecastOf(const model::PoolId &pool, model::TimePoint now) const;
    QueueWait queueWait(const Exchange &exchange, uint32_t stage, model::TimePoint now) const;
    CompletionEstimate estimateCompletion(const Exchange &exchange, model::TimePoint now) const;
    model::TimePoint dueOf(const Exchange &exchange, uint32_t stage, model::TimePoint now) const;
    model::TimePoint deadlineOf(const Exchange &exchange, uint32_t stage,
                                model::TimePoint now) const;
    std::optional<model::Duration> excessWait(const Exchange &exchange, model::TimePoint now) const;
    void updateStageTime(const Exchange &exchange, uint32_t stage, const JobResult &result);
    //! Upstream time of the stages that \a stage depends on.
    static model::Duration workBefore(const Exchange &exchange, uint32_t stage);
    model::Duration engineTime(const Exchange &exchange, Estimate estimate) const;
    model::Duration streamTime(const RouteRule &route) const;
    void updateStreamTime(const Exchange &exchange, model::TimePoint now);
    static model::Duration progressTimeout(const Exchange &exchange);
    bool canResume(const Exchange &exchange, model::TimePoint now);
    void checkProgress(Exchange &exchange, model::TimePoint now);
    void noteSilence(const Exchange &exchange, Attempt &attempt, model::TimePoint now);
    //! Seeks another upstream for the rest of a stream and keeps the silent one until it is found.
    void resumeBeside(Exchange &exchange, model::TimePoint now);
    //! Leaves the rest of a stream to its silent upstream again. Returns false if there is none.
    bool returnToSilent(Exchange &exchange);
    void cancelSilent(Exchange &exchange);
    model::Duration stageTime(const Exchange &exchange, uint32_t stage, Estimate estimate) const;
    model::Duration timeAfterStage(const Exchange &exchange, uint32_t stage,
                                   Estimate estimate) const;

    // Attempts
    void startAttempt(Exchange &exchange, model::TimePoint now);
    UpstreamCriteria criteriaOf(const Exchange &exchange);
    static bool needsFreshConnection(const Exchange &exchange, const config::Endpoint &address);
    void chooseExpectedZone(Exchange &exchange, model::TimePoint now);
    Attempt closeAttempt(model::AttemptId id);
    //! Cancels an attempt whose answer cannot be used.
    void abandonAttempt(model::AttemptId id, AttemptFailure failure, const std::string &detail,
                        model::TimePoint now);
    void onRefusedByUpstream(Exchange &exchange, const AnswerFacts &facts, model::TimePoint now);
    void onUnconfirmedRefusal(Exchange &exchange, const Attempt &attempt, const AnswerFacts &facts,
                              model::TimePoint now);
    void onAttemptNotSent(Exchange &exchange, const model::UpstreamId &upstream,
                          model::TimePoint now);
    void onAnswerLost(Exchange &exchange, const model::UpstreamId &upstream, AttemptFailure failure,
                      model::TimePoint now);
    bool canRetry(const Exchange &exchange, model::TimePoint now);
    //! Whether another attempt is allowed; consumes one retry of the budget if so.
    bool acquireRetry(const Exchange &exchange, model::TimePoint now);

    // Software versions
    //! Whether the caller takes up a stream that another attempt of it began.
    static bool isTakeUp(const Exchange &exchange);
    //! The attempt of the caller that began the stream, or is to begin it.
    static const model::CallerRequestId &originOf(const Exchange &exchange);
    const VersionHistory &versionsOf(const model::PoolId &pool);
    //! Finds the version that began a stream which its caller takes up. Returns why it can't go on.
    std::optional<Refusal> bindTakeUp(Exchange &exchange, model::TimePoint now);
    void notePatience(const Exchange &exchange);
    //! Earliest time at which the attempt that began the stream was sent.
    model::TimePoint earliestStartOf(const Exchange &exchange, model::TimePoint now) const;
    //! An event of the attempt's stream was passed on.
    void bindVersion(Exchange &exchange, const Attempt &attempt, model::TimePoint now);
    void updateVersions(model::TimePoint now);
    //! Why a request is refused that no upstream takes now.
    Refusal refusalWithoutUpstream(const Exchange &exchange) const;

    // Notices of upstreams
    //! When to retry a request that cannot be served now; nullopt if it may be served.
    std::optional<model::Duration> unservableRetryAfter(const Exchange &exchange,
                                                        model::TimePoint now) const;
    //! When a pool is expected to have an upstream that takes work; \a otherwise if it has one.
    model::Duration retryAfterOf(const model::PoolId &pool, model::Duration otherwise,
                                 model::TimePoint now) const;
    void noteRate(const NoticeSource &source, const RateStatement &rate, uint64_t incarnation,
                  model::TimePoint now);
    void setRate(Upstream &upstream, const RateStatement &rate, const RateLimit &limit,
                 std::string_view source, model::TimePoint now);
    void noteCold(const model::UpstreamId &id, model::Duration coldFor, std::string_view source,
                  model::TimePoint now);
    void onBecameCold(const Upstream &upstream, std::string_view source, model::TimePoint now);
    //! Handles upstreams that became cold because a connection to them was lost.
    void handleSuspects(model::TimePoint now);
    UpstreamStarts startsOf(const NoticeSource &source, const UpstreamNotice &notice) const;
    void runScheduler(model::TimePoint now);

    // Quarantine
    bool isQuarantined(const Exchange &exchange, model::TimePoint now) const;
    //! Returns whether the report puts something into quarantine.
    bool addCrashReport(const Exchange &exchange, const Attempt &attempt, model::TimePoint now);
    void addAnswer(const Exchange &exchange, model::TimePoint now);
    //! More events of the attempt's stream arrived.
    void noteEvents(Attempt &attempt, const Exchange &exchange, model::TimePoint now);
    void clearParts(const Exchange &exchange, model::TimePoint now);
    void runQuarantine(model::TimePoint now);
    void recordPart(observability::EventCode code, model::Fingerprint part, std::string detail);
    void publishCleared(model::Fingerprint part);
    void refuseQuarantined(model::TimePoint now);
    void refuseAfterCrash(Exchange &exchange);

    void releaseResults(std::vector<ResultHandle> handles);
    void closeExchange(model::RequestId request);

    Exchange *find(model::RequestId request);
    void record(observability::EventCode code, const Exchange &exchange, std::string subject,
                std::string detail);

    RelayOptions m_options;
    RelayConfigurationPtr m_configuration;
    UpstreamDirectory m_directory;
    UpstreamChooser m_chooser;
    BatchScheduler m_scheduler;
    RetryBudget m_budget;
    pipeline::QuarantineTable m_quarantine;
    PartQuarantine m_partQuarantine;
    std::vector<PeerDaemon> m_peers;
    absl::flat_hash_map<model::DaemonId, model::TimePoint> m_peerAnsweredAt;
    absl::flat_hash_map<model::DaemonId, model::TimePoint> m_peerInquiredAt;
    absl::flat_hash_map<model::DaemonId, model::TimePoint> m_peerAvoidedUntil;
    //! Forecasts for pools that peers schedule.
    absl::flat_hash_map<model::PoolId, PeerForecast> m_peerForecasts;
    absl::flat_hash_map<model::RequestId, std::unique_ptr<Exchange>> m_exchanges;
    absl::flat_hash_map<model::AttemptId, Attempt> m_attempts;
    absl::flat_hash_map<JobId, JobOwner> m_jobOwners; //!< Owners of jobs in m_scheduler.
    absl::flat_hash_map<JobId, ForwardedJob> m_forwardedJobs;
    absl::flat_hash_map<uint64_t, JobId> m_peerJobs;
    //! Moving average of the duration of on-time stage jobs, by pool and priority.
    absl::flat_hash_map<std::pair<model::PoolId, uint32_t>, model::Duration> m_stageTimes;
    //! Moving average of the time from an attempt's start to its first event, by route.
    absl::flat_hash_map<model::RouteId, model::Duration> m_firstEventTimes;
    //! Time from a stream's first event to its end, by route.
    absl::flat_hash_map<model::RouteId, StreamTime> m_streamTimes;
    absl::flat_hash_map<model::PoolId, VersionHistory> m_versions;
    bool m_hasNewListings = false; //!< Since m_versions were updated.
    StreamOrigins m_origins;
    //! Longest time that callers of a route wait, as far as this daemon has seen.
    absl::flat_hash_map<model::RouteId, model::Duration> m_callerPatience;
    model::TimerQueue<model::RequestId> m_timeouts;
    std::vector<RelayCommand> m_commands;
    RelayCounters m_counters;
    model::Random m_random;
    uint64_t m_lastAttempt = 0;
    uint64_t m_lastForward = 0;
    //! New streams are refused from this time on.
    model::TimePoint m_acceptStreamsUntil = model::TimePoint::max();
    //! All other new requests are refused from this time on.
    model::TimePoint m_acceptRequestsUntil = model::TimePoint::max();
    //! No request is open from this time on.
    model::TimePoint m_shutdownAt = model::TimePoint::max();
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYSYSTEM_H
