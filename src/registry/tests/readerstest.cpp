#include <catch2/catch.hpp>

#include "registry/tests/registryfleet.h"

using namespace citronpick;
using namespace citronpick::registry;
using citronpick::registry::testing::RegistryFleet;
using citronpick::registry::testing::RegistryFleetOptions;

namespace
{

//! The shortest time in which the platform wants a leaving upstream to get no more requests, on
//! fleets that share readers.
constexpr model::Duration leavingBound = model::seconds(3);
//! The shortest time after an outage from which on the platform holds daemons to its bounds.
constexpr model::Duration contactTime = model::seconds(4);

RegistryFleetOptions eachForItself()
{
    RegistryFleetOptions options;
    options.follower.source.readers.minDaemons = 100000;
    return options;
}

std::vector<ReaderCandidate> candidates(size_t count, size_t zones)
{
    std::vector<ReaderCandidate> result;
    for (size_t i = 0; i < count; ++i) {
        result.push_back({.id = model::DaemonId("d" + std::to_string(i)),
                          .zone = model::ZoneId("z" + std::to_string(i % zones)),
                          .linkMbps = i < 2 * zones ? 200U : 10U});
    }
    return result;
}

//! A fleet that has followed the registry for some time.
RegistryFleet settledFleet(const RegistryFleetOptions &options = {})
{
    RegistryFleet fleet(options);
    fleet.run(model::seconds(14));
    return fleet;
}

} // namespace

TEST_CASE("Readers depend on the set of daemons only, are spread over zones and have wide links")
{
    std::vector<ReaderCandidate> daemons = candidates(250, 5);
    const std::vector<ReaderCandidate> readers = chooseReaders(daemons, {});
    REQUIRE(readers.size() == 5);
    std::set<model::ZoneId> zones;
    for (const ReaderCandidate &reader : readers) {
        zones.insert(reader.zone);
        CHECK(reader.linkMbps == 200);
    }
    CHECK(zones.size() == 5);
    std::reverse(daemons.begin(), daemons.end());
    CHECK(chooseReaders(daemons, {}) == readers);
    CHECK(chooseReaders(candidates(250, 1), {}).size() == 3);
}

TEST_CASE("In a small fleet each daemon reads the registry itself")
{
    CHECK(chooseReaders(candidates(8, 4), {}).empty());
    RegistryFleet fleet = settledFleet({.daemons = 8, .zones = 4});
    CHECK(fleet.readers().empty());
    fleet.put("u/1", "new");
    CHECK(fleet.runUntil([&] { return fleet.allHave("u/1", "new"); }, leavingBound)
          < model::seconds(1));
}

TEST_CASE("Load pattern: 300 daemons follow the registry with a tenth of the calls")
{
    RegistryFleet shared;
    RegistryFleet separate(eachForItself());
    uint64_t atStart[2] = {0, 0};
    for (RegistryFleet *fleet : {&shared, &separate}) {
        fleet->run(model::seconds(10));
        CHECK(fleet->allHave("u/424", "start"));
    }
    atStart[0] = shared.registryCalls();
    atStart[1] = separate.registryCalls();
    CHECK(atStart[0] <= atStart[1]);
    for (RegistryFleet *fleet : {&shared, &separate}) {
        for (int i = 0; i < 30; ++i) {
            fleet->put("u/7", std::to_string(i));
            fleet->run(model::seconds(1));
        }
        CHECK(fleet->allHave("u/7", "29"));
    }
    const uint64_t sharedCalls = shared.registryCalls() - atStart[0];
    const uint64_t separateCalls = separate.registryCalls() - atStart[1];
    CAPTURE(sharedCalls, separateCalls);
    CHECK(sharedCalls * 10 <= separateCalls);
}

TEST_CASE("Load pattern: a reader is lost just before a change")
{
    RegistryFleet fleet = settledFleet();
    REQUIRE(fleet.readers().size() == 5);
    fleet.kill(fleet.readers().front());
    fleet.put("u/1", "leaving");
    CHECK(fleet.runUntil([&] { return fleet.allHave("u/1", "leaving"); }, model::seconds(10))
          <= leavingBound);
    // The loss costs each daemon of the zone a call or two, not a watch every few seconds.
    const uint64_t calls = fleet.registryCalls();
    fleet.run(model::seconds(20));
    CHECK(fleet.readers().size() == 5);
    CHECK(fleet.registryCalls() - calls < 300);
}

