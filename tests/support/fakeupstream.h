#ifndef CITRONPICK_TESTS_SUPPORT_FAKEUPSTREAM_H
#define CITRONPICK_TESTS_SUPPORT_FAKEUPSTREAM_H

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "model/random.h"
#include "model/time.h"
#include "pipeline/requestcommands.h"
#include "pipeline/requestevents.h"

namespace citronpick::testing
{

//! Behaviour of a simulated upstream.
struct Behaviour {
    double slowFactor = 1.0; //!< Factor of the service time.
    double failShare = 0.0; //!< Share of requests that are answered with status 500.
    bool isDown = false; //!< Refuses connections.
    bool isFrozen = false; //!< Accepts requests without answering them.
    bool failsProbes = false;
    bool isLeaving = false; //!< Announces in its answers that it is leaving.
    uint32_t collapsesAbove = 0; //!< Fails all requests while more are open; zero: never.
    uint32_t coldAnswers = 0; //!< Number of next answers that take twice the service time.
    bool ignoresCancel = false; //!< Also answers cancelled attempts.
    std::string crashWord; //!< A request whose body contains this word crashes the upstream.
};

//! Schedules an action after a delay; provided by the owner of the simulated clock.
using Schedule = std::function<void(model::Duration, std::function<void()>)>;

//! Upstream in simulated time with a fixed number of slots and a FIFO queue.
class FakeUpstream
{
public:
    //! Result of an attempt.
    struct Completion {
        std::optional<pipeline::AttemptError> error;
        uint16_t status = 200;
        std::string body;
        pipeline::ReportedLoad load;
    };
    using OnCompletion = std::function<void(const Completion &)>;
    using OnTokens = std::function<void(const std::vector<pipeline::StreamToken> &)>;

    FakeUpstream(std::string name, uint32_t slots, model::Duration serviceTime,
                 model::Duration timePerToken, uint64_t seed);

    //! \a name identifies the attempt uniquely over all daemons.
    void receive(const std::string &name, const pipeline::StartAttempt &attempt,
                 const Schedule &schedule, OnTokens onTokens, OnCompletion onCompletion);
    //! Cancels an attempt and frees its slot at once.
    void cancel(const std::string &attempt, const Schedule &schedule);
    //! True when a health probe succeeds.
    bool probe() const;

    void setBehaviour(Behaviour behaviour)
    {
        m_behaviour = std::move(behaviour);
    }
    Behaviour &behaviour()
    {
        return m_behaviour;
    }
    //! Loses all connections and refuses new ones for \a restartTime.
    void crash(model::Duration restartTime, const Schedule &schedule);

    const std::string &name() const
    {
        return m_name;
    }
    uint64_t totalRuns() const
    {
        return m_totalRuns;
    }
    uint32_t crashes() const
    {
        return m_crashes;
    }
    //! Number of executions by the caller's request identifier and the path of the stage.
    const std::map<std::pair<std::string, std::string>, uint32_t> &runs() const
    {
        return m_runs;
    }

private:
    struct Job {
        uint64_t number = 0;
        std::string name;
        pipeline::StartAttempt attempt;
        OnTokens onTokens;
        OnCompletion onCompletion;
    };

    void start(const Job &job, const Schedule &schedule);
    void end(const Job &job, uint64_t generation, const Schedule &schedule);
    void streamTokens(const Job &job, model::Duration first, model::Duration whole,
                      const Schedule &schedule);
    void startNext(const Schedule &schedule);
    double drawServiceFactor();
    uint64_t m_lastJob = 0;

    std::string m_name;
    uint32_t m_slots;
    model::Duration m_serviceTime {};
    model::Duration m_timePerToken {};
    model::Random m_random;
    Behaviour m_behaviour;
    uint32_t m_running = 0;
    std::deque<Job> m_waiting;
    std::set<uint64_t> m_started; //!< Numbers of the jobs that hold a slot.
    std::vector<Job> m_jobs; //!< Running, queued and unanswered jobs; all of them fail at a crash.
    uint64_t m_generation = 1; //!< Incremented by each crash.
    bool m_isRestarting = false;
    uint64_t m_totalRuns = 0;
    uint32_t m_crashes = 0;
    std::map<std::pair<std::string, std::string>, uint32_t> m_runs;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_FAKEUPSTREAM_H
