#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "admission/accountlimits.h"
#include "core/core.h"
#include "documents/readschedule.h"
#include "fleet/facttable.h"
#include "fleet/membertable.h"
#include "observability/timeline.h"
#include "operations/operationtable.h"
#include "support/experiments.h"

// Measures heap use and CPU time of each component at several sizes, and the cost per unit as the
// slope between the smallest and the largest size. docs/CAPACITY.md multiplies these slopes by the
// sizes of the target deployment.

namespace
{

using namespace citronpick;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct Cost {
    double bytes = 0.0;
    double microseconds = 0.0;
};

using Measure = std::function<Cost(size_t)>;

void report(const char *role, const char *unit, const std::vector<size_t> &sizes,
            const Measure &measure)
{
    std::vector<Cost> costs;
    costs.reserve(sizes.size());
    for (const size_t size : sizes) {
        costs.push_back(measure(size));
    }
    const auto sizeRange = static_cast<double>(sizes.back() - sizes.front());
    const double bytes = (costs.back().bytes - costs.front().bytes) / sizeRange;
    const double time = (costs.back().microseconds - costs.front().microseconds) / sizeRange;
    std::printf("| %s | %s | ", role, unit);
    for (size_t i = 0; i < sizes.size(); ++i) {
        std::printf("%zu: %.0f B, %.1f us%s", sizes[i], costs[i].bytes, costs[i].microseconds,
                    i + 1 < sizes.size() ? "; " : "");
    }
    std::printf(" | %.0f B | %.3f us |\n", bytes, time);
    std::fflush(stdout);
}

std::string numberedName(const char *prefix, size_t number)
{
    return prefix + std::to_string(number);
}

std::string configurationWith(size_t upstreams, size_t accounts)
{
    nlohmann::json file = nlohmann::json::parse(testing::onePoolConfiguration(upstreams, 16));
    for (size_t i = 0; i < accounts; ++i) {
        file["accounts"].push_back(
            {{"name", numberedName("account-", i)}, {"requestsPerSecond", 10}});
    }
    return file.dump();
}

//! Drives a core with an active configuration on a manual clock.
class CoreDriver
{
public:
    explicit CoreDriver(const std::string &file)
        : m_core({.daemon = model::DaemonId("d"), .incarnation = model::Incarnation(1)}, m_now)
    {
        handle(core::ConfigurationOffered {.file = {.revision = model::Revision(1), .text = file}});
        advance(model::seconds(3));
    }

    core::CommandList &handle(const core::Event &event)
    {
        m_commands.clear();
        m_core.handle(event, m_now, m_commands);
        return m_commands;
    }

    void advance(model::Duration duration)
    {
        m_now += duration;
        handle(core::Tick {});
    }

    //! Handles one request from its arrival to its answer.
    void serve()
    {
        const auto request = model::RequestId(++m_lastRequest);
        handle(pipeline::RequestArrived {.request = request,
                                         .callerId = model::CallerRequestId("r"),
                                         .account = model::AccountId("acme"),
                                         .route = model::RouteId("call"),
                                         .body = m_body});
        m_now += model::milliseconds(50);
        for (const core::Command &command : core::CommandList(m_commands)) {
            if (const auto *start = std::get_if<pipeline::StartAttempt>(&command)) {
                handle(pipeline::AttemptAnswered {
                    .attempt = start->attempt, .status = 200, .body = m_body});
            }
        }
    }

