#include "timelinemerge.h"

#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace citronpick::ctl
{

namespace
{

constexpr int laneHeightPx = 40;
constexpr int laneNameWidthPx = 140;
constexpr int drawingWidthPx = 1000;

std::string escapeXml(const std::string &text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

std::string colourOf(const std::string &level)
{
    if (level == "error") {
        return "#c0392b";
    }
    if (level == "warning") {
        return "#e67e22";
    }
    return level == "info" ? "#2980b9" : "#95a5a6";
}

} // namespace

nlohmann::json mergeTimelines(const std::vector<nlohmann::json> &pages)
{
    std::vector<nlohmann::json> entries;
    for (const nlohmann::json &page : pages) {
        int64_t latestUs = 0;
        for (nlohmann::json entry : page.at("events")) {
            // Keeps the events of one daemon in order if its wall clock was set back.
            latestUs = std::max(latestUs, entry.at("wallUs").get<int64_t>());
            entry["orderUs"] = latestUs;
            entry["daemon"] = page.at("daemon");
            entry["incarnation"] = page.at("incarnation");
            entries.push_back(std::move(entry));
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
        return left.at("orderUs").template get<int64_t>()
               < right.at("orderUs").template get<int64_t>();
    });
    return entries;
}

std::string formatTimelineSvg(const nlohmann::json &merged)
{
    std::map<std::string, int> lanes;
    for (const auto &entry : merged) {
        lanes.emplace(entry.at("daemon"), 0);
    }
    int lane = 0;
    for (auto &[daemon, position] : lanes) {
        position = lane++;
    }
    const int64_t first = merged.empty() ? 0 : merged.front().at("orderUs").get<int64_t>();
    const int64_t last = merged.empty() ? 1 : merged.back().at("orderUs").get<int64_t>();
    const double span = std::max<double>(1.0, static_cast<double>(last - first));
    std::string svg = absl::StrCat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" font-size=\"12\" "
        "width=\"",
        laneNameWidthPx + drawingWidthPx + 20, "\" height=\"", laneHeightPx * (lane + 1), "\">\n");
    for (const auto &[daemon, position] : lanes) {
        const int middle = laneHeightPx * position + laneHeightPx / 2;
        absl::StrAppend(&svg, "<text x=\"4\" y=\"", middle + 4, "\">", escapeXml(daemon),
                        "</text><line x1=\"", laneNameWidthPx, "\" x2=\"",
                        laneNameWidthPx + drawingWidthPx, "\" y1=\"", middle, "\" y2=\"", middle,
                        "\" stroke=\"#ccc\"/>\n");
    }
    for (const auto &entry : merged) {
        const double fraction
            = static_cast<double>(entry.at("orderUs").get<int64_t>() - first) / span;
        const int middle = laneHeightPx * lanes.at(entry.at("daemon")) + laneHeightPx / 2;
        const std::string title = absl::StrCat(
            entry.at("code").get<int>(), " ", entry.at("name").get<std::string>(), " ",
            entry.at("subject").get<std::string>(), " ", entry.at("detail").get<std::string>());
        absl::StrAppend(&svg, "<circle r=\"5\" cx=\"", laneNameWidthPx + fraction * drawingWidthPx,
                        "\" cy=\"", middle, "\" fill=\"",
                        colourOf(entry.at("level").get<std::string>()), "\"><title>",
                        escapeXml(title), "</title></circle>\n");
    }
    absl::StrAppend(&svg, "<text x=\"", laneNameWidthPx, "\" y=\"", laneHeightPx * lane + 20, "\">",
                    span / 1e6, " s</text>\n</svg>\n");
    return svg;
}

} // namespace citronpick::ctl
