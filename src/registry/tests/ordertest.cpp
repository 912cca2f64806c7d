#include "registry/tests/followerfixture.h"
#include "registry/tests/registryfleet.h"

using namespace citronpick;
using namespace citronpick::registry;
using namespace citronpick::registry::testing;
using model::milliseconds;

// An order of the operator is a key that exists as long as it holds.

// Guards against an order that is forgotten because the registry says nothing for long.
TEST_CASE("An order holds through a silence of the registry and a loss of its history")
{
    Fixture fixture;
    fixture.list({item("u/order", "", 3)}, 5);
    CHECK(fixture.changes() == Changes {"u/order="});
    for (int i = 0; i < 60; ++i) {
        fixture.failCall(CallError::TimedOut);
        fixture.now += model::seconds(1);
        CHECK(fixture.changes().empty());
    }
    fixture.failCall(CallError::Compacted);
    fixture.now += model::seconds(1);
    fixture.list({item("u/order", "", 3)}, 90);
    CHECK(fixture.changes().empty());
}

// Guards against an order that stays in force at daemons that did not see how it was taken back.
TEST_CASE("An order that was taken back while the history was lost ends with the next listing")
{
    Fixture fixture;
    fixture.list({item("u/order", "", 3), item("u/other", "1", 4)}, 5);
    fixture.changes();
    fixture.failCall(CallError::Compacted);
    fixture.now += model::seconds(1);
    fixture.list({item("u/other", "1", 4)}, 90);
    CHECK(fixture.changes() == Changes {"-u/order"});
}

// Guards against a daemon that starts during an order without a path to the registry.
TEST_CASE("A daemon that starts from a peer's listing knows the order before it is ready")
{
    Fixture peer;
    peer.list({item("u/order", "", 3)}, 5);
    Fixture fixture;
    fixture.makeRegistryUnreachable();
    CHECK_FALSE(fixture.follower.isSynchronized());
    fixture.follower.onPeerListing(peer.follower.listing(peer.now), fixture.now);
    CHECK(fixture.follower.isSynchronized());
    CHECK(fixture.changes() == Changes {"u/order="});
}

// Guards against an older listing that ends an order, or brings one back.
TEST_CASE("A peer's listing that is older than the order or its end changes nothing")
{
    Fixture before;
    before.list({}, 4);
    Fixture during;
    during.list({item("u/order", "", 5)}, 5);
    Fixture fixture;
    fixture.list({item("u/order", "", 5)}, 5);
    CHECK(fixture.changes() == Changes {"u/order="});
    fixture.makeRegistryUnreachable();
    fixture.follower.onPeerListing(before.follower.listing(before.now), fixture.now);
    CHECK(fixture.changes().empty());
    fixture.watch({removal("u/order", 6)}, 6);
    fixture.now += model::seconds(10);
    CHECK(fixture.changes() == Changes {"-u/order"});
    fixture.makeRegistryUnreachable();
    fixture.follower.onPeerListing(during.follower.listing(during.now), fixture.now);
    CHECK(fixture.changes().empty());
}

// Guards against an order that is taken back and given again within an outage and is lost thereby.
TEST_CASE("An order that is given again after an outage is in force without a gap")
{
    Fixture fixture;
    fixture.list({item("u/order", "", 3)}, 5);
    fixture.changes();
    fixture.makeRegistryUnreachable();
    fixture.watch({removal("u/order", 6), item("u/order", "", 7)}, 7);
    CHECK(fixture.changes() == Changes {"u/order="});
    fixture.now += model::seconds(30);
    CHECK(fixture.changes().empty());
}

// Guards against an order that most daemons, which read at second hand, get too late.
TEST_CASE(
    "Load pattern: an order and its end reach 78 and 295 daemons in time, without readers too")
{
    const size_t daemons = GENERATE(78, 295);
    const bool losesReaders = GENERATE(false, true);
    CAPTURE(daemons, losesReaders);
    RegistryFleet fleet({.daemons = daemons, .zones = 3, .keys = 30});
    fleet.run(model::seconds(14));
    for (int i = 0; i < 2; ++i) {
        const std::vector<size_t> readers = fleet.readers();
        fleet.put("order", "given");
        if (losesReaders) {
            for (const size_t reader : readers) {
                fleet.kill(reader);
            }
        }
        const auto isGiven = [&] {
            return fleet.allHave("order", "given");
        };
        CHECK(fleet.runUntil(isGiven, model::seconds(20)) <= milliseconds(4000));
        fleet.run(model::seconds(3));
        fleet.remove("order");
        const auto isTakenBack = [&] {
            return fleet.allHave("order", std::nullopt);
        };
        CHECK(fleet.runUntil(isTakenBack, model::seconds(20)) <= milliseconds(4000));
        fleet.run(model::seconds(10));
    }
}
