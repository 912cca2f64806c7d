#ifndef CITRONPICK_TESTS_SUPPORT_FLEETSIMULATION_H
#define CITRONPICK_TESTS_SUPPORT_FLEETSIMULATION_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "support/fakeupstream.h"

namespace citronpick::testing
{

//! A request sent by a test.
struct Submission {
    std::string route;
    std::string account = "acme";
    std::string priority;
    std::string label; //!< Groups results, see FleetSimulation::resultsWithLabel().
    std::optional<model::Duration> budget;
    uint32_t expectedTokens = 0;
    std::string body;
    std::string operationKey;
    bool wantsStream = false;
};

//! State and answer of a submitted request.
struct Result {
    Submission submission;
    std::string callerId;
    size_t daemon = 0;
    model::TimePoint submittedAt;
    std::optional<model::TimePoint> answeredAt;
    model::TimePoint deadline;
    std::optional<pipeline::Respond> answer;
    std::string streamed;
    bool isDaemonLost = false; //!< The daemon was not running, or was killed before it answered.

    bool isComplete() const
    {
        return answer && answer->outcome == model::Outcome::Complete;
    }
    bool isInTime() const
    {
        return isComplete() && *answeredAt <= deadline;
    }
    model::Duration latency() const
    {
        return answeredAt ? *answeredAt - submittedAt : model::Duration::max();
    }
};

struct SimulationOptions {
    uint64_t seed = 1;
    size_t daemons = 1;
    std::vector<std::string> zones = {"a", "b", "c"}; //!< Daemons are assigned round robin.
    std::string pipelines; //!< Text of the configuration file.
    model::Duration upstreamDelay = model::milliseconds(1); //!< One-way latency.
    model::Duration peerDelay = model::milliseconds(1); //!< One-way latency.
    double peerLoss = 0.0; //!< Share of lost messages between daemons.
    double peerDuplicates = 0.0; //!< Share of duplicated messages between daemons.
    core::CoreOptions core; //!< Policies; FleetSimulation sets names, seeds and addresses.
};

//! Simulates the cores of several daemons with their network, platform and upstreams.
class FleetSimulation
{
public:
    explicit FleetSimulation(SimulationOptions options);
    ~FleetSimulation();

    model::TimePoint now() const
    {
        return m_now;
    }
    void runFor(model::Duration duration);
    void schedule(model::Duration delay, std::function<void()> action);

    //! Sends a request to a daemon; returns the number to pass to result().
    uint64_t submit(size_t daemon, const Submission &submission);
    //! Schedules requests as a Poisson process with this mean rate, round robin over live daemons.
    void load(double requestsPerSecond, model::Duration duration,
              const std::function<Submission(model::Random &)> &make);
    //! Opens an operation and returns its key, empty when refused.
    std::string openOperation(size_t daemon);

    //! Makes the platform serve a configuration file.
    void publish(uint64_t revision, const std::string &text);
    void setPlatformDown(bool isDown)
    {
        m_isPlatformDown = isDown;
    }
    //! Makes the platform serve an older configuration file again.
    void servePlatformFile(uint64_t revision, const std::string &text);
    //! Marks an upstream as leaving in the platform's instance list.
    void setLeaving(const std::string &upstream);

    void pause(size_t daemon, model::Duration duration);
    void kill(size_t daemon);
    void restart(size_t daemon);
    void drain(size_t daemon);
    //! Partitions the daemons into groups without contact; an empty list ends the partition.
    void partition(std::vector<std::set<size_t>> groups)
    {
        m_partition = std::move(groups);
    }
    //! Cuts or restores the path from a daemon to an upstream.
    void cutPath(size_t daemon, const std::string &upstream, bool isCut);

    core::Core &core(size_t daemon)
    {
        return *m_daemons[daemon].core;
    }
    bool isAlive(size_t daemon) const
    {
        return m_daemons[daemon].core != nullptr;
    }
    bool isDrained(size_t daemon) const
    {
        return m_daemons[daemon].isDrained;
    }
    FakeUpstream &upstream(const std::string &name)
    {
        return *m_upstreams.at(name);
    }
    std::map<std::string, std::unique_ptr<FakeUpstream>> &upstreams()
    {
        return m_upstreams;
    }
    health::HealthState stateOf(size_t daemon, const std::string &upstream) const;

