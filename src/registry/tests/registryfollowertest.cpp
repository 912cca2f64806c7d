#include "registry/tests/followerfixture.h"

#include <set>

using namespace citronpick;
using namespace citronpick::registry;
using namespace citronpick::registry::testing;
using model::milliseconds;

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

TEST_CASE("Changes that a watch cannot report trigger a new listing, which reveals removed keys")
{
    const CallError error = GENERATE(CallError::Compacted, CallError::TooManyChanges);
    Fixture fixture;
    fixture.list({item("u/a", "1", 3), item("u/b", "1", 4)}, 5);
    fixture.changes();
    fixture.failCall(error);
    fixture.now = *fixture.follower.nextRun();
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

TEST_CASE("A single long silence of the registry is an outage, a broken connection is not")
{
    for (const bool isSilent : {true, false}) {
        CAPTURE(isSilent);
        Fixture fixture;
        fixture.list({item("u/a", "1", 3)}, 5);
        fixture.changes();
        fixture.call();
        fixture.now += isSilent ? milliseconds(2900) : milliseconds(1900);
        fixture.follower.onError(CallError::Unreachable, fixture.now);
        fixture.now = *fixture.follower.nextRun();
        fixture.watch({removal("u/a", 6)}, 6);
        CHECK(fixture.changes().empty() == isSilent);
    }
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
    fixture.follower.onPeerListing({.page = {.items = {item("u/a", "1", 3)}, .revision = 8}},
                                   fixture.now);
    CHECK(fixture.follower.isSynchronized());
    CHECK(fixture.changes() == Changes {"u/a=1"});
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 8);
}

TEST_CASE("Content of an outdated listing is reported once a watch has completed it")
{
    Fixture fixture;
    fixture.follower = RegistryFollower({.prefix = "u/", .allowsStaleStart = true}, 1);
    fixture.makeRegistryUnreachable();
    const auto outage = fixture.follower.takeUpdates(fixture.now);
    REQUIRE(outage.size() == 1);
    CHECK(std::holds_alternative<ReachabilityChanged>(outage[0]));
    CHECK(std::get<ReadPage>(fixture.call()).allowsStale);
    fixture.follower.onPage({.items = {item("u/a", "1", 3)}, .hasMore = true, .revision = 8},
                            fixture.now);
    CHECK(std::get<ReadPage>(fixture.call()).allowsStale);
    // The second page comes from an older copy.
    fixture.follower.onPage({.items = {item("u/b", "1", 2)}, .revision = 6}, fixture.now);
    CHECK(fixture.changes().empty());
    CHECK_FALSE(fixture.follower.isSynchronized());
    const auto watch = std::get<WatchChanges>(fixture.call());
    CHECK(watch.afterRevision == 6);
    CHECK(watch.timeout <= milliseconds(1));
    fixture.follower.onChanges({.items = {item("u/b", "2", 9)}, .revision = 9}, fixture.now);
    CHECK(fixture.follower.isSynchronized());
    CHECK(fixture.changes() == Changes {"u/a=1", "u/b=1", "u/b=2"});
}

TEST_CASE("A peer's listing is applied only when its revision is newer")
{
    Fixture fixture;
    fixture.list({item("u/a", "2", 9), item("u/b", "1", 4)}, 10);
    fixture.changes();
    fixture.follower.onPeerListing({.page = {.items = {item("u/a", "1", 3)}, .revision = 9}},
                                   fixture.now);
    CHECK(fixture.changes().empty());
    fixture.follower.onPeerListing({.page = {.items = {item("u/a", "3", 12)}, .revision = 12}},
                                   fixture.now);
    CHECK(fixture.changes() == Changes {"u/a=3", "-u/b"});
    CHECK(fixture.follower.listing(fixture.now).page.items.size() == 1);
    CHECK(fixture.follower.listing(fixture.now).page.revision == 12);
}

