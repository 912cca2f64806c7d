#include <cstdio>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "support/experiments.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of load and faults.");
ABSL_FLAG(std::string, only, "", "Name of the one experiment to run.");

// Prints each experiment's figures, the product's policy beside the baseline.
int main(int argc, char **argv)
{
    using namespace citronpick::testing;
    absl::ParseCommandLine(argc, argv);
    const uint64_t seed = absl::GetFlag(FLAGS_seed);
    const std::string only = absl::GetFlag(FLAGS_only);
    std::printf("| experiment | figure | product | baseline |\n|---|---|---|---|\n");
    for (const Experiment &experiment : experiments()) {
        if (!only.empty() && only != experiment.name) {
            continue;
        }
        const Figures product = experiment.run(Policy::Product, seed);
        const Figures baseline = experiment.run(Policy::Baseline, seed);
        for (const Figure &figure : product.all()) {
            std::printf("| %s | %s | %.3f | %.3f |\n", experiment.name, figure.name.c_str(),
                        figure.value, baseline.at(figure.name));
        }
        std::fflush(stdout);
    }
    return 0;
}
