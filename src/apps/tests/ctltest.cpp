#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

#include "adminclient.h"
#include "net/tests/brokenresponses.h"
#include "net/tests/rawpeer.h"
#include "requesttrace.h"
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

TEST_CASE("Timelines are merged by time and keep the event order of each daemon")
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

TEST_CASE("Tables align their columns and show a dash for missing values")
{
    const Json rows {{{"name", "long-name"}, {"state", "active"}}, {{"name", "x"}}};
    CHECK(formatTable(rows, {"name", "state"})
          == "name       state\n"
             "long-name  active\n"
             "x          -\n");
}

TEST_CASE("Malformed endpoints are rejected")
{
    CHECK(parseEndpoint("127.0.0.1:80")->port == 80);
    for (const char *text :
         {"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:0", "127.0.0.1:99999"}) {
        CHECK_FALSE(parseEndpoint(text).ok());
    }
}

TEST_CASE("The lines about one request from several logs are merged in order of time")
{
    std::istringstream first("2026-12-04T10:00:00.200 INFO 804 exchange-sent daemon=a subject=u "
                             "request=r1 attempt=1\n"
                             "2026-12-04T10:00:00.300 INFO 804 exchange-sent daemon=a subject=u "
                             "request=r12 attempt=1\n");
    std::istringstream second("2026-12-04T10:00:00.100 INFO 809 exchange-refused daemon=b "
                              "subject=route request=r1 why=stopping\n"
                              "2026-12-04T10:00:00.400 WARNING 808 answer-broken daemon=a "
                              "subject=u request=r1 why=broken\n");
    RequestTrace trace("r1");
    trace.addLog(first);
    trace.addLog(second);
    const std::vector<std::string> lines = trace.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].find("why=stopping") != std::string::npos);
    CHECK(lines[2].find("answer-broken") != std::string::npos);
    CHECK(trace.outcome() == "The answer had begun and could not be completed.");
}

TEST_CASE("A request without log lines has no final event")
{
    RequestTrace trace("r1");
    CHECK(trace.isEmpty());
    CHECK(trace.outcome().find("No final event found") == 0);
}

// Guards against commands that print bytes that are no answer, or hang.
TEST_CASE("A broken answer of a daemon is reported as no answer")
{
    using citronpick::net::testing::RawListener;
    using citronpick::net::testing::RawPeer;
    for (const auto &response : citronpick::net::testing::brokenResponses({})) {
        INFO(response.name);
        RawListener listener;
        std::jthread daemon([&listener, &response](const std::stop_token &stop) {
            RawPeer peer;
            while (!stop.stop_requested() && !listener.accept(peer)) {
                std::this_thread::yield();
            }
            while (!stop.stop_requested()
                   && peer.received().find("\r\n\r\n") == std::string::npos) {
                std::this_thread::yield();
            }
            peer.send(response.bytes);
            while (!stop.stop_requested()) {
                std::this_thread::yield();
            }
        });
        const auto answer
            = readAdminPage({.host = "127.0.0.1", .port = listener.port()}, "token", "upstreams");
        REQUIRE_FALSE(answer.ok());
        CHECK(std::string(answer.status().message()).find("garbage") != std::string::npos);
    }
}
