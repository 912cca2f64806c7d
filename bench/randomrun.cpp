#include <cstdio>
#include <cstdlib>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "support/randomrun.h"

ABSL_FLAG(std::string, seeds, "1-100", "First and last seed.");
ABSL_FLAG(int, steps, 40, "Steps of each run.");

// Long randomised runs; prints the trace of each seed that breaks a promise.
int main(int argc, char **argv)
{
    using namespace citronpick::testing;
    absl::ParseCommandLine(argc, argv);
    const std::string seeds = absl::GetFlag(FLAGS_seeds);
    const size_t dash = seeds.find('-');
    const uint64_t first = std::strtoull(seeds.c_str(), nullptr, 10);
    const uint64_t last
        = dash == std::string::npos ? first : std::strtoull(seeds.c_str() + dash + 1, nullptr, 10);
    const int steps = absl::GetFlag(FLAGS_steps);
    const uint64_t count = last - first + 1;
    uint64_t broken = 0;
    uint64_t requests = 0;
    for (uint64_t seed = first; seed <= last; ++seed) {
        const RandomRunReport report = runRandomly(seed, steps);
        requests += report.requests;
        if (report.isSound) {
            continue;
        }
        ++broken;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), report.fault.c_str());
        for (const std::string &line : report.trace) {
            std::printf("    %s\n", line.c_str());
        }
        std::printf("repeat: %s\n", repeatCommand(seed, steps).c_str());
    }
    std::printf("%llu seeds, %llu requests, %llu broken\n", static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(requests), static_cast<unsigned long long>(broken));
    return broken == 0 ? 0 : 1;
}