    core::Core &core()
    {
        return m_core;
    }

private:
    model::TimePoint m_now {model::seconds(100)};
    core::Core m_core;
    core::CommandList m_commands;
    model::BodyPtr m_body = model::makeBody(std::string(1024, 'x'));
    uint64_t m_lastRequest = 0;
};

Cost measureUpstreams(size_t upstreams)
{
    const std::string file = configurationWith(upstreams, 0);
    const double before = heapBytes();
    CoreDriver driver(file);
    const double bytes = heapBytes() - before;
    constexpr int ticks = 2000;
    const double start = cpuSeconds();
    for (int i = 0; i < ticks; ++i) {
        driver.advance(model::milliseconds(100));
    }
    return {.bytes = bytes, .microseconds = (cpuSeconds() - start) / ticks * 1e6};
}

Cost measureRequests(size_t upstreams)
{
    CoreDriver driver(configurationWith(upstreams, 0));
    constexpr int requests = 20000;
    const double start = cpuSeconds();
    for (int i = 0; i < requests; ++i) {
        driver.serve();
    }
    return {.bytes = 0.0, .microseconds = (cpuSeconds() - start) / requests * 1e6};
}

Cost measureWaitingRequests(size_t waiting)
{
    CoreDriver driver(configurationWith(1, 0));
    const double before = heapBytes();
    const double start = cpuSeconds();
    for (size_t i = 0; i < waiting; ++i) {
        driver.handle(pipeline::RequestArrived {.request = model::RequestId(1000000 + i),
                                                .callerId = model::CallerRequestId("r"),
                                                .account = model::AccountId("acme"),
                                                .route = model::RouteId("call"),
                                                .budget = model::seconds(600),
                                                .body = model::makeBody(std::string(1024, 'x'))});
    }
    return {.bytes = heapBytes() - before, .microseconds = (cpuSeconds() - start) * 1e6};
}

Cost measureConfigurationParsing(size_t kilobytes)
{
    size_t accounts = 1;
    std::string file;
    constexpr size_t bytesPerAccount = 46;
    accounts = kilobytes * 1024 / bytesPerAccount;
    file = configurationWith(100, accounts);
    const double before = heapBytes();
    const double start = cpuSeconds();
    const auto parsed = config::parseConfiguration(file);
    const double seconds = cpuSeconds() - start;
    return {.bytes = heapBytes() - before, .microseconds = parsed.ok() ? seconds * 1e6 : -1.0};
}

class FullAccountShare : public admission::IAccountShare
{
public:
    double share(const model::AccountId &) const override
    {
        return 1.0;
    }
};

Cost measureAccounts(size_t accounts)
{
    const FullAccountShare share;
    admission::AccountLimits limits(share);
    const double before = heapBytes();
    model::TimePoint now {model::seconds(1)};
    limits.demands(now);
    for (size_t i = 0; i < accounts; ++i) {
        const config::AccountConfig account {.id = model::AccountId(numberedName("account-", i)),
                                             .requestsPerSecond = 10};
        static_cast<void>(limits.admit(account, now));
    }
    const double bytes = heapBytes() - before;
    const double start = cpuSeconds();
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i) {
        now += model::milliseconds(100);
        static_cast<void>(limits.demands(now));
    }
    return {.bytes = bytes, .microseconds = (cpuSeconds() - start) / rounds * 1e6};
}

Cost measureOperationKeys(size_t keys)
{
    operations::OperationTable table({}, model::DaemonId("d"), model::Incarnation(1), "secret");
    const model::TimePoint now {model::seconds(1)};
    const double before = heapBytes();
    const double start = cpuSeconds();
    for (size_t i = 0; i < keys; ++i) {
        static_cast<void>(table.open(now));
    }
    return {.bytes = heapBytes() - before, .microseconds = (cpuSeconds() - start) * 1e6};
}

Cost measureMembers(size_t members)
{
    fleet::MemberTable table;
    const double before = heapBytes();
    const double start = cpuSeconds();
    for (size_t i = 0; i < members; ++i) {
        table.apply({.id = model::DaemonId(numberedName("daemon-", i)),
                     .incarnation = model::Incarnation(i + 1),
                     .zone = model::ZoneId("zone-a"),
                     .fleet = {.host = "10.100.100.100", .port = 1},
                     .caller = {.host = "10.100.100.100", .port = 2}},
                    model::TimePoint());
    }
    return {.bytes = heapBytes() - before, .microseconds = (cpuSeconds() - start) * 1e6};
}

