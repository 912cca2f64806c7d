#ifndef CITRONPICK_TESTS_SUPPORT_WORLD_H
#define CITRONPICK_TESTS_SUPPORT_WORLD_H

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

//! A request as a test sends it.
struct Submission {
    std::string route;
    std::string account = "acme";
    std::string priority;
    std::string label; //!< Groups results.
    std::optional<model::Duration> budget;
    uint32_t expectedTokens = 0;
    std::string body;
    std::string operationKey;
    bool wantsStream = false;
};

//! What became of it.
struct Result {
    Submission submission;
    std::string callerId;
    size_t daemon = 0;
    model::TimePoint submittedAt;
    std::optional<model::TimePoint> answeredAt;
    model::TimePoint deadline;
    std::optional<pipeline::Respond> answer;
    std::string streamed;
    bool isDaemonLost = false; //!< The daemon was killed before it answered.

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

struct WorldOptions {
    uint64_t seed = 1;
    size_t daemons = 1;
    std::vector<std::string> zones = {"a", "b", "c"}; //!< Daemons are spread over them in turn.
    std::string pipelines; //!< The configuration file's text.
    model::Duration upstreamDelay = model::milliseconds(1); //!< One way.
    model::Duration peerDelay = model::milliseconds(1);
    double peerLoss = 0.0;
    double peerDuplicates = 0.0;
    core::CoreOptions core; //!< Policies; names, seeds and addresses are filled in.
};

//! Cores of several daemons on a manual clock, with fakes at their interfaces.
class World
{
public:
    explicit World(WorldOptions options);
    ~World();

    model::TimePoint now() const
    {
        return m_now;
    }
    void runFor(model::Duration duration);
    void schedule(model::Duration delay, std::function<void()> action);

    //! Sends a request to a daemon; the number finds its result.
    uint64_t submit(size_t daemon, const Submission &submission);
    //! Sends requests at random times with this mean rate, to daemons in turn.
    void load(double requestsPerSecond, model::Duration duration,
              const std::function<Submission(model::Random &)> &make);
    //! Opens an operation; empty when refused.
    std::string openOperation(size_t daemon);

    void publish(uint64_t revision, const std::string &text);
    void setPlatformDown(bool isDown)
    {
        m_isPlatformDown = isDown;
    }
    //! The platform serves this older file again.
    void servePlatformFile(uint64_t revision, const std::string &text);
    void listLeaving(const std::string &upstream);

    void pause(size_t daemon, model::Duration duration);
    void kill(size_t daemon);
    void restart(size_t daemon);
    void drain(size_t daemon);
    //! Cuts daemons off from those in another group; empty heals.
    void partition(std::vector<std::set<size_t>> groups)
    {
        m_partition = std::move(groups);
    }
    //! One daemon no longer reaches one upstream.
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
    std::vector<const Result *> labelled(const std::string &label) const;

    //! Every event of a code since the start, with its time and daemon.
    struct SeenEvent {
        model::TimePoint at;
        size_t daemon = 0;
        observability::Event event;
    };
    const std::vector<SeenEvent> &events() const
    {
        return m_events;
    }
    size_t countEvents(observability::EventCode code) const;
    uint64_t peerMessages() const
    {
        return m_peerMessages;
    }

    //! Runs of one request on all upstreams.
    uint32_t runsOf(const std::string &callerId) const;
    uint64_t totalRuns() const;

    //! Throws std::runtime_error when a promise was broken as seen from outside.
    void checkPromises() const;

private:
    struct Daemon {
        std::unique_ptr<core::Core> core;
        core::CoreOptions options;
        bool isDrained = false;
        model::TimePoint pausedUntil;
        std::vector<core::Event> held; //!< Came while paused.
        uint64_t life = 0; //!< Counts starts; what belongs to an earlier one is dropped.
        model::Revision highestRevision;
        uint64_t servedRevision = 0; //!< Last read from the platform.
    };

    struct Timed {
        model::TimePoint at;
        uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Timed &left, const Timed &right)
        {
            return std::tie(right.at, right.sequence) < std::tie(left.at, left.sequence);
        }
    };

    void start(size_t daemon);
    void tick(size_t daemon, uint64_t life);
    void deliver(size_t daemon, uint64_t life, core::Event event);
    void handle(size_t daemon, const core::Event &event);
    void execute(size_t daemon, const core::Command &command);
    void onStartAttempt(size_t daemon, const pipeline::StartAttempt &command);
    void onAttemptEnd(size_t daemon, uint64_t life, model::AttemptId attempt,
                      const FakeUpstream::Ending &ending);
    void onCancel(size_t daemon, const pipeline::CancelAttempt &command);
    static std::string attemptName(size_t daemon, uint64_t life, model::AttemptId attempt);
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

    WorldOptions m_options;
    model::TimePoint m_now;
    model::Random m_random;
    std::priority_queue<Timed> m_queue;
    uint64_t m_lastSequence = 0;
    std::vector<Daemon> m_daemons;
    std::map<std::string, std::unique_ptr<FakeUpstream>> m_upstreams;
    std::map<uint64_t, Result> m_results;
    uint64_t m_lastRequest = 0;
    uint64_t m_lastIncarnation = 0;
    uint64_t m_lastExchange = 0;
    struct PeerExchange {
        size_t from = 0;
        uint64_t fromLife = 0;
        uint64_t number = 0;
    };
    std::map<uint64_t, PeerExchange> m_exchanges;
    std::map<uint64_t, std::string> m_operationKeys;
    std::vector<std::set<size_t>> m_partition;
    std::set<std::pair<size_t, std::string>> m_cutPaths;
    std::map<std::string, std::string> m_attemptPlaces; //!< Upstreams of attempts under way.
    config::ConfigurationPtr m_configuration;
    uint64_t m_platformRevision = 0;
    std::string m_platformText;
    bool m_isPlatformDown = false;
    std::map<std::string, model::TimePoint> m_leavingSince;
    std::vector<SeenEvent> m_events;
    std::vector<std::string> m_broken; //!< Promises seen broken while running.
    uint64_t m_peerMessages = 0;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_WORLD_H
