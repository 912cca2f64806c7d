#include "support/scenario.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>

#include <nlohmann/json.hpp>

#include "support/experiments.h"
#include "support/fleetsimulation.h"

namespace citronpick::testing
{

namespace
{

using Json = nlohmann::json;

//! Reads the words of one line in order.
class WordReader
{
public:
    WordReader(std::string location, const std::string &line)
        : m_location(std::move(location))
    {
        std::istringstream stream(line);
        for (std::string word; stream >> word && word[0] != '#';) {
            m_words.push_back(word);
        }
    }

    bool isEmpty() const
    {
        return m_next >= m_words.size();
    }
    const std::string &location() const
    {
        return m_location;
    }

    std::string take(const std::string &expected)
    {
        if (isEmpty()) {
            throw ScenarioError(m_location, "end of line", expected);
        }
        return m_words[m_next++];
    }

    //! Consumes the next word if it is \a word.
    bool accept(const std::string &word)
    {
        if (isEmpty() || m_words[m_next] != word) {
            return false;
        }
        ++m_next;
        return true;
    }

    double number(const std::string &expected)
    {
        return numberWithUnit(expected, "");
    }

    //! Reads a rate: "40/s" gives 40.
    double rate()
    {
        return numberWithUnit("a rate like 40/s", "/s");
    }

    model::Duration duration()
    {
        const std::string word = take("a duration like 5s or 200ms");
        char *end = nullptr;
        const double value = std::strtod(word.c_str(), &end);
        const std::string unit(end);
        if (end == word.c_str() || (unit != "s" && unit != "ms")) {
            throw ScenarioError(m_location, word, "a duration like 5s or 200ms");
        }
        constexpr double perSecond = 1e6;
        constexpr double perMillisecond = 1e3;
        return model::Duration(
            static_cast<int64_t>(value * (unit == "s" ? perSecond : perMillisecond)));
    }

    [[noreturn]] void fail(const std::string &expected) const
    {
        throw ScenarioError(m_location, m_next == 0 ? "" : m_words[m_next - 1], expected);
    }

    void requireEnd() const
    {
        if (!isEmpty()) {
            throw ScenarioError(m_location, m_words[m_next], "the end of the line");
        }
    }

    std::string text() const
    {
        std::string line;
        for (const std::string &word : m_words) {
            line += (line.empty() ? "" : " ") + word;
        }
        return line;
    }

private:
    double numberWithUnit(const std::string &expected, const std::string &unit)
    {
        const std::string word = take(expected);
        char *end = nullptr;
        const double value = std::strtod(word.c_str(), &end);
        if (end == word.c_str() || std::string(end) != unit) {
            throw ScenarioError(m_location, word, expected);
        }
        return value;
    }

    std::string m_location;
    std::vector<std::string> m_words;
    size_t m_next = 0;
};

//! Executes the statements of a scenario script.
class Interpreter
{
public:
    explicit Interpreter(std::string folder)
        : m_folder(std::move(folder))
    {
        m_file = {{"pools", Json::array()},
                  {"pipelines", Json::array()},
                  {"services", Json::array()},
                  {"priorities", Json::array()},
                  {"accounts", Json::array()}};
    }

    void runText(const std::string &text, const std::string &name)
    {
        std::istringstream stream(text);
        int number = 0;
        for (std::string line; std::getline(stream, line);) {
            WordReader words(name + ":" + std::to_string(++number), line);
            if (!words.isEmpty()) {
                runLine(words);
                words.requireEnd();
            }
        }
    }

    std::vector<ExpectationResult> takeFindings()
    {
        return std::move(m_findings);
    }

private:
    void runLine(WordReader &words)
    {
        using Handler = void (Interpreter::*)(WordReader &);
        static const std::map<std::string, Handler> handlers
            = {{"include", &Interpreter::include},
               {"seed", &Interpreter::seed},
               {"policy", &Interpreter::policy},
               {"daemons", &Interpreter::daemons},
               {"peers", &Interpreter::peers},
               {"pool", &Interpreter::pool},
               {"service", &Interpreter::service},
               {"pipeline", &Interpreter::pipeline},
               {"priority", &Interpreter::priority},
               {"account", &Interpreter::account},
               {"at", &Interpreter::at},
               {"run", &Interpreter::run},
               {"expect", &Interpreter::expect}};
        const std::string word = words.take("a statement");
        const auto handler = handlers.find(word);
        if (handler == handlers.end()) {
            words.fail("include, seed, policy, daemons, peers, pool, service, pipeline, priority, "
                       "account, at, run or expect");
        }
        (this->*handler->second)(words);
    }

