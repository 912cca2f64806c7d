#include <catch2/catch.hpp>

#include <algorithm>

#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

const model::ZoneId emptied("b");

//! Each pool has two upstreams in zone "a" and two in "b".
struct TwoZones : RelayFixture {
    TwoZones()
        : RelayFixture(0)
    {
        for (const char *zone : {"a", "b"}) {
            for (const char *number : {"1", "2"}) {
                list(enginePool, absl::StrCat("e", zone, number), zone);
                list(deskPool, absl::StrCat("k", zone, number), zone);
                list(stagePool, absl::StrCat("s", zone, number), zone);
            }
        }
    }

    void list(const model::PoolId &pool, const std::string &id, const std::string &zone)
    {
        system.onUpstreamListed({.id = model::UpstreamId(id),
                                 .pool = pool,
                                 .address = {.host = "10.0.0.1", .port = 80},
                                 .zone = model::ZoneId(zone),
                                 .slots = 4,
                                 .incarnation = 1},
                                now);
    }

    void evacuate(const model::ZoneId &zone)
    {
        system.onZoneEvacuated(zone, now);
        collect();
    }

    bool isInZone(const model::UpstreamId &id, const model::ZoneId &zone)
    {
        return system.upstreams().find(id)->listing.zone == zone;
    }

    template<typename Command>
    size_t countInZone(const model::ZoneId &zone)
    {
        return static_cast<size_t>(
            std::count_if(commands.begin(), commands.end(), [&](const RelayCommand &command) {
                const auto *call = std::get_if<Command>(&command);
                return call && isInZone(call->upstream, zone);
            }));
    }
};

} // namespace

// Guards against work that reaches a zone after the operator ordered to empty it, through any of
// the ways that lead to an upstream.
TEST_CASE("No request, retry, resumed stream or batch goes to a zone that is emptied")
{
    TwoZones fixture;
    fixture.evacuate(emptied);
    for (const char *path : {"/safe/", "/once/", "/stream/", "/resume/", "/staged/"}) {
        for (int i = 0; i < 8; ++i) {
            fixture.arrive(path);
        }
    }
    for (int i = 0; i < 4; ++i) {
        fixture.advanceTime(milliseconds(300));
        while (fixture.count<RunBatch>() > 0) {
            const auto batch = fixture.take<RunBatch>();
            CHECK_FALSE(fixture.isInZone(batch.upstream, emptied));
            fixture.system.onBatchBroken(batch.batch, fixture.now);
            fixture.collect();
        }
    }
    CHECK(fixture.count<StartAttempt>() >= 32);
    for (int retries = 0; retries < 20 && fixture.count<StartAttempt>() > 0; ++retries) {
        const auto attempt = fixture.take<StartAttempt>();
        CHECK_FALSE(fixture.isInZone(attempt.upstream, emptied));
        fixture.fail(attempt.attempt, AttemptFailure::NotSent);
    }
}

TEST_CASE("A stream of a zone that is emptied goes on, and resumes elsewhere")
{
    TwoZones fixture;
    fixture.evacuate(model::ZoneId("a"));
    fixture.arrive("/resume/x");
    const auto first = fixture.take<StartAttempt>();
    fixture.head(first.attempt, TwoZones::success());
    fixture.system.onZoneRestored(model::ZoneId("a"), fixture.now);
    fixture.evacuate(emptied);
    CHECK(fixture.count<CancelAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 0);
    fixture.fail(first.attempt, AttemptFailure::Broken, "3");
    const auto second = fixture.take<StartAttempt>();
    CHECK(second.resumeAfter == "3");
    CHECK_FALSE(fixture.isInZone(second.upstream, emptied));
}

