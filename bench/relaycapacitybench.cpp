#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "daemon/internal/listingcodec.h"
#include "daemon/internal/stagejobcodec.h"
#include "relay/relaysystem.h"

// Measures heap use or message size and CPU time of the relay's components at several sizes, and
// the cost per unit as the slope between the smallest and the largest size. docs/CAPACITY.md
// multiplies these slopes by the sizes of the target deployment.

namespace
{

using namespace citronpick;
using namespace citronpick::relay;

const model::PoolId stagePool("stages");
const model::PoolId enginePool("engines");

double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct Cost {
    double bytes = 0.0;
    double microseconds = 0.0;
};

void report(const char *role, const char *unit, const std::vector<size_t> &sizes,
            const std::function<Cost(size_t)> &measure)
{
    std::vector<Cost> costs;
    costs.reserve(sizes.size());
    for (const size_t size : sizes) {
        costs.push_back(measure(size));
    }
    const auto sizeRange = static_cast<double>(sizes.back() - sizes.front());
    std::printf("| %s | %s | ", role, unit);
    for (size_t i = 0; i < sizes.size(); ++i) {
        std::printf("%zu: %.0f B, %.1f us%s", sizes[i], costs[i].bytes, costs[i].microseconds,
                    i + 1 < sizes.size() ? "; " : "");
    }
    std::printf(" | %.0f B | %.3f us |\n", (costs.back().bytes - costs.front().bytes) / sizeRange,
                (costs.back().microseconds - costs.front().microseconds) / sizeRange);
}

UpstreamListing listing(const model::PoolId &pool, size_t number)
{
    return {.id = model::UpstreamId(absl::StrCat("i-", pool.text(), number)),
            .pool = pool,
            .address = {.host = "10.0.0.1", .port = 80},
            .zone = model::ZoneId(absl::StrCat("z", number % 3)),
            .slots = 64};
}

RelayConfigurationPtr configuration()
{
    ConfigurationContent content {.revision = model::Revision(1)};
    content.routes.push_back({.id = model::RouteId("r"),
                              .host = "h",
                              .prefix = "/",
                              .kind = RequestKind::Stream,
                              .timeout = model::seconds(8),
                              .latencyTarget = model::seconds(2),
                              .pools = {{.pool = enginePool}}});
    content.pools = {{.id = enginePool},
                     {.id = stagePool,
                      .batch = BatchRule {.maxItems = 30,
                                          .callTime = model::milliseconds(200),
                                          .itemTime = model::milliseconds(5)}}};
    return std::make_shared<RelayConfiguration>(std::move(content));
}

Cost measureDirectory(size_t upstreams)
{
    const double before = heapBytes();
    const double start = cpuMicroseconds();
    UpstreamDirectory directory;
    for (size_t i = 0; i < upstreams; ++i) {
        directory.apply(listing(enginePool, i));
    }
    return {.bytes = heapBytes() - before, .microseconds = cpuMicroseconds() - start};
}

//! CPU time of one request without stages, from its arrival to its answer.
Cost measureRequest(size_t upstreams)
{
    RelaySystem system({.daemon = model::DaemonId("d")});
    system.setConfiguration(configuration());
    for (size_t i = 0; i < upstreams; ++i) {
        system.upstreams().apply(listing(enginePool, i));
    }
    constexpr uint64_t requests = 2000;
    const model::TimePoint now(model::seconds(1));
    const double start = cpuMicroseconds();
    for (uint64_t i = 1; i <= requests; ++i) {
        system.onRequestArrived({.request = model::RequestId(i),
                                 .callerId = model::CallerRequestId("c"),
                                 .host = "h",
                                 .path = "/x",
                                 .startedAt = now,
                                 .promptParts = {{.id = absl::StrCat(i % 100), .tokens = 100},
                                                 {.id = "own", .tokens = 100}},
                                 .promptTokens = 200},
                                now);
        for (const RelayCommand &command : system.takeCommands()) {
            if (const auto *attempt = std::get_if<StartAttempt>(&command)) {
                system.onAttemptHead(attempt->attempt,
                                     {.status = 200, .hasProvenance = true, .matchesRequest = true},
                                     now);
                system.onAttemptEnd(attempt->attempt, now);
            }
        }
        system.takeCommands();
    }
    const double elapsed = cpuMicroseconds() - start;
    if (system.counters().answersForwarded != requests) {
        std::fprintf(stderr, "request through the relay: only %lu of %lu requests were answered\n",
                     static_cast<unsigned long>(system.counters().answersForwarded),
                     static_cast<unsigned long>(requests));
    }
    return {.microseconds = elapsed / requests};
}

//! Heap use of waiting jobs, and CPU time of one scheduler run while all upstreams are busy.
Cost measureWaitingJobs(size_t jobs)
{
    UpstreamDirectory directory;
    BatchScheduler scheduler(directory);
    scheduler.setConfiguration(configuration());
    for (size_t i = 0; i < 15; ++i) {
        directory.apply(listing(stagePool, i));
    }
    const model::TimePoint start(model::seconds(1));
    const double before = heapBytes();
    for (size_t i = 0; i < jobs; ++i) {
        scheduler.submit({.pool = stagePool,
                          .request = model::CallerRequestId(absl::StrCat("request-", i)),
                          .pieceCount = 6,
                          .inputs = {"10.0.0.1:8080/5c1e07a2e440"},
                          .due = start + model::seconds(2),
                          .deadline = start + model::seconds(600)},
                         start);
    }
    const double bytes = heapBytes() - before;
    constexpr int runs = 20;
    const double runsStart = cpuMicroseconds();
    for (int i = 1; i <= runs; ++i) {
        scheduler.run(start + model::milliseconds(int64_t {100} * i));
    }
    return {.bytes = bytes, .microseconds = (cpuMicroseconds() - runsStart) / runs};
}

//! Message size and CPU time to encode and decode a stage job that is forwarded to another daemon,
//! and its result.
Cost measureForwardedStage(size_t inputs)
{
    StageJob job {.pool = stagePool, .request = model::CallerRequestId("9c41d07be2a35f68")};
    for (size_t i = 0; i < inputs; ++i) {
        job.inputs.push_back(absl::StrCat("10.1.64.9:8080/5c1e07a2e4", i));
    }
    constexpr int rounds = 500;
    size_t bytes = 0;
    const double start = cpuMicroseconds();
    for (int i = 0; i < rounds; ++i) {
        const std::string encodedJob = daemon::encodeStageJob(job, {});
        bytes = encodedJob.size();
        const auto decodedJob = daemon::decodeStageJob(encodedJob, {});
        const std::string encodedResult = daemon::encodeJobResult({.handles = job.inputs});
        bytes += encodedResult.size();
        static_cast<void>(daemon::decodeJobResult(encodedResult));
        static_cast<void>(decodedJob);
    }
    return {.bytes = static_cast<double>(bytes),
            .microseconds = (cpuMicroseconds() - start) / rounds};
}

//! Message size and CPU time to encode and decode the upstream listing that a daemon fetches from a
//! peer when it cannot read the registry.
Cost measureListing(size_t upstreams)
{
    registry::RegistryPage page {.revision = 9};
    for (size_t i = 0; i < upstreams; ++i) {
        page.items.push_back(
            {.key = absl::StrCat("servers/i-", i), .value = std::string(250, 'x'), .revision = i});
    }
    documents::TextHistory texts;
    const double start = cpuMicroseconds();
    const std::string encoded = daemon::encodeListing({.page = page}, texts, {});
    static_cast<void>(daemon::decodeListing(encoded, texts));
    return {.bytes = static_cast<double>(encoded.size()),
            .microseconds = cpuMicroseconds() - start};
}

} // namespace

int main()
{
    std::printf("| role | unit | sizes | bytes a unit | time a unit |\n|---|---|---|---|---|\n");
    report("directory of upstreams", "upstream", {50, 200, 820}, &measureDirectory);
    report("request through the relay", "upstream in the pool", {10, 40, 160}, &measureRequest);
    report("scheduling turn", "waiting job", {50, 200, 800}, &measureWaitingJobs);
    report("stage handed to a peer", "input", {1, 6, 30}, &measureForwardedStage);
    report("listing taken from a peer", "upstream", {50, 200, 820}, &measureListing);
    return 0;
}
