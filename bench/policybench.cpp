#include <cstdio>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "support/experiments.h"

ABSL_FLAG(uint64_t, seed, 1, "Random seed of the load and the faults.");
ABSL_FLAG(std::string, only, "", "Name of the only experiment to run; empty runs all.");

// Runs each experiment with the product's policy and with the baseline policy, both with the same
// seed, and prints the results as a Markdown table.
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
