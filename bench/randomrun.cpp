#include <cstdio>
#include <cstdlib>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "support/randomrun.h"

ABSL_FLAG(std::string, seeds, "1-100",
          "A single seed, or an inclusive range of seeds as FIRST-LAST.");
ABSL_FLAG(int, steps, 40, "Number of steps in each run.");

// Runs the randomised fault-injection test with a range of seeds. For each seed that violates an
// invariant, prints the trace and the command that repeats the run. Exits with 1 if there was one.
int main(int argc, char **argv)
{
    using namespace citronpick::testing;
    absl::ParseCommandLine(argc, argv);
    const std::string seedRange = absl::GetFlag(FLAGS_seeds);
    const size_t dash = seedRange.find('-');
    const uint64_t firstSeed = std::strtoull(seedRange.c_str(), nullptr, 10);
    const uint64_t lastSeed = dash == std::string::npos
                                  ? firstSeed
                                  : std::strtoull(seedRange.c_str() + dash + 1, nullptr, 10);
    const int steps = absl::GetFlag(FLAGS_steps);
    const uint64_t seedCount = lastSeed - firstSeed + 1;
    uint64_t failedSeeds = 0;
    uint64_t totalRequests = 0;
    for (uint64_t seed = firstSeed; seed <= lastSeed; ++seed) {
        const RandomRunReport report = runRandomly(seed, steps);
        totalRequests += report.requests;
        if (report.hasPassed) {
            continue;
        }
        ++failedSeeds;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                    report.failure.c_str());
        for (const std::string &line : report.trace) {
            std::printf("    %s\n", line.c_str());
        }
        std::printf("repeat: %s\n", repeatCommand(seed, steps).c_str());
    }
    std::printf("%llu seeds, %llu requests, %llu broken\n",
                static_cast<unsigned long long>(seedCount),
                static_cast<unsigned long long>(totalRequests),
                static_cast<unsigned long long>(failedSeeds));
    return failedSeeds == 0 ? 0 : 1;
}