    void include(WordReader &words)
    {
        const std::string name = words.take("a file name");
        std::ifstream file(m_folder + "/" + name);
        if (!file) {
            words.fail("the name of a file in the same folder");
        }
        std::stringstream text;
        text << file.rdbuf();
        runText(text.str(), name);
    }

    void seed(WordReader &words)
    {
        m_options.seed = static_cast<uint64_t>(words.number("a number"));
    }

    void policy(WordReader &words)
    {
        const std::string name = words.take("product or baseline");
        if (name != "product" && name != "baseline") {
            words.fail("product or baseline");
        }
        m_options.core = coreOptionsFor(name == "product" ? Policy::Product : Policy::Baseline);
    }

    void daemons(WordReader &words)
    {
        m_options.daemons = static_cast<size_t>(words.number("a number of daemons"));
        if (words.accept("zones")) {
            m_options.zones = list(words);
        }
    }

    void peers(WordReader &words)
    {
        while (!words.isEmpty()) {
            if (words.accept("loss")) {
                m_options.peerLoss = words.number("a share");
            } else if (words.accept("duplicates")) {
                m_options.peerDuplicates = words.number("a share");
            } else if (words.accept("delay")) {
                m_options.peerDelay = words.duration();
            } else {
                words.take("loss, duplicates or delay");
                words.fail("loss, duplicates or delay");
            }
        }
    }

    void pool(WordReader &words)
    {
        const std::string name = words.take("a pool's name");
        Json pool {{"name", name}, {"path", "/" + name}, {"upstreams", Json::array()}};
        size_t count = 1;
        std::vector<std::string> zones = m_options.zones;
        while (!words.isEmpty()) {
            if (words.accept("upstreams")) {
                count = static_cast<size_t>(words.number("a number of upstreams"));
            } else if (words.accept("slots")) {
                pool["concurrency"] = static_cast<uint32_t>(words.number("a number of slots"));
            } else if (words.accept("takes")) {
                pool["expectedMs"] = model::toSeconds(words.duration()) * 1000.0;
            } else if (words.accept("per-token")) {
                pool["expectedPerTokenMs"] = model::toSeconds(words.duration()) * 1000.0;
            } else if (words.accept("streaming")) {
                pool["streaming"] = true;
            } else if (words.accept("zones")) {
                zones = list(words);
            } else {
                words.take("a property");
                words.fail("upstreams, slots, takes, per-token, streaming or zones");
            }
        }
        for (size_t i = 0; i < count; ++i) {
            pool["upstreams"].push_back({{"name", name + "-" + std::to_string(i + 1)},
                                         {"host", "127.0.0.1"},
                                         {"port", ++m_lastPort},
                                         {"zone", zones[i % zones.size()]}});
        }
        m_file["pools"].push_back(pool);
    }

    void service(WordReader &words)
    {
        const std::string name = words.take("a service's name");
        Json service {{"name", name}, {"path", "/" + name}};
        service["pool"] = words.take("a pool's name");
        while (!words.isEmpty()) {
            if (words.accept("once")) {
                service["idempotent"] = false;
            } else if (words.accept("deadline")) {
                service["deadlineMs"] = model::toMilliseconds(words.duration());
            } else {
                words.take("a property");
                words.fail("once or deadline");
            }
        }
        m_file["services"].push_back(service);
    }

    void pipeline(WordReader &words)
    {
        Json pipeline {{"name", words.take("a pipeline's name")}, {"stages", Json::array()}};
        for (const std::string &pool : list(words)) {
            pipeline["stages"].push_back({{"name", pool}, {"pool", pool}});
        }
        if (words.accept("deadline")) {
            pipeline["deadlineMs"] = model::toMilliseconds(words.duration());
        }
        m_file["pipelines"].push_back(pipeline);
    }

