#include <cmath>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include "net/fleetcodec.h"
#include "support/experiments.h"
#include "support/fleetsimulation.h"

ABSL_FLAG(std::string, sizes, "6,24,96,370", "Comma-separated numbers of daemons to measure with.");

namespace
{

using namespace citronpick;
using namespace citronpick::testing;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

//! Simulated seconds until the condition holds on all live daemons; -1 if it does not within 60 s.
template<typename Condition>
double secondsUntil(FleetSimulation &simulation, size_t daemons, Condition holds)
{
    const model::TimePoint start = simulation.now();
    while (simulation.now() - start < model::seconds(60)) {
        bool holdsEverywhere = true;
        for (size_t daemon = 0; daemon < daemons && holdsEverywhere; ++daemon) {
            holdsEverywhere = !simulation.isAlive(daemon) || holds(simulation.core(daemon));
        }
        if (holdsEverywhere) {
            return model::toSeconds(simulation.now() - start);
        }
        simulation.runFor(model::milliseconds(20));
    }
    return -1.0;
}

double bytesSent(FleetSimulation &simulation, size_t daemons)
{
    double bytes = 0.0;
    for (size_t daemon = 0; daemon < daemons; ++daemon) {
        bytes += simulation.isAlive(daemon)
                     ? static_cast<double>(simulation.core(daemon).fleet().sentBytesEstimate())
                     : 0.0;
    }
    return bytes;
}

void measureFleet(size_t daemons)
{
    SimulationOptions options;
    options.daemons = daemons;
    options.zones = {"a", "b", "c", "d", "e", "f", "g"};
    options.pipelines = onePoolConfiguration(10, 16);
    FleetSimulation simulation(options);
    const double joinSeconds = secondsUntil(simulation, daemons, [&](const core::Core &core) {
        return core.fleet().members().usableCount() == daemons;
    });
    simulation.runFor(model::seconds(30));
    // Cost of the exchange between daemons while nothing changes.
    const double bytesBefore = bytesSent(simulation, daemons);
    const uint64_t messagesBefore = simulation.peerMessages();
    const double cpuBefore = cpuSeconds();
    constexpr double idleSeconds = 20.0;
    simulation.runFor(model::seconds(20));
    const auto daemonSeconds = static_cast<double>(daemons) * idleSeconds;
    const double bytes = (bytesSent(simulation, daemons) - bytesBefore) / daemonSeconds;
    const double messages
        = static_cast<double>(simulation.peerMessages() - messagesBefore) / daemonSeconds;
    const double cpu = (cpuSeconds() - cpuBefore) / daemonSeconds;
    // Only daemon 0 reads revision 2 from the platform: the others are paused while it is
    // published, and the platform is down when they resume, so the revision has to reach them from
    // their peers.
    for (size_t daemon = 1; daemon < daemons; ++daemon) {
        simulation.pause(daemon, model::milliseconds(30));
    }
    simulation.publish(2, onePoolConfiguration(10, 8));
    simulation.runFor(model::milliseconds(20));
    simulation.setPlatformDown(true);
    const double configurationSeconds
        = secondsUntil(simulation, daemons, [](const core::Core &core) {
              return core.revisions().revision() == model::Revision(2);
          });
    // Time until all daemons know the crash reports of a crashing request. A crash report records
    // that an upstream connection was lost while the upstream ran the request.
    Submission crashingRequest {.route = "call", .label = "poison", .body = "poison"};
    for (auto &[name, upstream] : simulation.upstreams()) {
        upstream->setBehaviour({.crashWord = "poison"});
    }
    simulation.submit(0, crashingRequest);
    const double reportSeconds = secondsUntil(simulation, daemons, [](const core::Core &core) {
        size_t crashes = 0;
        for (const auto &[key, row] : core.fleet().facts().rows()) {
            crashes += std::holds_alternative<fleet::CrashFact>(row.fact.body) ? 1 : 0;
        }
        return crashes >= 2;
    });
    simulation.kill(daemons / 2);
    const model::DaemonId killedDaemon("d" + std::to_string(daemons / 2));
    const double deathSeconds = secondsUntil(simulation, daemons, [&](const core::Core &core) {
        const auto *row = core.fleet().members().find(killedDaemon);
        return row && row->member.state == fleet::MemberState::Dead;
    });
    std::printf("| %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.3f |\n", daemons, joinSeconds,
                configurationSeconds, reportSeconds, deathSeconds, messages, bytes, cpu * 100.0);
    std::fflush(stdout);
}

void measureCodec()
{
    fleet::FleetMessage message;
    message.from = {.id = model::DaemonId("daemon-100"),
                    .incarnation = model::Incarnation(1796363460535133),
                    .zone = model::ZoneId("zone-a"),
                    .fleet = {.host = "10.100.100.100", .port = 18002},
                    .caller = {.host = "10.100.100.100", .port = 18000}};
    for (const size_t facts : {0U, 10U, 100U}) {
        message.facts.clear();
        for (size_t i = 0; i < facts; ++i) {
            message.facts.push_back(
                {.origin = message.from.id,
                 .incarnation = message.from.incarnation,
                 .version = i,
                 .body
                 = fleet::DemandFact {.account = model::AccountId("account-" + std::to_string(i)),
                                      .requestsPerSecond = 1.5 + static_cast<double>(i)}});
        }
        constexpr int rounds = 500;
        const double before = cpuSeconds();
        size_t bytes = 0;
        for (int round = 0; round < rounds; ++round) {
            const std::string encoded = net::encodeFleetCall(message);
            bytes = encoded.size();
            if (!net::decodeFleetCall(encoded).ok()) {
                return;
            }
        }
        std::printf("message with %zu facts: %zu bytes, %.0f us to write and read\n", facts, bytes,
                    (cpuSeconds() - before) / rounds * 1e6);
    }
}

} // namespace

// Measures by number of daemons how fast the state exchange between daemons converges and what it
// costs, with simulated daemons in one process. Also measures the size of a fleet message and the
// time to encode and decode it.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    measureCodec();
    std::printf(
        "\n| daemons | all joined s | file everywhere s | strike everywhere s | death known s "
        "| exchanges/s each | bytes/s each | %% of a core each |\n"
        "|---|---|---|---|---|---|---|---|\n");
    const std::string sizes = absl::GetFlag(FLAGS_sizes);
    for (const auto &size : absl::StrSplit(sizes, ',')) {
        measureFleet(std::stoul(std::string(size)));
    }
    return 0;
}
