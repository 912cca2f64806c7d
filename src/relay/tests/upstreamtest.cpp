#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>
#include <set>

#include "relay/retrybudget.h"
#include "relay/upstreamchooser.h"
#include "relay/upstreamdirectory.h"

using namespace citronpick;
using namespace citronpick::relay;
using model::milliseconds;

namespace
{

const model::PoolId pool("pool");
const model::TimePoint start(model::seconds(100));

UpstreamListing listing(const std::string &id, const std::string &zone = "a")
{
    return {.id = model::UpstreamId(id),
            .pool = pool,
            .address = {.host = "10.0.0.1", .port = 80},
            .zone = model::ZoneId(zone),
            .slots = 4,
            .incarnation = 1};
}

} // namespace

TEST_CASE("The directory reports how a listing changed")
{
    UpstreamDirectory directory;
    UpstreamListing entry = listing("u");
    CHECK(directory.apply(entry) == ListingChange::Added);
    CHECK(directory.apply(entry) == ListingChange::None);
    entry.isLeaving = true;
    CHECK(directory.apply(entry) == ListingChange::BeganLeaving);
    entry.isLeaving = false;
    entry.incarnation = 2;
    CHECK(directory.apply(entry) == ListingChange::Restarted);
    CHECK(directory.remove(entry.id));
    CHECK_FALSE(directory.remove(entry.id));
    CHECK(directory.inPool(pool).empty());
}

// Guards against requests to an upstream that leaves: its entry is written once more as it was
// before, or without the time of its start.
TEST_CASE("An upstream that has begun to leave is usable again only after a restart")
{
    UpstreamDirectory directory;
    UpstreamListing entry = listing("u");
    entry.incarnation = 7;
    entry.isLeaving = true;
    directory.apply(entry);
    entry.isLeaving = false;
    for (const uint64_t incarnation : {7, 6, 0}) {
        CAPTURE(incarnation);
        entry.incarnation = incarnation;
        directory.apply(entry);
        CHECK_FALSE(UpstreamDirectory::isUsable(*directory.find(entry.id), start));
    }
    entry.incarnation = 8;
    CHECK(directory.apply(entry) == ListingChange::Restarted);
    CHECK(UpstreamDirectory::isUsable(*directory.find(entry.id), start));
}

TEST_CASE("After two consecutive failures an upstream is avoided, then gets one request at a time")
{
    UpstreamDirectory directory;
    directory.apply(listing("u"));
    Upstream &upstream = *directory.find(model::UpstreamId("u"));
    directory.noteFailure(upstream.listing.id, start);
    CHECK(UpstreamDirectory::isUsable(upstream, start));
    directory.noteFailure(upstream.listing.id, start);
    CHECK_FALSE(UpstreamDirectory::isUsable(upstream, start + milliseconds(900)));
    CHECK(UpstreamDirectory::isUsable(upstream, start + milliseconds(1000)));
    upstream.inFlight = 1;
    CHECK_FALSE(UpstreamDirectory::isUsable(upstream, start + milliseconds(1000)));
    directory.noteFailure(upstream.listing.id, start + milliseconds(1100));
    upstream.inFlight = 0;
    CHECK_FALSE(UpstreamDirectory::isUsable(upstream, start + milliseconds(3000)));
    directory.noteSuccess(upstream.listing.id, start + milliseconds(1200));
    upstream.inFlight = 3;
    CHECK(UpstreamDirectory::isUsable(upstream, start));
}

TEST_CASE("A restart under the same id resets an upstream's failures")
{
    UpstreamDirectory directory;
    UpstreamListing entry = listing("u");
    directory.apply(entry);
    directory.noteReplaced(entry.id, start);
    CHECK_FALSE(UpstreamDirectory::isUsable(*directory.find(entry.id), start));
    entry.incarnation = 2;
    directory.apply(entry);
    CHECK(UpstreamDirectory::isUsable(*directory.find(entry.id), start));
}

