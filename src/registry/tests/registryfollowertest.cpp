#include <catch2/catch.hpp>

#include "registry/registryfollower.h"

using namespace citronpick;
using namespace citronpick::registry;
using model::milliseconds;

namespace
{

RegistryItem item(const std::string &key, const std::string &value, uint64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

RegistryItem removal(const std::string &key, uint64_t revision)
{
    return {.key = key, .revision = revision};
}

struct Fixture {
    FollowerCall call()
    {
        const auto due = follower.takeCall(now);
        REQUIRE(due);
        return *due;
    }
    void list(const std::vector<RegistryItem> &items, uint64_t revision)
    {
        REQUIRE(std::holds_alternative<ReadPage>(call()));
        follower.onPage({.items = items, .revision = revision}, now);
    }
    void watch(const std::vector<RegistryItem> &items, uint64_t revision)
    {
        REQUIRE(std::holds_alternative<WatchChanges>(call()));
        follower.onChanges({.items = items, .revision = revision}, now);
    }
    void failCall(CallError error = CallError::Unreachable)
    {
        call();
        follower.onError(error, now);
    }
    //! Fails calls until the registry counts as unreachable.
    void makeRegistryUnreachable()
    {
        for (int i = 0; i < 2; ++i) {
            failCall();
            now += model::seconds(1);
        }
    }

    //! Changes since changes() was last called, as "key=value" or "-key".
    std::vector<std::string> changes()
    {
        std::vector<std::string> found;
        for (const FollowerUpdate &update : follower.takeUpdates(now)) {
            if (const auto *changed = std::get_if<KeyChanged>(&update)) {
                found.push_back(changed->value ? changed->key + "=" + *changed->value
                                               : "-" + changed->key);
            }
        }
        return found;
    }

    RegistryFollower follower {{.prefix = "u/"}, 1};
    model::TimePoint now {model::seconds(10)};
};

using Changes = std::vector<std::string>;

} // namespace

TEST_CASE("Keys are listed page by page, then watched from the first page's revision")
{
    Fixture fixture;
    CHECK(std::get<ReadPage>(fixture.call()).afterKey.empty());
    fixture.follower.onPage({.items = {item("u/a", "1", 3)}, .hasMore = true, .revision = 10},
                            fixture.now);
    CHECK_FALSE(fixture.follower.isSynchronized());
    CHECK(std::get<ReadPage>(fixture.call()).afterKey == "u/a");
    fixture.follower.onPage({.items = {item("u/b", "2", 12)}, .revision = 12}, fixture.now);
    CHECK(fixture.follower.isSynchronized());
    CHECK(fixture.changes() == Changes {"u/a=1", "u/b=2"});
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 10);
    // The watch repeats u/b from the second page; it is not reported twice.
    fixture.follower.onChanges(
        {.items = {item("u/b", "2", 12), item("u/c", "3", 13)}, .revision = 13}, fixture.now);
    CHECK(fixture.changes() == Changes {"u/c=3"});
}

TEST_CASE("Changes and removals are reported in the order received")
{
    Fixture fixture;
    fixture.list({item("u/a", "1", 3)}, 5);
    fixture.changes();
    fixture.watch({item("u/a", "2", 6), removal("u/a", 7), removal("u/x", 8)}, 8);
    CHECK(fixture.changes() == Changes {"u/a=2", "-u/a"});
}

TEST_CASE("At most one call is pending, and failures are retried with backoff")
{
    Fixture fixture;
    fixture.call();
    CHECK_FALSE(fixture.follower.takeCall(fixture.now));
    fixture.follower.onError(CallError::Refused, fixture.now);
    CHECK_FALSE(fixture.follower.takeCall(fixture.now));
    REQUIRE(fixture.follower.nextRun());
    const model::Duration backoff = *fixture.follower.nextRun() - fixture.now;
    CHECK(backoff >= milliseconds(50));
    CHECK(backoff <= milliseconds(100));
    for (int i = 0; i < 10; ++i) {
        fixture.now = *fixture.follower.nextRun();
        fixture.failCall();
    }
    CHECK(*fixture.follower.nextRun() - fixture.now <= milliseconds(800));
}

