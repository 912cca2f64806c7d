#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>

#include "observability/event.h"
#include "observability/timeline.h"

using namespace citronpick;
using namespace citronpick::observability;

TEST_CASE("The documented event catalogue matches the one in the code")
{
    std::ifstream file(EVENTS_PAGE);
    REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    const std::string page = text.str();
    size_t rows = 0;
    for (const EventDescription &event : eventCatalogue()) {
        const std::string row = "| " + std::to_string(static_cast<int>(event.code)) + " | "
                                + std::string(event.name) + " | "
                                + std::string(toString(event.level)) + " |";
        INFO(row);
        CHECK(page.find(row) != std::string::npos);
        ++rows;
    }
    size_t documented = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        documented += line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0 ? 1 : 0;
    }
    CHECK(documented == rows);
}

TEST_CASE("Every event is found by its code, which requires a sorted catalogue")
{
    for (const EventDescription &event : eventCatalogue()) {
        CHECK(describe(event.code).name == event.name);
    }
}

TEST_CASE("A timeline keeps only the most recent events")
{
    Timeline timeline(3);
    for (int i = 0; i < 5; ++i) {
        timeline.add({.code = EventCode::DaemonReady, .subject = std::to_string(i)}, i,
                     model::TimePoint(model::seconds(i)));
    }
    const auto all = timeline.entriesAfter(0, 10);
    REQUIRE(all.size() == 3);
    CHECK(all.front().event.subject == "2");
    CHECK(all.back().sequence == 5);
    CHECK(timeline.entriesAfter(4, 10).size() == 1);
    CHECK(timeline.entriesAfter(0, 2).size() == 2);
}