Cost measureFacts(size_t facts)
{
    fleet::FactTable table;
    const double before = heapBytes();
    const double start = cpuSeconds();
    for (size_t i = 0; i < facts; ++i) {
        table.apply(
            {.origin = model::DaemonId(numberedName("daemon-", i % 370)),
             .incarnation = model::Incarnation(1),
             .version = i,
             .body = fleet::DemandFact {.account = model::AccountId(numberedName("account-", i)),
                                        .requestsPerSecond = 1.0}},
            model::TimePoint());
    }
    return {.bytes = heapBytes() - before, .microseconds = (cpuSeconds() - start) * 1e6};
}

Cost measureTimeline(size_t entries)
{
    observability::Timeline timeline(entries);
    const double before = heapBytes();
    const double start = cpuSeconds();
    for (size_t i = 0; i < entries; ++i) {
        timeline.add({.code = observability::EventCode::UpstreamEjected,
                      .request = model::CallerRequestId("request-1234567"),
                      .subject = "quote-model-12",
                      .detail = "from=active cause=failures relapses=0 step=0"},
                     0, model::TimePoint());
    }
    return {.bytes = heapBytes() - before, .microseconds = (cpuSeconds() - start) * 1e6};
}

//! Simulates the read schedules of all daemons through a platform outage and prints how many calls
//! they make to the platform in the busiest second and in the last one. The first second is left
//! out because all schedules are due at the start.
void reportPlatformCalls(size_t daemons)
{
    model::Random random(1);
    std::vector<documents::ReadSchedule> watches;
    std::vector<documents::ReadSchedule> instanceLists;
    for (size_t i = 0; i < daemons; ++i) {
        watches.emplace_back(
            documents::ReadScheduleOptions {.readInterval = model::milliseconds(20)},
            random.next64());
        instanceLists.emplace_back(documents::ReadScheduleOptions {}, random.next64());
    }
    constexpr int outageSeconds = 60;
    constexpr int totalSeconds = 90;
    int busiestSecondCalls = 0;
    int lastSecondCalls = 0;
    for (int second = 0; second < totalSeconds; ++second) {
        int calls = 0;
        for (int step = 0; step < 100; ++step) {
            const model::TimePoint now {model::seconds(second)
                                        + model::milliseconds(int64_t {step} * 10)};
            for (size_t i = 0; i < daemons; ++i) {
                for (auto *schedule : {&watches[i], &instanceLists[i]}) {
                    if (!schedule->isDue(now)) {
                        continue;
                    }
                    ++calls;
                    schedule->onStarted();
                    const bool isUp = second >= outageSeconds;
                    const bool isWatch = schedule == &watches[i];
                    if (!isUp) {
                        schedule->onFailed(now);
                    } else if (!isWatch) {
                        schedule->onSucceeded(now);
                    }
                    // An accepted watch stays pending until the configuration changes, so it
                    // makes no further calls.
                }
            }
        }
        busiestSecondCalls = second >= 1 ? std::max(busiestSecondCalls, calls) : busiestSecondCalls;
        lastSecondCalls = calls;
    }
    std::printf("platform calls of %zu daemons: busiest second %d (down for 60 s, then up), steady "
                "%d a second beside %zu waiting watches\n",
                daemons, busiestSecondCalls, lastSecondCalls, daemons);
}

} // namespace

int main()
{
    std::printf("| role | unit | sizes | state a unit | time a unit |\n|---|---|---|---|---|\n");
    report("health and upstream table, a run every 100 ms", "upstream", {50, 200, 820},
           &measureUpstreams);
    report("request through the core", "upstream in the pool", {10, 40, 160}, &measureRequests);
    report("waiting request of 1 KB", "request", {100, 1000, 4000}, &measureWaitingRequests);
    report("file taken over", "KB of text", {50, 250, 1000}, &measureConfigurationParsing);
    report("account limits, once a second", "active account", {250, 2500, 25000}, &measureAccounts);
    report("operation keys", "key", {500, 5000, 50000}, &measureOperationKeys);
    report("membership", "daemon", {37, 100, 370}, &measureMembers);
    report("facts", "fact", {200, 2000, 20000}, &measureFacts);
    report("time line", "event", {400, 1000, 4096}, &measureTimeline);
    for (const size_t daemons : {6U, 96U, 370U}) {
        reportPlatformCalls(daemons);
    }
    return 0;
}
