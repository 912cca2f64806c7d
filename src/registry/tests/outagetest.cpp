#include "registry/tests/followerfixture.h"

using namespace citronpick;
using namespace citronpick::registry;
using namespace citronpick::registry::testing;
using model::milliseconds;

// Guards against requests to an upstream that is gone: it was removed seconds after a short silence
// of the registry had ended, but a watch that hung made the silence seem to last until just then.
TEST_CASE("A key that is removed after a hung watch is kept no longer than a leaving upstream may")
{
    constexpr model::Duration contactTime = model::seconds(3);
    constexpr model::Duration leavingBound = model::seconds(2);
    Fixture fixture;
    fixture.follower = RegistryFollower({.prefix = "u/", .maxSilence = contactTime}, 1);
    fixture.list({item("u/a", "1", 3)}, 5);
    fixture.changes();
    // The registry is silent for an instant and loses this watch.
    fixture.call();
    const model::TimePoint removedAt = fixture.now + contactTime;
    fixture.now = *fixture.follower.nextRun();
    fixture.follower.onError(CallError::Unreachable, fixture.now);
    fixture.now = *fixture.follower.nextRun();
    fixture.watch({removal("u/a", 6)}, 6);
    fixture.now = removedAt + leavingBound - milliseconds(100);
    CHECK(fixture.changes() == Changes {"-u/a"});
}

// Guards against requests to an upstream that is gone for good: its removal was not believed yet
// when another daemon took the listing over, and no watch repeats it there.
TEST_CASE("A removal that is not believed yet reaches a daemon that applies the listing")
{
    Fixture keeper;
    Fixture cutOff;
    for (Fixture *each : {&keeper, &cutOff}) {
        each->list({item("u/a", "1", 3), item("u/b", "1", 4)}, 5);
        each->changes();
        each->makeRegistryUnreachable();
    }
    keeper.watch({removal("u/a", 6), item("u/b", "2", 7)}, 7);
    CHECK(keeper.changes() == Changes {"u/b=2"});
    cutOff.follower.onPeerListing(keeper.follower.listing(keeper.now), cutOff.now);
    // The owner of u/a may still write it again.
    CHECK(cutOff.changes() == Changes {"u/b=2"});
    cutOff.watch({}, 7);
    cutOff.now += milliseconds(2300);
    CHECK(cutOff.changes() == Changes {"-u/a"});
}

// Guards against a log that cannot tell an upstream that is kept after an outage from a listed one.
TEST_CASE("A delayed removal is reported once, with the time for which the key is kept")
{
    Fixture fixture;
    fixture.list({item("u/a", "1", 3)}, 5);
    fixture.makeRegistryUnreachable();
    fixture.follower.takeUpdates(fixture.now);
    fixture.watch({removal("u/a", 6), removal("u/a", 6)}, 6);
    std::vector<RemovalDelayed> delayed;
    for (const FollowerUpdate &update : fixture.follower.takeUpdates(fixture.now)) {
        if (const auto *found = std::get_if<RemovalDelayed>(&update)) {
            delayed.push_back(*found);
        }
    }
    REQUIRE(delayed.size() == 1);
    CHECK(delayed[0].key == "u/a");
    CHECK(delayed[0].delay == milliseconds(2200));
}