// Guards against changes in force late because daemons waited for two lost readers in turn.
TEST_CASE("Load pattern: all readers are lost just before a change")
{
    RegistryFleet fleet = settledFleet();
    for (const size_t reader : fleet.readers()) {
        fleet.kill(reader);
    }
    fleet.put("u/1", "leaving");
    fleet.remove("u/2");
    const auto isKnown = [&] {
        return fleet.allHave("u/1", "leaving") && fleet.allHave("u/2", std::nullopt);
    };
    CHECK(fleet.runUntil(isKnown, model::seconds(10)) <= leavingBound);
    fleet.run(model::seconds(10));
    CHECK(fleet.readers().size() == 5);
}

TEST_CASE("Load pattern: readers are cut from the registry only")
{
    for (const size_t cut : {size_t {1}, size_t {5}}) {
        CAPTURE(cut);
        RegistryFleet fleet = settledFleet();
        std::vector<size_t> readers = fleet.readers();
        readers.resize(cut);
        for (const size_t reader : readers) {
            fleet.cutFromRegistry(reader, true);
        }
        fleet.put("u/1", "leaving");
        const auto othersKnow = [&] {
            for (size_t i = 0; i < fleet.size(); ++i) {
                const bool isCut = std::find(readers.begin(), readers.end(), i) != readers.end();
                if (!isCut && !fleet.has(i, "u/1", "leaving")) {
                    return false;
                }
            }
            return true;
        };
        CHECK(fleet.runUntil(othersKnow, model::seconds(10)) <= leavingBound);
    }
}

TEST_CASE("Load pattern: a daemon is parted from its reader or from all readers")
{
    for (const bool fromAll : {false, true}) {
        CAPTURE(fromAll);
        RegistryFleet fleet = settledFleet();
        const std::vector<size_t> readers = fleet.readers();
        for (size_t i = 0; i < fleet.size(); ++i) {
            for (const size_t reader : readers) {
                if (i != reader && (fromAll || i % 5 == reader % 5)) {
                    fleet.cutBetween(i, reader);
                }
            }
        }
        fleet.put("u/1", "leaving");
        CHECK(fleet.runUntil([&] { return fleet.allHave("u/1", "leaving"); }, model::seconds(10))
              <= leavingBound);
    }
}

// Guards against the sum of both losses: readers that no longer hear the registry say so late, or
// not at all if they are then parted from their daemons.
TEST_CASE("Load pattern: readers are parted from the registry and then from their daemons")
{
    for (const size_t lost : {size_t {1}, size_t {2}, size_t {3}}) {
        for (int delayMs = 0; delayMs <= 2000; delayMs += 100) {
            CAPTURE(lost, delayMs);
            RegistryFleet fleet = settledFleet({.daemons = 82, .zones = 3, .keys = 30});
            std::vector<size_t> readers = fleet.readers();
            REQUIRE(readers.size() == 3);
            readers.resize(lost);
            for (const size_t reader : readers) {
                fleet.setSilentFor(reader, true);
            }
            fleet.put("u/1", "leaving");
            fleet.run(model::milliseconds(delayMs));
            const auto isLost = [&readers](size_t daemon) {
                return std::find(readers.begin(), readers.end(), daemon) != readers.end();
            };
            const auto othersKnow = [&] {
                for (size_t i = 0; i < fleet.size(); ++i) {
                    if (!isLost(i) && !fleet.has(i, "u/1", "leaving")) {
                        return false;
                    }
                }
                return true;
            };
            for (const size_t reader : readers) {
                for (size_t i = 0; i < fleet.size(); ++i) {
                    if (i != reader) {
                        fleet.cutBetween(i, reader);
                    }
                }
            }
            CHECK(fleet.runUntil(othersKnow, model::seconds(10)) + model::milliseconds(delayMs)
                  <= leavingBound);
        }
    }
}

TEST_CASE("A daemon that cannot reach the registry follows it through readers")
{
    RegistryFleet fleet = settledFleet();
    const std::vector<size_t> readers = fleet.readers();
    for (size_t i = 0; i < fleet.size(); i += 3) {
        if (std::find(readers.begin(), readers.end(), i) == readers.end()) {
            fleet.cutFromRegistry(i, true);
        }
    }
    fleet.put("u/1", "leaving");
    CHECK(fleet.runUntil([&] { return fleet.allHave("u/1", "leaving"); }, model::seconds(10))
          <= leavingBound);
}

