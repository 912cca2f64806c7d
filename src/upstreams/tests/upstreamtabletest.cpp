#include <catch2/catch.hpp>

#include "upstreams/upstreamtable.h"

using namespace citronpick;
using namespace citronpick::upstreams;

namespace
{

config::Configuration configurationWith(std::vector<config::UpstreamConfig> upstreams)
{
    config::Configuration::Content content;
    content.pools.push_back(
        {.id = model::PoolId("p"), .concurrency = 12, .upstreams = std::move(upstreams)});
    return config::Configuration(std::move(content));
}

config::UpstreamConfig upstream(const std::string &name, uint16_t port)
{
    return {.id = model::UpstreamId(name),
            .host = "127.0.0.1",
            .port = port,
            .zone = model::ZoneId("a")};
}

const model::TimePoint startTime {model::seconds(1)};

} // namespace

TEST_CASE("An upstream keeps its state across configurations unless its address changed")
{
    UpstreamTable table;
    table.apply(configurationWith({upstream("u1", 1), upstream("u2", 2)}), 3, startTime);
    const model::UpstreamRow first = *table.find(model::UpstreamId("u1"));
    CHECK(table.at(first).limit.value() == 4);
    table.at(first).inFlight = 3;
    const uint64_t generation = table.at(first).generation;
    table.apply(configurationWith({upstream("u2", 9), upstream("u1", 1)}), 3, startTime);
    CHECK(*table.find(model::UpstreamId("u1")) == first);
    CHECK(table.at(first).inFlight == 3);
    CHECK(table.at(first).generation == generation);
    const model::UpstreamRow second = *table.find(model::UpstreamId("u2"));
    CHECK(table.at(second).config.port == 9);
    CHECK(table.at(second).takesNewWork());
}

TEST_CASE("A removed upstream gets no new requests and its row is reused after the retention time")
{
    UpstreamTable table;
    table.apply(configurationWith({upstream("u1", 1), upstream("u2", 2)}), 1, startTime);
    const model::UpstreamRow removed = *table.find(model::UpstreamId("u2"));
    table.apply(configurationWith({upstream("u1", 1)}), 1, startTime);
    CHECK_FALSE(table.at(removed).takesNewWork());
    table.apply(configurationWith({upstream("u1", 1), upstream("u3", 3)}), 1,
                startTime + model::seconds(10));
    CHECK(*table.find(model::UpstreamId("u3")) != removed);
    table.apply(configurationWith({upstream("u1", 1), upstream("u3", 3), upstream("u4", 4)}), 1,
                startTime + model::seconds(700));
    CHECK(*table.find(model::UpstreamId("u4")) == removed);
}

TEST_CASE("A limit grows only while it is fully used and shrinks once per load peak")
{
    ConcurrencyLimit limit(4, 8);
    for (int i = 0; i < 100; ++i) {
        limit.onGoodAnswer(1);
    }
    CHECK(limit.value() == 4);
    for (int i = 0; i < 100; ++i) {
        limit.onGoodAnswer(8);
    }
    CHECK(limit.value() == 8);
    for (int i = 0; i < 10; ++i) {
        limit.onCongestion(startTime);
    }
    CHECK(limit.value() == 6);
}