TEST_CASE("Compacted history triggers a new listing, which reveals removed keys")
{
    Fixture fixture;
    fixture.list({item("u/a", "1", 3), item("u/b", "1", 4)}, 5);
    fixture.changes();
    fixture.failCall(CallError::Compacted);
    fixture.list({item("u/a", "2", 8)}, 9);
    CHECK(fixture.changes() == Changes {"u/a=2", "-u/b"});
}

TEST_CASE("After an outage, missing keys are kept for the grace period")
{
    Fixture fixture;
    fixture.list({item("u/a", "1", 3), item("u/b", "1", 4)}, 5);
    fixture.changes();
    fixture.makeRegistryUnreachable();
    CHECK_FALSE(fixture.follower.isReachable());
    fixture.watch({removal("u/a", 6), removal("u/b", 7)}, 7);
    CHECK(fixture.changes().empty());
    fixture.now += milliseconds(1500);
    fixture.watch({item("u/a", "1", 9)}, 9);
    CHECK(fixture.changes() == Changes {"u/a=1"});
    REQUIRE(fixture.follower.nextRun());
    fixture.now += milliseconds(700);
    CHECK(fixture.changes() == Changes {"-u/b"});
}

TEST_CASE("The registry is reported unreachable after two failures, and reachable after one answer")
{
    Fixture fixture;
    fixture.list({}, 5);
    fixture.follower.takeUpdates(fixture.now);
    fixture.failCall();
    CHECK(fixture.follower.takeUpdates(fixture.now).empty());
    fixture.now += model::seconds(1);
    fixture.failCall();
    auto updates = fixture.follower.takeUpdates(fixture.now);
    REQUIRE(updates.size() == 1);
    CHECK_FALSE(std::get<ReachabilityChanged>(updates[0]).isReachable);
    fixture.now += model::seconds(1);
    fixture.watch({}, 5);
    updates = fixture.follower.takeUpdates(fixture.now);
    REQUIRE(updates.size() == 1);
    CHECK(std::get<ReachabilityChanged>(updates[0]).isReachable);
}

TEST_CASE("A daemon that starts while the registry is unreachable uses the listing of a peer")
{
    Fixture fixture;
    fixture.makeRegistryUnreachable();
    fixture.follower.onPeerListing({.items = {item("u/a", "1", 3)}, .revision = 8}, fixture.now);
    CHECK(fixture.follower.isSynchronized());
    CHECK(fixture.changes() == Changes {"u/a=1"});
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 8);
}

TEST_CASE("A peer's listing is applied only when its revision is newer")
{
    Fixture fixture;
    fixture.list({item("u/a", "2", 9), item("u/b", "1", 4)}, 10);
    fixture.changes();
    fixture.follower.onPeerListing({.items = {item("u/a", "1", 3)}, .revision = 9}, fixture.now);
    CHECK(fixture.changes().empty());
    fixture.follower.onPeerListing({.items = {item("u/a", "3", 12)}, .revision = 12}, fixture.now);
    CHECK(fixture.changes() == Changes {"u/a=3", "-u/b"});
    CHECK(fixture.follower.listing().items.size() == 1);
    CHECK(fixture.follower.listing().revision == 12);
}

TEST_CASE("Load pattern: changes in quick succession are fetched with one call")
{
    Fixture fixture;
    fixture.list({}, 5);
    fixture.watch({item("u/a", "1", 6)}, 6);
    CHECK_FALSE(fixture.follower.takeCall(fixture.now));
    CHECK(*fixture.follower.nextRun() == fixture.now + milliseconds(250));
    fixture.now += milliseconds(250);
    fixture.watch({item("u/b", "1", 7), item("u/c", "1", 8)}, 8);
    fixture.now += milliseconds(250);
    fixture.watch({}, 8);
    CHECK(fixture.follower.takeCall(fixture.now));
}