    const std::map<uint64_t, Result> &results() const
    {
        return m_results;
    }
    const Result &result(uint64_t number) const
    {
        return m_results.at(number);
    }
    std::vector<const Result *> resultsWithLabel(const std::string &label) const;

    //! An event logged by a daemon.
    struct RecordedEvent {
        model::TimePoint at;
        size_t daemon = 0;
        observability::Event event;
    };
    const std::vector<RecordedEvent> &events() const
    {
        return m_events;
    }
    size_t countEvents(observability::EventCode code) const;
    uint64_t peerMessages() const
    {
        return m_peerMessages;
    }

    //! Number of executions of a request on all upstreams.
    uint32_t runCount(const std::string &callerId) const;
    uint64_t totalRuns() const;

    //! Throws std::runtime_error that lists all promises to callers that were broken.
    void checkPromises() const;

private:
    struct Daemon {
        std::unique_ptr<core::Core> core;
        core::CoreOptions options;
        bool isDrained = false;
        model::TimePoint pausedUntil;
        std::vector<core::Event> heldEvents; //!< Received while paused.
        //! Incremented by starts and kills; events for an earlier generation are dropped.
        uint64_t generation = 0;
        model::Revision highestRevision;
        uint64_t lastReadRevision = 0; //!< Revision last read from the platform.
    };

    struct ScheduledAction {
        model::TimePoint at;
        uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const ScheduledAction &left, const ScheduledAction &right)
        {
            return std::tie(right.at, right.sequence) < std::tie(left.at, left.sequence);
        }
    };

    void start(size_t daemon);
    void tick(size_t daemon, uint64_t generation);
    void deliver(size_t daemon, uint64_t generation, core::Event event);
    void handle(size_t daemon, const core::Event &event);
    void execute(size_t daemon, const core::Command &command);
    void onStartAttempt(size_t daemon, const pipeline::StartAttempt &command);
    void onAttemptEnd(size_t daemon, uint64_t generation, model::AttemptId attempt,
                      const FakeUpstream::Completion &completion);
    void onCancel(size_t daemon, const pipeline::CancelAttempt &command);
    static std::string attemptName(size_t daemon, uint64_t generation, model::AttemptId attempt);
    void onRespond(size_t daemon, const pipeline::Respond &command);
    void onProbe(size_t daemon, const core::SendProbe &command);
    void onExchange(size_t daemon, const fleet::SendExchange &command);
    void onReply(size_t daemon, const fleet::SendReply &command);
    void onFetch(size_t daemon, const core::FetchConfiguration &command);
    void readPlatform(size_t daemon);
    void readInstanceList(size_t daemon);
    model::Duration deadlineOf(const std::string &route) const;
    bool areConnected(size_t left, size_t right) const;
    std::optional<size_t> daemonAt(const config::Endpoint &fleetEndpoint) const;

    SimulationOptions m_options;
    model::TimePoint m_now;
    model::Random m_random;
    std::priority_queue<ScheduledAction> m_queue;
    uint64_t m_lastSequence = 0;
    std::vector<Daemon> m_daemons;
    std::map<std::string, std::unique_ptr<FakeUpstream>> m_upstreams;
    std::map<uint64_t, Result> m_results;
    uint64_t m_lastRequest = 0;
    uint64_t m_lastIncarnation = 0;
    uint64_t m_lastExchange = 0;
    struct PeerExchange {
        size_t from = 0;
        uint64_t fromGeneration = 0;
        uint64_t number = 0;
    };
    std::map<uint64_t, PeerExchange> m_exchanges;
    std::map<uint64_t, std::string> m_operationKeys;
    std::vector<std::set<size_t>> m_partition;
    std::set<std::pair<size_t, std::string>> m_cutPaths;
    std::map<std::string, std::string> m_attemptUpstreams; //!< Upstream by attempt in progress.
    config::ConfigurationPtr m_configuration;
    uint64_t m_platformRevision = 0;
    std::string m_platformText;
    bool m_isPlatformDown = false;
    std::map<std::string, model::TimePoint> m_leavingSince;
    std::vector<RecordedEvent> m_events;
    std::vector<std::string> m_violations; //!< Broken promises observed during the run.
    uint64_t m_peerMessages = 0;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_FLEETSIMULATION_H