    void priority(WordReader &words)
    {
        const std::string name = words.take("a priority's name");
        m_file["priorities"].push_back(
            {{"name", name}, {"rank", static_cast<uint32_t>(words.number("a rank"))}});
    }

    void account(WordReader &words)
    {
        Json account {{"name", words.take("an account's name")}};
        while (!words.isEmpty()) {
            if (words.accept("rate")) {
                account["requestsPerSecond"] = words.rate();
            } else if (words.accept("weight")) {
                account["weight"] = words.number("a weight");
            } else {
                words.take("a property");
                words.fail("rate or weight");
            }
        }
        m_file["accounts"].push_back(account);
    }

    static std::vector<std::string> list(WordReader &words)
    {
        std::vector<std::string> items;
        std::istringstream stream(words.take("a list like a,b,c"));
        for (std::string item; std::getline(stream, item, ',');) {
            items.push_back(item);
        }
        return items;
    }

    FleetSimulation &simulation()
    {
        if (!m_simulation) {
            m_options.pipelines = m_file.dump();
            m_simulation = std::make_unique<FleetSimulation>(m_options);
            m_startedAt = m_simulation->now();
        }
        return *m_simulation;
    }

    void scheduleAt(model::Duration when, std::function<void()> action)
    {
        const model::TimePoint due = m_startedAt + when;
        simulation().schedule(std::max(model::Duration(0), due - simulation().now()),
                              std::move(action));
    }

    void at(WordReader &words)
    {
        simulation();
        const model::Duration when = words.duration();
        const std::string what = words.take("load, upstream, daemon, platform, partition or cut");
        if (what == "load") {
            load(words, when);
        } else if (what == "upstream") {
            upstream(words, when);
        } else if (what == "daemon") {
            daemon(words, when);
        } else if (what == "platform") {
            platform(words, when);
        } else if (what == "partition") {
            partition(words, when);
        } else if (what == "cut" || what == "mend") {
            const auto index = static_cast<size_t>(words.number("a daemon's number"));
            const std::string name = words.take("an upstream's name");
            scheduleAt(when, [this, index, name, what] {
                simulation().cutPath(index, name, what == "cut");
            });
        } else {
            words.fail("load, upstream, daemon, platform, partition, cut or mend");
        }
    }

    void load(WordReader &words, model::Duration when)
    {
        Submission submission;
        submission.route = words.take("a route");
        submission.label = submission.route;
        const double rate = words.rate();
        model::Duration duration {};
        while (!words.isEmpty()) {
            if (words.accept("for")) {
                duration = words.duration();
            } else if (words.accept("as")) {
                submission.account = words.take("an account");
            } else if (words.accept("label")) {
                submission.label = words.take("a label");
            } else if (words.accept("tokens")) {
                submission.expectedTokens = static_cast<uint32_t>(words.number("a number"));
            } else if (words.accept("priority")) {
                submission.priority = words.take("a priority");
            } else if (words.accept("deadline")) {
                submission.budget = words.duration();
            } else if (words.accept("body")) {
                submission.body = words.take("a word");
            } else {
                words.take("a property");
                words.fail("for, as, label, tokens, priority, deadline or body");
            }
        }
        scheduleAt(when, [this, submission, rate, duration] {
            simulation().load(rate, duration, [submission](model::Random &) { return submission; });
        });
    }

    void upstream(WordReader &words, model::Duration when)
    {
        const std::string name = words.take("an upstream's name");
        if (!simulation().upstreams().contains(name)) {
            words.fail("the name of an upstream");
        }
        Behaviour behaviour;
        const std::string what = words.take("a behaviour");
        if (what == "leave") {
            scheduleAt(when, [this, name] { simulation().setLeaving(name); });
            return;
        }
        if (what == "crash") {
            scheduleAt(when, [this, name] {
                simulation().upstream(name).crash(
                    model::seconds(2), [this](model::Duration delay, std::function<void()> action) {
                        simulation().schedule(delay, std::move(action));
                    });
            });
            return;
        }
        if (what == "fail") {
            behaviour.failShare = words.number("a share");
        } else if (what == "slow") {
            behaviour.slowFactor = words.number("a factor");
        } else if (what == "collapse") {
            behaviour.collapsesAbove = static_cast<uint32_t>(words.number("a number of requests"));
        } else if (what == "cold") {
            behaviour.coldAnswers = static_cast<uint32_t>(words.number("a number of answers"));
        } else if (what == "crash-word") {
            behaviour.crashWord = words.take("a word");
        } else if (what == "freeze") {
            behaviour.isFrozen = true;
        } else if (what == "down") {
            behaviour.isDown = true;
        } else if (what != "heal") {
            words.fail(
                "fail, slow, freeze, down, collapse, cold, crash, crash-word, leave or heal");
        }
        scheduleAt(
            when, [this, name, behaviour] { simulation().upstream(name).setBehaviour(behaviour); });
    }

