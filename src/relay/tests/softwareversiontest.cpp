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
        system.upstreams().remove(model::UpstreamId(idOf(version, number)));
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

constexpr int streamCount = 60;

} // namespace

// Guards against ORDER: a stream went on at any upstream of its pool, so that its text was joined
// from two software versions.
TEST_CASE("A stream is resumed only at the software version that began it", "[!mayfail]")
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
TEST_CASE("A silent stream is resumed only at the software version that began it", "[!mayfail]")
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

TEST_CASE("A stream whose software version is gone is aborted at once", "[!mayfail]")
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
TEST_CASE("A stream that its caller takes up goes on at the software version that began it",
          "[!mayfail]")
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

TEST_CASE("A stream whose software version is gone is refused at once when it is taken up",
          "[!mayfail]")
{
    VersionFixture fixture(1, 0);
    fixture.begin("c");
    fixture.list(newVersion, 0);
    fixture.remove(oldVersion, 0);
    fixture.send("d", "c", "1");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
}
