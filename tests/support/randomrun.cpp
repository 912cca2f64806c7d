#include "support/randomrun.h"

#include <exception>
#include <memory>

#include <nlohmann/json.hpp>

#include "support/experiments.h"
#include "support/fleetsimulation.h"

namespace citronpick::testing
{

namespace
{

constexpr size_t daemonCount = 6;
constexpr size_t upstreamCount = 8;

std::string fileFor(uint32_t slots)
{
    nlohmann::json file = nlohmann::json::parse(onePoolConfiguration(upstreamCount, slots));
    nlohmann::json second = file["pools"][0];
    second["name"] = "q";
    second["path"] = "/q";
    for (auto &upstream : second["upstreams"]) {
        upstream["name"] = "v" + upstream["name"].get<std::string>().substr(1);
        upstream["port"] = upstream["port"].get<int>() + 100;
    }
    file["pools"].push_back(second);
    file["pipelines"]
        = {{{"name", "two"},
            {"stages", {{{"name", "first"}, {"pool", "p"}}, {{"name", "second"}, {"pool", "q"}}}}}};
    return file.dump();
}

//! One random run.
class RandomRun
{
public:
    RandomRun(uint64_t seed, int steps)
        : m_random(seed)
        , m_steps(steps)
    {
        SimulationOptions options;
        options.seed = seed;
        options.daemons = daemonCount;
        options.pipelines = fileFor(8);
        options.peerLoss = m_random.uniformDouble() < 0.5 ? 0.05 : 0.0;
        options.peerDuplicates = m_random.uniformDouble() < 0.5 ? 0.05 : 0.0;
        m_simulation = std::make_unique<FleetSimulation>(options);
    }

    void run(RandomRunReport &report)
    {
        m_trace = &report.trace;
        for (int step = 0; step < m_steps; ++step) {
            sendRequests();
            injectFault();
            m_simulation->runFor(model::milliseconds(100 + m_random.below(900)));
        }
        removeAllFaults();
        // Long enough for every deadline and hold-down to end and for all upstreams to return.
        m_simulation->runFor(model::seconds(20));
        m_simulation->load(100, model::seconds(60), [](model::Random &) {
            return Submission {.route = "call", .label = "after"};
        });
        m_simulation->runFor(model::seconds(80));
        count(report);
        m_simulation->checkPromises();
        checkOperations();
        checkRecovery();
    }

private:
    struct Operation {
        std::string key;
        std::vector<uint64_t> sent;
    };

    void sendRequests()
    {
        const uint32_t number = m_random.below(40);
        for (uint32_t i = 0; i < number; ++i) {
            const size_t daemon = m_random.below(daemonCount);
            const double kind = m_random.uniformDouble();
            Submission submission {.route = kind < 0.4 ? "call" : "two", .label = "random"};
            if (kind > 0.8) {
                submission.route = "once";
            }
            if (m_random.uniformDouble() < 0.2) {
                submission.budget = model::milliseconds(50 + m_random.below(1000));
            }
            if (m_random.uniformDouble() < 0.02) {
                submission.body = "poison";
            }
            send(daemon, submission);
        }
        sendOperation();
    }

    uint64_t send(size_t daemon, const Submission &submission)
    {
        return m_simulation->submit(daemon, submission);
    }

    //! Opens an operation, or repeats a request of an open one through a random daemon.
    void sendOperation()
    {
        const size_t daemon = m_random.below(daemonCount);
        if (m_operations.empty() || m_random.uniformDouble() < 0.3) {
            if (m_simulation->isAlive(daemon)) {
                const std::string key = m_simulation->openOperation(daemon);
                if (!key.empty()) {
                    m_operations.push_back({.key = key, .sent = {}});
                }
            }
            return;
        }
        const size_t index = m_random.below(static_cast<uint32_t>(m_operations.size()));
        Operation &operation = m_operations[index];
        Submission submission {.route = "once", .label = "operation"};
        submission.operationKey = operation.key;
        submission.body = "operation" + std::to_string(index);
        operation.sent.push_back(send(daemon, submission));
    }

    void logFault(const std::string &text)
    {
        m_trace->push_back(std::to_string(model::toSeconds(m_simulation->now().time_since_epoch()))
                           + " s: " + text);
    }

    std::string randomUpstream()
    {
        const char *pool = m_random.below(2) == 0 ? "u" : "v";
        return pool + std::to_string(1 + m_random.below(upstreamCount));
    }