TEST_CASE("Load pattern: the registry drops its history under 300 daemons")
{
    RegistryFleet fleet = settledFleet();
    const uint64_t calls = fleet.registryCalls();
    fleet.put("u/1", "before");
    fleet.remove("u/2");
    fleet.dropHistory();
    fleet.put("u/3", "after");
    const auto isKnown = [&] {
        return fleet.allHave("u/1", "before") && fleet.allHave("u/2", std::nullopt)
               && fleet.allHave("u/3", "after");
    };
    CHECK(fleet.runUntil(isKnown, model::seconds(10)) <= leavingBound);
    // Readers list again, nine pages each; 300 daemons would take 2700 calls.
    CHECK(fleet.registryCalls() - calls < 1000);
}

TEST_CASE("Load pattern: the registry is away for nine seconds")
{
    RegistryFleet fleet = settledFleet();
    RegistryFleet separate = settledFleet(eachForItself());
    uint64_t calls[2] = {fleet.registryCalls(), separate.registryCalls()};
    for (RegistryFleet *each : {&fleet, &separate}) {
        each->setRegistryDown(true);
        each->run(model::seconds(5));
        // These entries expire while the registry is away; the first is written again.
        each->remove("u/1");
        each->remove("u/2");
        each->run(model::seconds(4));
        each->setRegistryDown(false);
        each->put("u/3", "new");
    }
    calls[0] = fleet.registryCalls() - calls[0];
    calls[1] = separate.registryCalls() - calls[1];
    CAPTURE(calls[0], calls[1]);
    CHECK(calls[0] < calls[1]);
    fleet.run(model::milliseconds(1500));
    fleet.put("u/1", "start");
    CHECK(fleet.runUntil([&] { return fleet.allHave("u/3", "new"); }, model::seconds(10))
              + model::milliseconds(1500)
          <= contactTime);
    fleet.run(model::seconds(5));
    CHECK(fleet.allHave("u/1", "start"));
    CHECK(fleet.allHave("u/2", std::nullopt));
    CHECK(fleet.removalsReported() == fleet.size());
}

TEST_CASE("Load pattern: 300 daemons start at once from outdated copies of the registry")
{
    RegistryFleetOptions options;
    options.follower.allowsStaleStart = true;
    options.copyAge = model::seconds(3);
    RegistryFleet fleet(options);
    RegistryFleet exact;
    fleet.put("u/1", "new");
    fleet.remove("u/2");
    const uint64_t calls = fleet.registryCalls();
    CHECK(fleet.runUntil(
              [&] { return fleet.allHave("u/1", "new") && fleet.allHave("u/424", "start"); },
              model::seconds(10))
          < model::seconds(1));
    CHECK(fleet.allHave("u/2", std::nullopt));
    fleet.run(model::seconds(14));
    exact.run(model::seconds(15));
    CHECK((fleet.registryCalls() - calls) * 4 < exact.registryCalls());
    fleet.put("u/3", "later");
    CHECK(fleet.runUntil([&] { return fleet.allHave("u/3", "later"); }, model::seconds(10))
          < model::seconds(1));
}

TEST_CASE("A daemon without readers lists again what it read from an outdated copy")
{
    RegistryFleetOptions options {.daemons = 6, .zones = 3, .keys = 20};
    options.follower.allowsStaleStart = true;
    options.copyAge = model::seconds(3);
    RegistryFleet fleet(options);
    fleet.run(model::seconds(2));
    const uint64_t calls = fleet.registryCalls();
    CHECK(calls == 2 * fleet.size());
    fleet.run(model::seconds(10));
    const uint64_t watchesOnly = fleet.registryCalls();
    CHECK(watchesOnly - calls <= 3 * fleet.size());
    fleet.run(model::seconds(12));
    // A listing of one page, and the watches beside it.
    CHECK(fleet.registryCalls() - watchesOnly >= 4 * fleet.size());
    CHECK(fleet.registryCalls() - watchesOnly <= 5 * fleet.size());
    CHECK(fleet.allHave("u/7", "start"));
}
