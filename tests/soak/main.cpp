#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "soak/soakrun.h"

ABSL_FLAG(std::string, daemon, "", "Path of citronpickd.");
ABSL_FLAG(std::string, deployment, "", "Path of the deployment description (JSON).");
ABSL_FLAG(std::string, folder, ".", "Folder for the daemons' settings and logs.");
ABSL_FLAG(uint32_t, daemons, 3, "Number of daemons.");
ABSL_FLAG(uint32_t, scale, 1, "Multiplies the deployment's upstreams and requests.");
ABSL_FLAG(uint32_t, base_port, 24000, "First of six ports that the daemons use.");
ABSL_FLAG(uint32_t, seconds, 12, "Time in seconds during which faults are injected.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the fault plan and of the callers' requests.");

// Runs one seeded fault plan against real daemons; see docs/SOAK.md.
int main(int argc, char **argv)
{
    using namespace citronpick;
    absl::SetProgramUsageMessage("Injects faults into running daemons and checks their promises.\n"
                                 "  citronpick-soak --daemon=FILE --deployment=FILE --seed=N");
    absl::ParseCommandLine(argc, argv);
    std::ifstream file(absl::GetFlag(FLAGS_deployment));
    std::stringstream text;
    text << file.rdbuf();
    auto spec = platform::standin::parseDeployment(text.str());
    constexpr int exitUsage = 2;
    if (!spec.ok()) {
        std::cerr << "citronpick-soak: " << spec.status().message() << '\n';
        return exitUsage;
    }
    const uint32_t scale = absl::GetFlag(FLAGS_scale);
    for (platform::standin::PoolSpec &pool : spec->pools) {
        pool.replicas *= scale;
    }
    for (platform::standin::RouteSpec &route : spec->routes) {
        route.requestsPerSecond *= scale;
    }
    soak::SoakRun run({.program = absl::GetFlag(FLAGS_daemon),
                       .folder = absl::GetFlag(FLAGS_folder),
                       .daemons = absl::GetFlag(FLAGS_daemons),
                       .basePort = absl::GetFlag(FLAGS_base_port),
                       .faultTime = model::seconds(absl::GetFlag(FLAGS_seconds)),
                       .seed = absl::GetFlag(FLAGS_seed)},
                      *std::move(spec));
    if (const absl::Status status = run.start(); !status.ok()) {
        std::cerr << "citronpick-soak: " << status.message() << '\n';
        return exitUsage;
    }
    return run.execute() ? 0 : 1;
}