TEST_CASE("A peer's listing replaces a listing that is being read page by page")
{
    Fixture fixture;
    fixture.call();
    fixture.follower.onPage({.items = {item("u/a", "1", 3)}, .hasMore = true, .revision = 10},
                            fixture.now);
    CHECK(std::get<ReadPage>(fixture.call()).afterKey == "u/a");
    fixture.follower.onPeerListing(
        {.page = {.items = {item("u/a", "1", 3), item("u/b", "1", 4), item("u/c", "1", 5)},
                  .revision = 12}},
        fixture.now);
    CHECK(fixture.changes() == Changes {"u/a=1", "u/b=1", "u/c=1"});
    // The page was read before u/d was removed and without u/a, which the first page holds.
    fixture.follower.onPage(
        {.items = {item("u/b", "1", 4), item("u/c", "1", 5), item("u/d", "1", 6)}, .revision = 11},
        fixture.now);
    CHECK(fixture.changes().empty());
    CHECK(fixture.follower.revision() == 12);
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 12);
}

TEST_CASE("A page that fails after a peer's listing does not restart the listing")
{
    Fixture fixture;
    fixture.call();
    fixture.follower.onPage({.items = {item("u/a", "1", 3)}, .hasMore = true, .revision = 10},
                            fixture.now);
    fixture.call();
    fixture.follower.onPeerListing({.page = {.items = {item("u/a", "1", 3)}, .revision = 12}},
                                   fixture.now);
    fixture.follower.onError(CallError::Unreachable, fixture.now);
    fixture.now += model::seconds(1);
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 12);
}

TEST_CASE("Load pattern: all daemons list again after the registry dropped its history")
{
    std::set<model::TimePoint> starts;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Fixture fixture;
        fixture.follower = RegistryFollower({.prefix = "u/"}, seed);
        fixture.list({}, 5);
        fixture.failCall(CallError::Compacted);
        REQUIRE(fixture.follower.nextRun());
        starts.insert(*fixture.follower.nextRun());
        CHECK(*fixture.follower.nextRun() <= fixture.now + milliseconds(500));
    }
    CHECK(starts.size() == 50);
}

