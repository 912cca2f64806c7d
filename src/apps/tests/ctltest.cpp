#include <catch2/catch.hpp>

#include "adminclient.h"
#include "table.h"
#include "timelinemerge.h"

using namespace citronpick::ctl;
using Json = nlohmann::json;

namespace
{

Json event(int64_t wallUs, const std::string &subject)
{
    return {
        {"wallUs", wallUs},           {"sequence", 1}, {"code", 302},        {"level", "warning"},
        {"name", "upstream-ejected"}, {"request", ""}, {"subject", subject}, {"detail", "<b>"}};
}

} // namespace

TEST_CASE("Time lines are merged by time and keep each daemon's own order")
{
    const std::vector<Json> pages {
        {{"daemon", "a"}, {"incarnation", 1}, {"events", {event(10, "a1"), event(30, "a2")}}},
        // This daemon's clock was set back between its events.
        {{"daemon", "b"}, {"incarnation", 2}, {"events", {event(20, "b1"), event(5, "b2")}}}};
    const Json merged = mergeTimelines(pages);
    std::string order;
    for (const Json &entry : merged) {
        order += entry.at("subject").get<std::string>() + " ";
    }
    CHECK(order == "a1 b1 b2 a2 ");
    const std::string svg = formatTimelineSvg(merged);
    CHECK(svg.find("<circle") != std::string::npos);
    CHECK(svg.find("<b>") == std::string::npos);
}

TEST_CASE("Tables align their columns and show what is missing")
{
    const Json rows {{{"name", "long-name"}, {"state", "active"}}, {{"name", "x"}}};
    CHECK(formatTable(rows, {"name", "state"})
          == "name       state\n"
             "long-name  active\n"
             "x          -\n");
}

TEST_CASE("Endpoints are read strictly")
{
    CHECK(parseEndpoint("127.0.0.1:80")->port == 80);
    for (const char *text :
         {"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:0", "127.0.0.1:99999"}) {
        CHECK_FALSE(parseEndpoint(text).ok());
    }
}