TEST_CASE("The least loaded upstream is chosen, at equal load one in the preferred zone")
{
    UpstreamDirectory directory;
    directory.apply(listing("u1", "a"));
    directory.apply(listing("u2", "b"));
    UpstreamChooser chooser(directory, 1);
    const UpstreamCriteria criteria {.pool = pool, .preferredZone = model::ZoneId("b")};
    CHECK(chooser.choose(criteria, start)->listing.id == model::UpstreamId("u2"));
    directory.find(model::UpstreamId("u2"))->inFlight = 1;
    CHECK(chooser.choose(criteria, start)->listing.id == model::UpstreamId("u1"));
}

TEST_CASE("Leaving and excluded upstreams are never chosen, avoided ones only as a last resort")
{
    UpstreamDirectory directory;
    directory.apply(listing("u1"));
    UpstreamListing leaving = listing("u2");
    leaving.isLeaving = true;
    directory.apply(leaving);
    UpstreamChooser chooser(directory, 1);
    const UpstreamCriteria criteria {.pool = pool};
    directory.noteFailure(model::UpstreamId("u1"), start);
    directory.noteFailure(model::UpstreamId("u1"), start);
    REQUIRE(chooser.choose(criteria, start));
    CHECK(chooser.choose(criteria, start)->listing.id == model::UpstreamId("u1"));
    CHECK_FALSE(chooser.choose({.pool = pool, .excluded = {model::UpstreamId("u1")}}, start));
}

TEST_CASE("Load pattern: requests of one session share an upstream until that one is overloaded")
{
    UpstreamDirectory directory;
    for (int i = 0; i < 6; ++i) {
        directory.apply(listing(absl::StrCat("u", i)));
    }
    UpstreamChooser chooser(directory, 1);
    const UpstreamCriteria criteria {.pool = pool, .affinity = "session", .promptTokens = 1000};
    const model::UpstreamId home = chooser.choose(criteria, start)->listing.id;
    std::set<model::UpstreamId> used;
    for (int i = 0; i < 12; ++i) {
        const Upstream *choice = chooser.choose(criteria, start);
        Upstream &upstream = *directory.find(choice->listing.id);
        upstream.inFlightTokens += criteria.promptTokens;
        if (i < 3) {
            CHECK(upstream.listing.id == home);
        }
        used.insert(upstream.listing.id);
    }
    CHECK(used.size() > 1);
    CHECK(directory.find(home)->inFlightTokens < 12000);
}

TEST_CASE("Sessions are spread over upstreams and keep their upstream when another one is removed")
{
    UpstreamDirectory directory;
    for (int i = 0; i < 9; ++i) {
        directory.apply(listing(absl::StrCat("u", i)));
    }
    UpstreamChooser chooser(directory, 1);
    const auto homeOf = [&](int session) {
        return chooser
            .choose({.pool = pool, .affinity = absl::StrCat("s", session), .promptTokens = 10},
                    start)
            ->listing.id;
    };
    std::vector<model::UpstreamId> before;
    for (int i = 0; i < 90; ++i) {
        before.push_back(homeOf(i));
    }
    CHECK(std::set<model::UpstreamId>(before.begin(), before.end()).size() == 9);
    directory.remove(model::UpstreamId("u0"));
    for (int i = 0; i < 90; ++i) {
        if (before[i] != model::UpstreamId("u0")) {
            CHECK(homeOf(i) == before[i]);
        }
    }
}

TEST_CASE("The retry budget is a share of recent requests and of the fleet's slack")
{
    RetryBudget budget({.ratio = 0.2, .slack = 20.0, .window = model::seconds(10)});
    budget.setDaemons(2);
    for (int i = 0; i < 10; ++i) {
        budget.noteRequest(pool, start);
    }
    // 0.2 retries for each of ten requests, and 70 % of one daemon's half of the slack.
    int taken = 0;
    while (budget.take(pool, start)) {
        ++taken;
    }
    CHECK(taken == 9);
    CHECK_FALSE(budget.take(pool, start + model::seconds(5)));
    CHECK(budget.take(pool, start + model::seconds(11)));
}
