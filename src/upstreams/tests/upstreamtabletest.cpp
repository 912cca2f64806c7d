#include <catch2/catch.hpp>

#include "upstreams/upstreamtable.h"

using namespace citronpick;
using namespace citronpick::upstreams;

namespace
{

config::Configuration with(std::vector<config::UpstreamConfig> upstreams)
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

const model::TimePoint start {model::seconds(1)};

} // namespace

TEST_CASE("What was learned of an upstream outlives a new file, unless its address changed")
{
    UpstreamTable table;
    table.apply(with({upstream("u1", 1), upstream("u2", 2)}), 3, start);
    const model::UpstreamRow first = *table.find(model::UpstreamId("u1"));
    CHECK(table.at(first).limit.value() == 4);
    table.at(first).inFlight = 3;
    const uint64_t generation = table.at(first).generation;
    table.apply(with({upstream("u2", 9), upstream("u1", 1)}), 3, start);
    CHECK(*table.find(model::UpstreamId("u1")) == first);
    CHECK(table.at(first).inFlight == 3);
    CHECK(table.at(first).generation == generation);
    const model::UpstreamRow second = *table.find(model::UpstreamId("u2"));
    CHECK(table.at(second).config.port == 9);
    CHECK(table.at(second).takesNewWork());
}

TEST_CASE("A removed upstream gets no new work, and its row is used again when it is forgotten")
{
    UpstreamTable table;
    table.apply(with({upstream("u1", 1), upstream("u2", 2)}), 1, start);
    const model::UpstreamRow gone = *table.find(model::UpstreamId("u2"));
    table.apply(with({upstream("u1", 1)}), 1, start);
    CHECK_FALSE(table.at(gone).takesNewWork());
    table.apply(with({upstream("u1", 1), upstream("u3", 3)}), 1, start + model::seconds(10));
    CHECK(*table.find(model::UpstreamId("u3")) != gone);
    table.apply(with({upstream("u1", 1), upstream("u3", 3), upstream("u4", 4)}), 1,
                start + model::seconds(700));
    CHECK(*table.find(model::UpstreamId("u4")) == gone);
}

TEST_CASE("A limit grows with use and shrinks once for a crest")
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
        limit.onCongestion(start);
    }
    CHECK(limit.value() == 6);
}