TEST_CASE("Calls that keep meeting dropped history are retried with backoff")
{
    Fixture fixture;
    const model::TimePoint start = fixture.now;
    int calls = 0;
    while (fixture.now < start + model::seconds(20)) {
        fixture.failCall(CallError::Compacted);
        ++calls;
        fixture.now = std::max(fixture.now, *fixture.follower.nextRun());
    }
    CHECK(calls <= 60);
    CHECK(std::get<ReadPage>(fixture.call()).afterKey.empty());
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

namespace
{

//! A follower "d0" that relies on readers, and one of these readers.
struct PairFixture {
    PairFixture()
        : hearer({.source = {.daemon = model::DaemonId("d0"), .zone = model::ZoneId("z")}}, 1)
    {
        std::vector<ReaderCandidate> daemons;
        for (int i = 0; i < 30; ++i) {
            daemons.push_back({.id = model::DaemonId("d" + std::to_string(i)),
                               .zone = model::ZoneId("z"),
                               .linkMbps = i == 0 ? 1U : 100U});
        }
        const model::DaemonId id = chooseReaders(daemons, {}).front().id;
        reader.emplace(FollowerOptions {.source = {.daemon = id, .zone = model::ZoneId("z")}}, 2);
        for (RegistryFollower *follower : {&hearer, &*reader}) {
            follower->setDaemons(daemons);
            REQUIRE(follower->takeCall(now));
            follower->onPage({.items = {item("a", "1", 3), item("b", "1", 4)}, .revision = 10},
                             now);
        }
        REQUIRE(reader->takeCall(now));
    }

    void exchange()
    {
        const auto call = hearer.takeCall(now);
        REQUIRE(call);
        REQUIRE(std::holds_alternative<WatchPeer>(*call));
        const auto changes = reader->changesAfter(std::get<WatchPeer>(*call).afterRevision, now);
        REQUIRE(changes);
        hearer.onPeerChanges(*changes, now);
    }

    RegistryFollower hearer;
    std::optional<RegistryFollower> reader;
    model::TimePoint now {model::seconds(10)};
};

} // namespace

TEST_CASE("A reader passes on values and removals after a revision")
{
    PairFixture fixture;
    fixture.reader->onChanges({.items = {removal("a", 11), item("b", "2", 12)}, .revision = 12},
                              fixture.now);
    CHECK(fixture.reader->isCurrentReader(fixture.now));
    fixture.exchange();
    CHECK(fixture.hearer.revision() == 12);
    CHECK(fixture.hearer.listing(fixture.now) == fixture.reader->listing(fixture.now));
    CHECK_FALSE(fixture.reader->changesAfter(9, fixture.now));
    fixture.now += milliseconds(2000);
    CHECK_FALSE(fixture.reader->isCurrentReader(fixture.now));
}

TEST_CASE("Content that differs from a reader's at the same revision is listed again, rarely")
{
    PairFixture fixture;
    fixture.reader->onChanges({.items = {item("b", "2", 12)}, .revision = 12}, fixture.now);
    // The follower missed a removal before its revision.
    const std::vector<RegistryItem> outdated {item("a", "1", 3), item("b", "2", 12),
                                              item("c", "1", 5)};
    fixture.hearer.onPeerListing({.page = {.items = outdated, .revision = 12}}, fixture.now);
    fixture.exchange();
    fixture.now += model::seconds(1);
    const auto relisting = fixture.hearer.takeCall(fixture.now);
    REQUIRE(relisting);
    CHECK(std::holds_alternative<ReadPage>(*relisting));
    fixture.hearer.onPage({.items = outdated, .revision = 12}, fixture.now);
    for (int second = 0; second < 5; ++second) {
        fixture.now += model::seconds(1);
        fixture.exchange();
    }
    fixture.now += model::seconds(10);
    fixture.exchange();
    fixture.now += model::seconds(1);
    CHECK(std::holds_alternative<ReadPage>(*fixture.hearer.takeCall(fixture.now)));
}

// Guards against a past that is applied as if it were news: a removed upstream would be listed
// again.
TEST_CASE("Changes from before the first listing are reported as past, later ones as changes")
{
    Fixture fixture;
    fixture.follower = RegistryFollower({.prefix = "u/", .pastRevisions = 64}, 1);
    fixture.list({item("u/a", "1", 90)}, 100);
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 36);
    SECTION("in one answer")
    {
        fixture.follower.onChanges({.items = {item("u/b", "2", 40), item("u/a", "1", 90),
                                              removal("u/b", 95), item("u/c", "3", 101)},
                                    .revision = 101},
                                   fixture.now);
    }
    SECTION("after the registry has forgotten a part")
    {
        fixture.follower.onError(CallError::Compacted, fixture.now);
        CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 84);
        fixture.follower.onChanges(
            {.items = {item("u/a", "1", 90), removal("u/b", 95), item("u/c", "3", 101)},
             .revision = 101},
            fixture.now);
    }
    size_t past = 0;
    std::vector<std::string> changed;
    for (const FollowerUpdate &update : fixture.follower.takeUpdates(fixture.now)) {
        if (const auto *before = std::get_if<PastChanges>(&update)) {
            past += before->items.size();
        }
        if (const auto *change = std::get_if<KeyChanged>(&update)) {
            changed.push_back(change->key);
        }
    }
    CHECK(past >= 2);
    CHECK(changed == std::vector<std::string> {"u/a", "u/c"});
    CHECK(fixture.follower.revision() == 101);
    fixture.now += model::seconds(1);
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 101);
}

TEST_CASE("A registry that has forgotten its past is asked for less and less, then no more")
{
    Fixture fixture;
    fixture.follower = RegistryFollower({.prefix = "u/", .pastRevisions = 16}, 1);
    fixture.list({item("u/a", "1", 90)}, 100);
    for (const uint64_t after : {84U, 96U, 99U}) {
        CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == after);
        fixture.follower.onError(CallError::Compacted, fixture.now);
    }
    size_t reports = 0;
    for (const FollowerUpdate &update : fixture.follower.takeUpdates(fixture.now)) {
        reports += std::holds_alternative<PastChanges>(update) ? 1 : 0;
    }
    CHECK(reports == 1);
    CHECK(fixture.follower.failures() == 0);
    CHECK(std::get<WatchChanges>(fixture.call()).afterRevision == 100);
}
