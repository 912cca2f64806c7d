#include <catch2/catch.hpp>

#include "daemon/internal/eventsplitter.h"
#include "daemon/internal/listingcodec.h"
#include "daemon/internal/stagejobcodec.h"

using namespace citronpick;
using namespace citronpick::daemon;

TEST_CASE("Only whole events are given, whatever the pieces they come in")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for (size_t step = 1; step <= text.size(); ++step) {
        EventSplitter splitter;
        std::string events;
        for (size_t at = 0; at < text.size(); at += step) {
            events += splitter.feed(std::string_view(text).substr(at, step));
        }
        CHECK(events == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
        CHECK(splitter.lastEvent() == "2");
        CHECK(splitter.rest() == "id: 3\ndata: c");
    }
}

TEST_CASE("Events without an id leave the last one as it was")
{
    EventSplitter splitter;
    splitter.feed("x-version: 4\nid:9\ndata: a\n\n: comment\n\ndata: id: 10\n\n");
    CHECK(splitter.lastEvent() == "9");
}

TEST_CASE("A stage comes through as it was sent, with times as what is left of them")
{
    const model::TimePoint sent(model::seconds(50));
    const model::TimePoint received(model::seconds(9000));
    const relay::StageJob job {.pool = model::PoolId("pool"),
                               .request = model::CallerRequestId("r"),
                               .stage = 2,
                               .pieceCount = 3,
                               .key = "k",
                               .inputs = {"a", "b"},
                               .priority = 1,
                               .due = sent + model::seconds(1),
                               .deadline = sent + model::seconds(4),
                               .preferredZone = model::ZoneId("z"),
                               .inputsUntil = sent + model::seconds(2),
                               .releasesInputs = true};
    auto decoded = decodeStageJob(encodeStageJob(job, sent), received);
    REQUIRE(decoded.ok());
    CHECK(decoded->due == received + model::seconds(1));
    CHECK(decoded->deadline == received + model::seconds(4));
    CHECK(decoded->inputsUntil == received + model::seconds(2));
    decoded->due = job.due;
    decoded->deadline = job.deadline;
    decoded->inputsUntil = job.inputsUntil;
    CHECK(*decoded == job);
}

TEST_CASE("An inquiry is a stage without pieces that says so")
{
    const model::TimePoint now(model::seconds(1));
    const relay::StageJob inquiry {.pool = model::PoolId("pool"),
                                   .pieceCount = 0,
                                   .due = now,
                                   .deadline = now,
                                   .isInquiry = true};
    const auto decoded = decodeStageJob(encodeStageJob(inquiry, now), now);
    REQUIRE(decoded.ok());
    CHECK(*decoded == inquiry);
    const relay::StageJob odd {.pieceCount = 1, .due = now, .deadline = now, .isInquiry = true};
    CHECK_FALSE(decodeStageJob(encodeStageJob(odd, now), now).ok());
}

TEST_CASE("What is no stage is refused")
{
    const model::TimePoint now(model::seconds(1));
    const relay::StageJob none {.pieceCount = 0, .due = now, .deadline = now};
    const relay::StageJob absurd {.pieceCount = 1U << 30U, .due = now, .deadline = now};
    for (const std::string &text :
         {std::string("nonsense"), std::string("[]"), std::string("{}"),
          std::string(R"({"pool": 3})"), encodeStageJob(none, now), encodeStageJob(absurd, now)}) {
        CHECK_FALSE(decodeStageJob(text, now).ok());
    }
}

TEST_CASE("A result comes through as it was sent, and nothing else does")
{
    relay::QueueForecast forecast;
    forecast.waits[1] = {.onTime = model::milliseconds(5), .late = model::seconds(2)};
    forecast.waits[3].late = model::seconds(3);
    const relay::JobResult result {.failure = relay::JobFailure::Late,
                                   .handles = {"a", "b"},
                                   .zone = model::ZoneId("z"),
                                   .retryAfter = model::milliseconds(300),
                                   .took = model::milliseconds(20),
                                   .wasLate = true,
                                   .areInputsReleased = true,
                                   .forecast = forecast};
    const auto decoded = decodeJobResult(encodeJobResult(result));
    REQUIRE(decoded.ok());
    CHECK(*decoded == result);
    CHECK_FALSE(decodeJobResult(R"({"failure": 99, "handles": [], "retryAfterUs": 0})").ok());
    CHECK_FALSE(decodeJobResult("").ok());
}

TEST_CASE("A listing comes through as it was sent, whatever bytes it holds")
{
    const registry::RegistryPage listing {
        .items = {{.key = "k", .value = std::string("\xff\x00 x", 4), .revision = 4}},
        .revision = 9};
    const auto decoded = decodeListing(encodeListing(listing));
    REQUIRE(decoded.ok());
    CHECK(*decoded == listing);
    CHECK_FALSE(decodeListing(R"({"revision": 1})").ok());
    CHECK_FALSE(
        decodeListing(R"({"revision": 1, "items": [{"key": "k", "value": "*", "revision": 1}]})")
            .ok());
}
