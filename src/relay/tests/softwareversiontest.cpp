#include <set>

#include "relay/tests/relayfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

const std::string oldVersion = "v1";
const std::string newVersion = "v1.1";

//! Engines of two software versions. Upstreams are named after their versions.
struct VersionFixture : RelayFixture {
    explicit VersionFixture(uint32_t oldUpstreams = 3, uint32_t newUpstreams = 3)
        : RelayFixture(0)
    {
        for (uint32_t i = 0; i < oldUpstreams; ++i) {
            list(oldVersion, i);
        }
        for (uint32_t i = 0; i < newUpstreams; ++i) {
            list(newVersion, i);
        }
    }

    static std::string idOf(const std::string &version, uint32_t number)
    {
        return absl::StrCat(version, "-", number);
    }

    void list(const std::string &version, uint32_t number, bool isLeaving = false)
    {
        system.onUpstreamListed({.id = model::UpstreamId(idOf(version, number)),
                                 .pool = enginePool,
                                 .address = {.host = "10.0.0.1", .port = 80},
                                 .zone = model::ZoneId("a"),
                                 .slots = 4,
                                 .isLeaving = isLeaving,
                                 .version = model::SoftwareVersion(version)},
                                now);
        collect();
    }
    void remove(const std::string &version, uint32_t number)
    {
        system.onUpstreamRemoved(model::UpstreamId(idOf(version, number)));
        collect();
    }

    model::RequestId send(const std::string &callerId, const std::string &resumes = {},
                          const std::string &lastEvent = {})
    {
        const model::RequestId id(++lastRequest);
        system.onRequestArrived({.request = id,
                                 .callerId = model::CallerRequestId(callerId),
                                 .host = "example",
                                 .path = "/resume/x",
                                 .accountKey = "key",
                                 .startedAt = now,
                                 .resumes = model::CallerRequestId(resumes),
                                 .lastEvent = lastEvent},
                                now);
        collect();
        return id;
    }

    std::string versionOf(const StartAttempt &attempt) const
    {
        return system.upstreams().find(attempt.upstream)->listing.version.text();
    }

    //! Begins a stream and brings its first event. Returns the version that began it.
    std::string begin(const std::string &callerId)
    {
        send(callerId);
        const auto attempt = take<StartAttempt>();
        head(attempt.attempt, success());
        system.onAttemptProgress(attempt.attempt, "1", now);
        collect();
        return versionOf(attempt);
    }
};

std::string callerId(int number)
{
    return absl::StrCat("caller-", number);
}

//! Fewer than the retry budget allows to resume.
constexpr int streamCount = 40;

} // namespace

// Guards against ORDER: a stream went on at any upstream of its pool, so that its text was joined
// from two software versions.
TEST_CASE("A stream is resumed only at the software version that began it")
{
    VersionFixture fixture;
    for (int i = 0; i < streamCount; ++i) {
        fixture.send(callerId(i));
        const auto first = fixture.take<StartAttempt>();
        fixture.head(first.attempt, RelayFixture::success());
        fixture.system.onAttemptProgress(first.attempt, "1", fixture.now);
        fixture.fail(first.attempt, AttemptFailure::Broken, "1");
        const auto second = fixture.take<StartAttempt>();
        CHECK(fixture.versionOf(second) == fixture.versionOf(first));
        CHECK(second.upstream != first.upstream);
    }
}

// Guards against ORDER by the same cause, where an upstream is silent and not lost.
TEST_CASE("A silent stream is resumed only at the software version that began it")
{
    VersionFixture fixture(1, 3);
    for (int i = 0; i < streamCount; ++i) {
        const std::string began = fixture.begin(callerId(i));
        fixture.advanceTime(milliseconds(1300));
        if (began == oldVersion) {
            CHECK(fixture.count<StartAttempt>() == 0);
        } else {
            CHECK(fixture.versionOf(fixture.take<StartAttempt>()) == began);
        }
        fixture.system.onCallerDisconnected(model::RequestId(fixture.lastRequest), fixture.now);
        fixture.collect();
        fixture.commands.clear();
    }
}

TEST_CASE("A stream whose software version is gone is aborted at once")
{
    VersionFixture fixture(1, 0);
    const std::string began = fixture.begin("c");
    fixture.list(newVersion, 0);
    fixture.remove(oldVersion, 0);
    fixture.fail(model::AttemptId(1), AttemptFailure::Broken, "1");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 1);
}

TEST_CASE("A run that brought no event binds its stream to no software version")
{
    VersionFixture fixture(1, 1);
    fixture.send("c");
    const auto first = fixture.take<StartAttempt>();
    const bool hasHead = GENERATE(false, true);
    if (hasHead) {
        fixture.head(first.attempt, RelayFixture::success());
    }
    fixture.fail(first.attempt, AttemptFailure::Broken);
    CHECK(fixture.take<StartAttempt>().upstream != first.upstream);
}

// Guards against ORDER: a stream that its caller took up again was served like a new one.
TEST_CASE("A stream that its caller takes up goes on at the software version that began it")
{
    VersionFixture fixture;
    VersionFixture other;
    const bool isSameDaemon = GENERATE(true, false);
    CAPTURE(isSameDaemon);
    VersionFixture &second = isSameDaemon ? fixture : other;
    std::set<std::string> versions;
    for (int i = 0; i < streamCount; ++i) {
        const std::string began = fixture.begin(callerId(i));
        versions.insert(began);
        second.commands.clear();
        second.send(callerId(1000 + i), callerId(i), "1");
        CHECK(second.versionOf(second.take<StartAttempt>()) == began);
    }
    CHECK(versions.size() == 2);
}