// Guards against calls that wait for a connection while the order arrives.
TEST_CASE("Calls to a zone that is emptied are recalled and go elsewhere")
{
    TwoZones fixture;
    fixture.evacuate(model::ZoneId("a"));
    fixture.arrive("/once/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.system.onZoneRestored(model::ZoneId("a"), fixture.now);
    fixture.commands.clear();
    fixture.evacuate(emptied);
    CHECK(fixture.countInZone<RecallCalls>(emptied) == 6);
    CHECK(fixture.countInZone<RecallCalls>(model::ZoneId("a")) == 0);
    fixture.system.onAttemptRecalled(attempt.attempt, fixture.now);
    fixture.collect();
    CHECK(fixture.isInZone(fixture.take<StartAttempt>().upstream, model::ZoneId("a")));
}

TEST_CASE(
    "An upstream that is listed, restarts or says that it rests does not open an emptied zone")
{
    TwoZones fixture;
    fixture.evacuate(emptied);
    fixture.list(deskPool, "kb3", "b");
    fixture.list(deskPool, "ka1", "b");
    fixture.list(deskPool, "kb1", "a");
    const UpstreamDirectory &directory = fixture.system.upstreams();
    const auto isAvailable = [&](const char *id) {
        return UpstreamDirectory::isAvailable(*directory.find(model::UpstreamId(id)), fixture.now);
    };
    CHECK_FALSE(isAvailable("kb3"));
    CHECK_FALSE(isAvailable("ka1"));
    CHECK(isAvailable("kb1"));
}

TEST_CASE("A pool that is emptied as a whole is refused at once and served after the order")
{
    TwoZones fixture;
    fixture.evacuate(model::ZoneId("a"));
    fixture.evacuate(emptied);
    for (const char *path : {"/safe/", "/once/", "/stream/", "/staged/"}) {
        fixture.arrive(path);
        const auto refusal = fixture.take<RefuseRequest>();
        CHECK(guaranteesNotRun(refusal.refusal));
        CHECK(refusal.retryAfter > model::Duration::zero());
    }
    CHECK(fixture.system.requestCount() == 0);
    fixture.system.onZoneRestored(emptied, fixture.now);
    fixture.arrive("/once/");
    CHECK(fixture.isInZone(fixture.take<StartAttempt>().upstream, emptied));
}

TEST_CASE("Jobs that wait for a zone that is then emptied run in another zone at once")
{
    TwoZones fixture;
    fixture.arrive("/staged/x");
    const auto batch = fixture.take<RunBatch>();
    const model::ZoneId zone = fixture.system.upstreams().find(batch.upstream)->listing.zone;
    fixture.evacuate(zone);
    fixture.system.onBatchRefused(batch.batch, fixture.now);
    fixture.collect();
    REQUIRE(fixture.count<RunBatch>() == 1);
    CHECK_FALSE(fixture.isInZone(fixture.take<RunBatch>().upstream, zone));
}

// Guards against a scheduler that runs without pause while no upstream of its pool takes work.
TEST_CASE("A pool of an emptied zone needs no run of its scheduler")
{
    TwoZones fixture;
    fixture.evacuate(model::ZoneId("a"));
    fixture.evacuate(emptied);
    fixture.advanceTime(milliseconds(10));
    const std::optional<model::TimePoint> next = fixture.system.nextRun();
    CHECK((!next || *next > fixture.now));
}

TEST_CASE("An order that is given twice or taken back twice changes nothing")
{
    UpstreamDirectory directory;
    const model::TimePoint now(model::seconds(100));
    CHECK(directory.setEvacuated(emptied, true, now));
    CHECK_FALSE(directory.setEvacuated(emptied, true, now));
    CHECK(directory.setEvacuated(emptied, false, now));
    CHECK_FALSE(directory.setEvacuated(emptied, false, now));
    CHECK(directory.evacuatedZones().empty());
}

// Guards against the full load on upstreams that have become cold while their zone had no work.
TEST_CASE("Load pattern: a zone that is taken back counts as cold for a while")
{
    UpstreamDirectory directory({.daemon = model::DaemonId("d1"), .overshoot = 1.5, .slack = 5.0});
    ConfigurationContent content = RelayFixture::configuration(1)->content();
    content.pools[0].coldStart
        = ColdStartRule {.duration = model::seconds(3), .requestsPerSecond = 9.0};
    directory.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    model::TimePoint now(model::seconds(100));
    directory.setDaemons({model::DaemonId("d1")}, now);
    now += model::seconds(3);
    directory.run(now);
    directory.apply({.id = model::UpstreamId("e"), .pool = enginePool, .zone = emptied});
    directory.setEvacuated(emptied, true, now);
    now += model::seconds(10);
    directory.setEvacuated(emptied, false, now);
    Upstream &upstream = *directory.find(model::UpstreamId("e"));
    size_t sent = 0;
    for (const model::TimePoint end = now + model::seconds(3); now < end; now += milliseconds(5)) {
        if (UpstreamDirectory::isAvailable(upstream, now)) {
            UpstreamDirectory::noteStarted(upstream, now);
            ++sent;
        }
    }
    CHECK(sent <= 3 * 9 + 1);
    CHECK(sent >= 3 * 8);
    CHECK_FALSE(upstream.isCold(now));
}
