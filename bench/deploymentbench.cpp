#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "support/scenario.h"

ABSL_FLAG(std::string, svg, "", "Path of an SVG bar chart to write; empty writes none.");

namespace
{

using citronpick::testing::ExpectationResult;

struct Row {
    std::string measure;
    double product = 0.0;
    double baseline = 0.0;
};

std::vector<ExpectationResult> runScenarioWithPolicy(const std::string &policy,
                                                     const std::string &name)
{
    std::ifstream file(std::string(MEASURE_FOLDER) + "/" + name);
    std::stringstream text;
    text << "policy " << policy << "\n" << file.rdbuf();
    return citronpick::testing::runScenarioText(text.str(), name, SCENARIO_FOLDER);
}

//! Writes an SVG bar chart with two bars per row, scaled to the larger value of the row.
void writeBarChart(const std::string &path, const std::vector<Row> &rows)
{
    constexpr int rowHeight = 34;
    constexpr int textWidth = 430;
    constexpr int barWidth = 360;
    std::ofstream svg(path);
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" font-size=\"12\" "
        << "width=\"" << textWidth + barWidth + 110 << "\" height=\""
        << rowHeight * static_cast<int>(rows.size()) + 30 << "\">\n"
        << "<text x=\"4\" y=\"16\">product <tspan fill=\"#2980b9\">blue</tspan>, "
        << "baseline <tspan fill=\"#95a5a6\">grey</tspan></text>\n";
    int y = 26;
    for (const Row &row : rows) {
        const double largest = std::max({row.product, row.baseline, 1e-9});
        svg << "<text x=\"4\" y=\"" << y + 16 << "\">" << row.measure << "</text>\n";
        int barOffset = 0;
        for (const auto &[value, colour] :
             {std::pair(row.product, "#2980b9"), std::pair(row.baseline, "#95a5a6")}) {
            svg << "<rect x=\"" << textWidth << "\" y=\"" << y + barOffset
                << "\" height=\"11\" width=\"" << value / largest * barWidth << "\" fill=\""
                << colour << "\"/><text x=\"" << textWidth + value / largest * barWidth + 6
                << "\" y=\"" << y + barOffset + 10 << "\" font-size=\"10\">" << value
                << "</text>\n";
            barOffset += 13;
        }
        y += rowHeight;
    }
    svg << "</svg>\n";
}

} // namespace

// Runs the load scenarios of both deployments with the product's policy and with the baseline
// policy, with the same seeds, and prints the measures that matter to users as a Markdown table.
// Shares are in percent, latencies and costs in milliseconds.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<Row> rows;
    std::printf("| run | measure | product | baseline |\n|---|---|---|---|\n");
    for (const std::string name :
         {"siam-ordinary", "siam-crest", "siam-slowed", "frostline-ordinary",
          "frostline-head-of-line", "frostline-slowed"}) {
        const auto product = runScenarioWithPolicy("product", name + ".scn");
        const auto baseline = runScenarioWithPolicy("baseline", name + ".scn");
        for (size_t i = 0; i < product.size(); ++i) {
            const std::string expectationText = product[i].expectation;
            const size_t begin = expectationText.find(' ') + 1;
            const size_t end = expectationText.find_first_of("<>=") - 1;
            const Row row {.measure = name + ": " + expectationText.substr(begin, end - begin),
                           .product = std::strtod(product[i].found.c_str(), nullptr),
                           .baseline = std::strtod(baseline[i].found.c_str(), nullptr)};
            std::printf("| %s | %s | %.1f | %.1f |\n", name.c_str(),
                        expectationText.substr(begin, end - begin).c_str(), row.product,
                        row.baseline);
            rows.push_back(row);
        }
        std::fflush(stdout);
    }
    if (const std::string path = absl::GetFlag(FLAGS_svg); !path.empty()) {
        writeBarChart(path, rows);
    }
    return 0;
}