TEST_CASE("A stream whose software version is gone is refused at once when it is taken up")
{
    VersionFixture fixture(1, 0);
    fixture.begin("c");
    fixture.list(newVersion, 0);
    fixture.remove(oldVersion, 0);
    fixture.send("d", "c", "1");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
}

// Guards against LOST: streams of a pool that never had two versions were refused when they were
// taken up while upstreams came and went.
TEST_CASE("A stream of a pool with one software version or none can always be taken up")
{
    const std::string version = GENERATE(as<std::string>(), "v1", "");
    CAPTURE(version);
    VersionFixture fixture(0, 0);
    fixture.list(version, 0);
    fixture.advanceTime(model::seconds(1));
    for (uint32_t i = 1; i < 10; ++i) {
        fixture.list(version, i);
        fixture.remove(version, i - 1);
        fixture.advanceTime(milliseconds(400));
        fixture.send(callerId(100 + static_cast<int>(i)), "unseen", "3");
        CHECK(fixture.count<RefuseRequest>() == 0);
        CHECK(fixture.count<StartAttempt>() == i);
    }
}

// Guards against ORDER and LOST: the versions that began streams were guessed while a release moved
// streams from one version to another, or all of these were refused.
TEST_CASE("A stream from the time of a release is taken up at its own version or refused")
{
    VersionFixture first(4, 0);
    VersionFixture second(4, 0);
    const auto advance = [&](model::Duration time) {
        first.advanceTime(time);
        second.advanceTime(time);
    };
    advance(model::seconds(70));
    std::vector<std::string> began;
    for (int i = 0; i < streamCount / 2; ++i) {
        began.push_back(first.begin(callerId(i)));
    }
    for (VersionFixture *fixture : {&first, &second}) {
        fixture->list(newVersion, 0);
        fixture->list(newVersion, 1);
        fixture->list(oldVersion, 0, true);
        fixture->list(oldVersion, 1, true);
    }
    advance(milliseconds(100));
    for (int i = streamCount / 2; i < streamCount; ++i) {
        began.push_back(first.begin(callerId(i)));
    }
    const auto takeUp = [&](int number) {
        second.commands.clear();
        second.send(callerId(1000 + number), callerId(number), "1");
        return second.count<StartAttempt>() == 1 ? second.versionOf(second.take<StartAttempt>())
                                                 : std::string();
    };
    int refused = 0;
    for (int i = 0; i < streamCount; ++i) {
        const std::string version = takeUp(i);
        refused += version.empty() ? 1 : 0;
        CHECK((version.empty() || version == began[static_cast<size_t>(i)]));
    }
    CHECK(refused < streamCount / 2 + streamCount / 10);
    CHECK(first.versionOf([&] {
        first.commands.clear();
        first.send("again", callerId(0), "1");
        return first.take<StartAttempt>();
    }()) == began[0]);
}

// Guards against ORDER: a stream that began at an upstream whose version is not known went on at
// others, whose versions may differ.
TEST_CASE("A stream that began at an upstream without a software version goes on nowhere else")
{
    VersionFixture fixture(0, 0);
    fixture.list("", 0);
    fixture.list("", 1);
    fixture.send("c");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.list(newVersion, 0);
    fixture.advanceTime(milliseconds(10));
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.system.onAttemptProgress(attempt.attempt, "1", fixture.now);
    fixture.fail(attempt.attempt, AttemptFailure::Broken, "1");
    CHECK(fixture.count<AbortAnswer>() == 1);
    fixture.send("d", "c", "1");
    CHECK(fixture.take<RefuseRequest>().refusal == Refusal::VersionGone);
}

// Guards against ORDER: a pool that a route shares with another one depends on the attempt's id.
TEST_CASE("A stream is taken up in the pool that began it")
{
    VersionFixture fixture(2, 0);
    ConfigurationContent content = RelayFixture::configuration(2)->content();
    const model::PoolId otherPool("others");
    content.routes[3].pools.push_back({.pool = otherPool});
    content.pools.push_back({.id = otherPool});
    fixture.system.setConfiguration(std::make_shared<RelayConfiguration>(std::move(content)));
    fixture.listUpstream(otherPool, "o1");
    for (int i = 0; i < streamCount; ++i) {
        fixture.commands.clear();
        fixture.send(callerId(i));
        const auto first = fixture.take<StartAttempt>();
        const auto poolOf = [&](const StartAttempt &attempt) {
            return fixture.system.upstreams().find(attempt.upstream)->listing.pool;
        };
        fixture.send(callerId(1000 + i), callerId(i), "1");
        CHECK(poolOf(fixture.take<StartAttempt>()) == poolOf(first));
    }
}

TEST_CASE("New streams are shared among software versions in proportion to their upstreams")
{
    VersionFixture fixture(3, 1);
    int old = 0;
    constexpr int all = 400;
    for (int i = 0; i < all; ++i) {
        old += fixture.begin(callerId(i)) == oldVersion ? 1 : 0;
        fixture.commands.clear();
    }
    CHECK(old > all * 2 / 3);
    CHECK(old < all * 5 / 6);
}

// Guards against new streams that wait for one version while another one has room.
TEST_CASE("A new stream goes to another software version if its own has no upstream that works")
{
    VersionFixture fixture(1, 1);
    for (int i = 0; i < streamCount; ++i) {
        fixture.commands.clear();
        fixture.send(callerId(i));
        const auto first = fixture.take<StartAttempt>();
        fixture.answer(first.attempt, RelayFixture::notRun());
        CHECK(fixture.take<StartAttempt>().upstream != first.upstream);
    }
}
