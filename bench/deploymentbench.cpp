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

ABSL_FLAG(std::string, svg, "", "Also draw the figures into this file.");

namespace
{

using citronpick::testing::Finding;

struct Row {
    std::string measure;
    double product = 0.0;
    double baseline = 0.0;
};

std::vector<Finding> runWith(const std::string &policy, const std::string &name)
{
    std::ifstream file(std::string(MEASURE_FOLDER) + "/" + name);
    std::stringstream text;
    text << "policy " << policy << "\n" << file.rdbuf();
    return citronpick::testing::runScenarioText(text.str(), name, SCENARIO_FOLDER);
}

//! Two bars a row, each as long as its part of the row's larger figure.
void draw(const std::string &path, const std::vector<Row> &rows)
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
        int offset = 0;
        for (const auto &[value, colour] :
             {std::pair(row.product, "#2980b9"), std::pair(row.baseline, "#95a5a6")}) {
            svg << "<rect x=\"" << textWidth << "\" y=\"" << y + offset
                << "\" height=\"11\" width=\"" << value / largest * barWidth << "\" fill=\""
                << colour << "\"/><text x=\"" << textWidth + value / largest * barWidth + 6
                << "\" y=\"" << y + offset + 10 << "\" font-size=\"10\">" << value << "</text>\n";
            offset += 13;
        }
        y += rowHeight;
    }
    svg << "</svg>\n";
}

} // namespace

// The users' measures for both deployments, the product's policy beside the baseline from the same
// seeds. Shares in percent, latencies and costs in milliseconds.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<Row> rows;
    std::printf("| run | measure | product | baseline |\n|---|---|---|---|\n");
    for (const std::string name :
         {"siam-ordinary", "siam-crest", "siam-slowed", "frostline-ordinary",
          "frostline-head-of-line", "frostline-slowed"}) {
        const auto product = runWith("product", name + ".scn");
        const auto baseline = runWith("baseline", name + ".scn");
        for (size_t i = 0; i < product.size(); ++i) {
            const std::string words = product[i].expectation;
            const size_t begin = words.find(' ') + 1;
            const size_t end = words.find_first_of("<>=") - 1;
            const Row row {.measure = name + ": " + words.substr(begin, end - begin),
                           .product = std::strtod(product[i].found.c_str(), nullptr),
                           .baseline = std::strtod(baseline[i].found.c_str(), nullptr)};
            std::printf("| %s | %s | %.1f | %.1f |\n", name.c_str(),
                        words.substr(begin, end - begin).c_str(), row.product, row.baseline);
            rows.push_back(row);
        }
        std::fflush(stdout);
    }
    if (const std::string path = absl::GetFlag(FLAGS_svg); !path.empty()) {
        draw(path, rows);
    }
    return 0;
}