    void daemon(WordReader &words, model::Duration when)
    {
        const auto index = static_cast<size_t>(words.number("a daemon's number"));
        if (index >= m_options.daemons) {
            words.fail("the number of a daemon, from 0");
        }
        const std::string what = words.take("pause, kill, restart or drain");
        if (what == "pause") {
            const model::Duration duration = words.duration();
            scheduleAt(when, [this, index, duration] { simulation().pause(index, duration); });
        } else if (what == "kill") {
            scheduleAt(when, [this, index] { simulation().kill(index); });
        } else if (what == "restart") {
            scheduleAt(when, [this, index] { simulation().restart(index); });
        } else if (what == "drain") {
            scheduleAt(when, [this, index] { simulation().drain(index); });
        } else {
            words.fail("pause, kill, restart or drain");
        }
    }

    void platform(WordReader &words, model::Duration when)
    {
        const std::string what = words.take("down, up, publish or serve");
        if (what == "down" || what == "up") {
            scheduleAt(when, [this, what] { simulation().setPlatformDown(what == "down"); });
        } else if (what == "publish" || what == "serve") {
            const auto revision = static_cast<uint64_t>(words.number("a revision"));
            scheduleAt(when,
                       [this, revision] { simulation().publish(revision, m_options.pipelines); });
        } else {
            words.fail("down, up, publish or serve");
        }
    }

    void partition(WordReader &words, model::Duration when)
    {
        std::vector<std::set<size_t>> groups;
        while (!words.isEmpty() && !words.accept("none")) {
            std::set<size_t> group;
            for (const std::string &item : list(words)) {
                group.insert(std::strtoul(item.c_str(), nullptr, 10));
            }
            groups.push_back(group);
        }
        scheduleAt(when, [this, groups] { simulation().partition(groups); });
    }

    void run(WordReader &words)
    {
        simulation().runFor(words.duration());
    }

    void expect(WordReader &words)
    {
        const std::string what
            = words.take("promises, label, events, state, revision, runs or cost");
        if (what == "promises") {
            std::string found = "kept";
            try {
                simulation().checkPromises();
            } catch (const std::runtime_error &error) {
                found = error.what();
            }
            addFinding(words, found, found == "kept");
        } else if (what == "label") {
            expectLabel(words);
        } else if (what == "events") {
            const int code = static_cast<int>(words.number("an event's number"));
            const auto count
                = simulation().countEvents(static_cast<observability::EventCode>(code));
            compare(words, static_cast<double>(count));
        } else if (what == "runs") {
            const std::string name = words.take("an upstream's name");
            compare(words, static_cast<double>(simulation().upstream(name).totalRuns()));
        } else if (what == "cost") {
            expectCost(words);
        } else if (what == "revision") {
            expectRevision(words);
        } else if (what == "state") {
            expectState(words);
        } else {
            words.fail("promises, label, events, state, revision, runs or cost");
        }
    }

