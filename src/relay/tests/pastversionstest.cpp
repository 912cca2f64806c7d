#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

const model::WallTime wallNow(std::chrono::milliseconds(1'700'000'000'000));
const model::TimePoint startTime {model::seconds(100'000)};

uint64_t bornBefore(int64_t milliseconds)
{
    return static_cast<uint64_t>(wallNow.time_since_epoch().count() - milliseconds);
}

UpstreamListing listing(const std::string &version, uint32_t number, int64_t ageMs,
                        bool isLeaving = false)
{
    return {.id = model::UpstreamId(absl::StrCat(version, "-", number)),
            .pool = enginePool,
            .address = {.host = "10.0.0.1", .port = 80},
            .zone = model::ZoneId("a"),
            .slots = 4,
            .isLeaving = isLeaving,
            .incarnation = bornBefore(ageMs),
            .version = model::SoftwareVersion(version)};
}

//! A daemon that has just started: all others were killed with it.
struct RestartedFixture : RelayFixture {
    RestartedFixture()
        : RelayFixture(0)
    {
        now = startTime;
    }

    void start(const std::vector<UpstreamListing> &listed, const std::vector<PastListing> &past)
    {
        for (const UpstreamListing &each : listed) {
            system.onUpstreamListed(each, now);
        }
        system.onPastListings(past, wallNow, now);
        system.run(now);
        collect();
    }

    //! Takes up a stream whose caller has waited for \a waited of the route's 8 s. Returns the
    //! version at which it goes on; empty if it is refused.
    std::string takeUp(const std::string &origin, model::Duration waited)
    {
        commands.clear();
        system.onRequestArrived(
            {.request = model::RequestId(++lastRequest),
             .callerId = model::CallerRequestId(absl::StrCat("again-", lastRequest)),
             .host = "example",
             .path = "/resume/x",
             .accountKey = "key",
             .timeLeft = model::seconds(8) - waited,
             .startedAt = now,
             .resumes = model::CallerRequestId(origin),
             .lastEvent = "1"},
            now);
        collect();
        if (count<StartAttempt>() == 0) {
            return {};
        }
        return system.upstreams().find(take<StartAttempt>().upstream)->listing.version.text();
    }
};

std::vector<UpstreamListing> several(const std::string &version, uint32_t count, int64_t ageMs)
{
    std::vector<UpstreamListing> listings;
    for (uint32_t i = 0; i < count; ++i) {
        listings.push_back(listing(version, i, ageMs));
    }
    return listings;
}

PastListing change(const UpstreamListing &listing, bool isFirst = false)
{
    return {.id = listing.id, .listing = listing, .isFirst = isFirst};
}

constexpr int streamCount = 40;
constexpr model::Duration longWait = model::seconds(6);
constexpr model::Duration shortWait = model::seconds(1);

} // namespace

// Guards against ORDER: after all daemons were killed, streams of a version whose upstreams had
// just left went on at another one.
TEST_CASE("A stream of a software version that has just left is not joined after a restart")
{
    RestartedFixture fixture;
    std::vector<PastListing> past;
    VersionCounts before;
    SECTION("which the registry's history tells")
    {
        before = {{model::SoftwareVersion("v1"), 4}, {model::SoftwareVersion("v1.1"), 4}};
        for (uint32_t i = 0; i < 4; ++i) {
            past.push_back(change(listing("v1", i, 60'000, true)));
        }
        for (uint32_t i = 0; i < 4; ++i) {
            past.push_back({.id = listing("v1", i, 0).id});
        }
        fixture.start(several("v1.1", 4, 30'000), past);
    }
    SECTION("which the starts of those that are listed tell")
    {
        fixture.start(several("v1.1", 4, 3'000), past);
    }
    for (int i = 0; i < streamCount; ++i) {
        const std::string origin = absl::StrCat("c", i);
        const std::string began = placedVersion(model::CallerRequestId(origin), before).text();
        CHECK(fixture.takeUp(origin, longWait) == (began == "v1.1" ? began : ""));
    }
}

// Guards against LOST: streams that began after a release were refused as well.
TEST_CASE("Streams that began after a release are taken up after a restart")
{
    RestartedFixture fixture;
    std::vector<PastListing> past;
    for (uint32_t i = 0; i < 4; ++i) {
        past.push_back(change(listing("v1.1", i, 9'000), true));
    }
    for (uint32_t i = 0; i < 4; ++i) {
        past.push_back(change(listing("v1", i, 60'000, true)));
    }
    // The start of another upstream shows that the old ones had begun to leave by then.
    past.push_back(change(listing("v1.1", 4, 6'000), true));
    std::vector<UpstreamListing> listed = several("v1.1", 4, 9'000);
    listed.push_back(listing("v1.1", 4, 6'000));
    fixture.start(listed, past);
    const VersionCounts together
        = {{model::SoftwareVersion("v1"), 4}, {model::SoftwareVersion("v1.1"), 4}};
    for (int i = 0; i < streamCount; ++i) {
        const std::string origin = absl::StrCat("c", i);
        CHECK(fixture.takeUp(origin, shortWait) == "v1.1");
        const std::string began = placedVersion(model::CallerRequestId(origin), together).text();
        CHECK(fixture.takeUp(origin, longWait) == (began == "v1.1" ? began : ""));
    }
}

TEST_CASE("Streams of two software versions side by side are taken up after a restart")
{
    RestartedFixture fixture;
    std::vector<UpstreamListing> listed = several("v1", 3, 60'000);
    const std::vector<UpstreamListing> newer = several("v1.1", 3, 30'000);
    listed.insert(listed.end(), newer.begin(), newer.end());
    VersionCounts counts;
    counts[model::SoftwareVersion("v1")] = 3;
    counts[model::SoftwareVersion("v1.1")] = 3;
    fixture.start(listed, {});
    for (int i = 0; i < streamCount; ++i) {
        const std::string origin = absl::StrCat("c", i);
        CHECK(fixture.takeUp(origin, longWait)
              == placedVersion(model::CallerRequestId(origin), counts).text());
    }
}

// Guards against LOST in a deployment that never had two versions.
TEST_CASE("A restart refuses no stream of a pool that had one software version all the time")
{
    RestartedFixture fixture;
    std::vector<PastListing> past;
    SECTION("with a history of upstreams that left, crashed and came")
    {
        past = {change(listing("v1", 7, 50'000, true)),
                {.id = listing("v1", 8, 0).id},
                change(listing("v1", 2, 2'000), true),
                {.id = listing("v1", 7, 0).id}};
    }
    SECTION("without a history")
    {
    }
    std::vector<UpstreamListing> listed = several("v1", 2, 40'000);
    listed.push_back(listing("v1", 2, 2'000));
    fixture.start(listed, past);
    for (int i = 0; i < streamCount; ++i) {
        CHECK(fixture.takeUp(absl::StrCat("c", i), longWait) == "v1");
    }
}