    void injectFault()
    {
        const size_t daemon = m_random.below(daemonCount);
        const std::string name = randomUpstream();
        const std::string daemonName = "daemon " + std::to_string(daemon);
        switch (m_random.below(14)) {
        case 0:
            m_simulation->upstream(name).setBehaviour({.slowFactor = 2.0 + m_random.below(20)});
            logFault(name + " slowed");
            break;
        case 1:
            m_simulation->upstream(name).setBehaviour({.failShare = m_random.uniformDouble()});
            logFault(name + " fails");
            break;
        case 2:
            m_simulation->upstream(name).setBehaviour({.isFrozen = true});
            logFault(name + " frozen");
            break;
        case 3:
            m_simulation->upstream(name).setBehaviour({.isDown = true});
            logFault(name + " down");
            break;
        case 4:
            m_simulation->upstream(name).setBehaviour({.crashWord = "poison"});
            logFault(name + " crashes on a word in the body");
            break;
        case 5:
        case 6:
            m_simulation->upstream(name).setBehaviour({});
            logFault(name + " recovered");
            break;
        case 7:
            m_simulation->upstream(name).crash(
                model::seconds(1), [this](model::Duration delay, std::function<void()> action) {
                    m_simulation->schedule(delay, std::move(action));
                });
            logFault(name + " crashed");
            break;
        case 8:
            m_simulation->pause(daemon, model::milliseconds(m_random.below(15000)));
            logFault(daemonName + " paused");
            break;
        case 9:
            m_simulation->restart(daemon);
            logFault(daemonName + " restarted");
            break;
        case 10:
            m_simulation->partition({{0, 1, m_random.below(2) == 0 ? 2U : 0U}, {2, 3, 4, 5}});
            logFault("partition");
            break;
        case 11:
            m_simulation->partition({});
            logFault("partition ended");
            break;
        case 12:
            injectPlatformFault();
            break;
        default:
            m_simulation->cutPath(daemon, name, m_random.below(2) == 0);
            logFault(daemonName + " path cut or restored to " + name);
            break;
        }
    }

    void injectPlatformFault()
    {
        switch (m_random.below(4)) {
        case 0:
            m_simulation->setPlatformDown(true);
            logFault("platform down");
            break;
        case 1:
            m_simulation->setPlatformDown(false);
            logFault("platform up");
            break;
        case 2:
            m_simulation->publish(++m_revision, fileFor(6 + m_random.below(6)));
            logFault("published " + std::to_string(m_revision));
            break;
        default: {
            const uint64_t old = 1 + m_random.below(static_cast<uint32_t>(m_revision));
            m_simulation->servePlatformFile(old, fileFor(8));
            logFault("platform serves " + std::to_string(old));
            break;
        }
        }
    }

    void removeAllFaults()
    {
        m_simulation->partition({});
        for (auto &[name, upstream] : m_simulation->upstreams()) {
            upstream->setBehaviour({});
            for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
                m_simulation->cutPath(daemon, name, false);
            }
        }
        m_simulation->setPlatformDown(false);
        m_simulation->publish(++m_revision, fileFor(8));
        m_simulation->runFor(model::seconds(16));
    }

    void count(RandomRunReport &report) const
    {
        report.requests = m_simulation->results().size();
        for (const auto &[number, result] : m_simulation->results()) {
            report.complete += result.isComplete() ? 1 : 0;
        }
    }

    void checkOperations() const
    {
        for (const Operation &operation : m_operations) {
            uint32_t runs = 0;
            for (const uint64_t number : operation.sent) {
                runs += m_simulation->runCount(m_simulation->result(number).callerId);
            }
            if (runs > 1) {
                throw std::runtime_error("an operation was executed " + std::to_string(runs)
                                         + " times");
            }
        }
    }

    void checkRecovery() const
    {
        size_t bad = 0;
        const auto after = m_simulation->resultsWithLabel("after");
        for (const Result *result : after) {
            bad += result->isInTime() ? 0 : 1;
        }
        if (bad > 0) {
            throw std::runtime_error(std::to_string(bad) + " of " + std::to_string(after.size())
                                     + " requests failed after all faults were removed");
        }
        for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
            if (m_simulation->core(daemon).revisions().revision() != model::Revision(m_revision)) {
                throw std::runtime_error(
                    "a daemon has an old configuration after all faults were removed");
            }
        }
    }

    model::Random m_random;
    int m_steps;
    std::unique_ptr<FleetSimulation> m_simulation;
    std::vector<Operation> m_operations;
    uint64_t m_revision = 1;
    std::vector<std::string> *m_trace = nullptr;
};

} // namespace

RandomRunReport runRandomly(uint64_t seed, int steps)
{
    RandomRunReport report;
    try {
        RandomRun run(seed, steps);
        run.run(report);
    } catch (const std::exception &error) {
        report.hasPassed = false;
        report.failure = error.what();
    }
    return report;
}

std::string repeatCommand(uint64_t seed, int steps)
{
    return "build/bench/randomrun --seeds=" + std::to_string(seed) + "-" + std::to_string(seed)
           + " --steps=" + std::to_string(steps);
}

} // namespace citronpick::testing