    void expectLabel(WordReader &words)
    {
        const std::string label = words.take("a label");
        const auto results = simulation().resultsWithLabel(label);
        if (results.empty()) {
            words.fail("the label of an earlier load statement");
        }
        const auto total = static_cast<double>(results.size());
        const auto percentOf = [&](const std::function<bool(const Result &)> &isMet) {
            const auto count = std::count_if(results.begin(), results.end(),
                                             [&](const Result *result) { return isMet(*result); });
            return 100.0 * static_cast<double>(count) / total;
        };
        const std::string what = words.take("in-time, complete, unknown, p50 or p99");
        if (what == "in-time") {
            compare(words, percentOf([](const Result &result) { return result.isInTime(); }));
        } else if (what == "complete") {
            compare(words, percentOf([](const Result &result) { return result.isComplete(); }));
        } else if (what == "unknown") {
            compare(words, percentOf([](const Result &result) {
                        return result.answer && result.answer->outcome == model::Outcome::Unknown;
                    }));
        } else if (what == "p50") {
            compare(words, latencyQuantile(results, 0.5));
        } else if (what == "p99") {
            compare(words, latencyQuantile(results, 0.99));
        } else {
            words.fail("in-time, complete, unknown, p50 or p99");
        }
    }

    //! Compares a stage's mean upstream time in ms per complete request of its route.
    void expectCost(WordReader &words)
    {
        const model::RouteId route(words.take("a route"));
        const std::string stage = words.take("a stage");
        double milliseconds = 0.0;
        double complete = 0.0;
        for (size_t index = 0; index < m_options.daemons; ++index) {
            if (!simulation().isAlive(index)) {
                continue;
            }
            const pipeline::CostTable &costs = simulation().core(index).requests().costs();
            const auto cost = costs.stages.find({.route = route, .stage = stage});
            const auto count = costs.routes.find(route);
            if (cost == costs.stages.end() || count == costs.routes.end()) {
                continue;
            }
            milliseconds += model::toSeconds(cost->second.upstreamTime) * 1000.0;
            complete += static_cast<double>(count->second.complete);
        }
        if (complete == 0.0) {
            words.fail("a stage of a route with complete requests");
        }
        compare(words, milliseconds / complete);
    }

    void expectRevision(WordReader &words)
    {
        const auto revision = static_cast<uint64_t>(words.number("a revision"));
        size_t others = 0;
        for (size_t index = 0; index < m_options.daemons; ++index) {
            const bool isDifferent
                = simulation().isAlive(index)
                  && simulation().core(index).revisions().revision() != model::Revision(revision);
            others += isDifferent ? 1 : 0;
        }
        addFinding(words, std::to_string(others) + " daemons have a different revision",
                   others == 0);
    }

    void expectState(WordReader &words)
    {
        const std::string name = words.take("an upstream's name");
        const std::string state = words.take("a state");
        std::string found;
        for (size_t index = 0; index < m_options.daemons; ++index) {
            if (simulation().isAlive(index)) {
                const std::string seen(health::toString(simulation().stateOf(index, name)));
                found += seen == state ? "" : " " + std::to_string(index) + ":" + seen;
            }
        }
        addFinding(words, found.empty() ? state : found, found.empty());
    }

    //! Compares a measured value (shares in percent, latencies in ms) with the bound in the script.
    void compare(WordReader &words, double found)
    {
        const std::string relation = words.take("<=, >= or ==");
        const double bound = words.number("a number");
        bool isMet = false;
        if (relation == "<=") {
            isMet = found <= bound;
        } else if (relation == ">=") {
            isMet = found >= bound;
        } else if (relation == "==") {
            isMet = found == bound;
        } else {
            words.fail("<=, >= or ==");
        }
        addFinding(words, std::to_string(found), isMet);
    }

    void addFinding(const WordReader &words, std::string found, bool isMet)
    {
        m_findings.push_back({.location = words.location(),
                              .expectation = words.text(),
                              .found = std::move(found),
                              .isMet = isMet});
    }

    std::string m_folder;
    SimulationOptions m_options;
    Json m_file;
    int m_lastPort = 0;
    std::unique_ptr<FleetSimulation> m_simulation;
    model::TimePoint m_startedAt;
    std::vector<ExpectationResult> m_findings;
};

} // namespace

std::vector<ExpectationResult> runScenarioText(const std::string &text, const std::string &name,
                                               const std::string &folder)
{
    Interpreter interpreter(folder);
    interpreter.runText(text, name);
    return interpreter.takeFindings();
}

std::vector<ExpectationResult> runScenario(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw ScenarioError(path, "", "a file that can be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    const size_t slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash);
    return runScenarioText(text.str(), path.substr(slash + 1), folder);
}

} // namespace citronpick::testing
