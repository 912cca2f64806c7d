#include "relay/tests/promptfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

// Guards against refusing all requests of a route (LOST): the part that they share stands behind
// the deadly one, and while upstreams crash no answer is complete that would clear it.
TEST_CASE("Of parts in the same crashes, one that was answered before them is not quarantined")
{
    PromptFixture fixture;
    fixture.serve({"first", "shared"});
    fixture.advanceTime(model::seconds(10));
    fixture.reportCrashes({"deadly", "shared"});
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

// Guards against refusing all requests of a route (LOST): an upstream that has returned is used
// before its new start is listed, so one crash was reported with two starts and counted twice
// against the part that sound requests share.
TEST_CASE("A crash that is reported with two starts of the upstream counts once")
{
    const auto [deadlyStart, soundStart] = GENERATE(std::pair {"2", "1"}, std::pair {"1", "2"});
    PromptFixture fixture;
    fixture.serve({"first", "shared"});
    fixture.advanceTime(model::seconds(10));
    for (const char *upstream : {"a/", "b/", "c/"}) {
        fixture.reportCrash({"deadly", "shared"}, absl::StrCat(upstream, deadlyStart));
        fixture.reportCrash({"second", "shared"}, absl::StrCat(upstream, soundStart));
        fixture.advanceTime(milliseconds(600));
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

// Guards against the same if reports that name the deadly part are late or missing.
TEST_CASE("An answered part goes before one that never was only if it is in many more crashes")
{
    PromptFixture fixture;
    fixture.serve({"first", "shared"});
    fixture.advanceTime(model::seconds(10));
    fixture.reportCrashes({"deadly", "shared"});
    fixture.reportCrash({"second", "shared"}, "d");
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

// Guards against upstreams that go on to crash: a part can become deadly after it was answered.
TEST_CASE("An answered part is quarantined although one that never was is in some of its crashes")
{
    PromptFixture fixture;
    fixture.serve({"deadly"});
    fixture.advanceTime(model::seconds(10));
    fixture.reportCrashes({"deadly", "session"});
    for (const char *upstream : {"d", "e", "f"}) {
        fixture.reportCrash({"deadly"}, upstream);
        fixture.advanceTime(milliseconds(600));
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against the same at a daemon that has just started: streams take seconds to their end, but
// a deadly part crashes its upstream at the first event.
TEST_CASE("A stream that goes on clears the parts of its request before it is complete")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly", "shared"});
    fixture.streamFor({"first", "shared"}, milliseconds(1100));
    CHECK(fixture.take<PublishClearedPart>().part == PromptFixture::fingerprint("shared"));
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

// Guards against a deadly part that is cleared by its own request: the upstream crashes at the
// first event, however late that is.
TEST_CASE("A stream clears nothing until an event follows the first one after a while")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly"});
    fixture.prompt({"deadly"});
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.advanceTime(milliseconds(1200));
    fixture.progress(attempt.attempt);
    fixture.advanceTime(milliseconds(200));
    fixture.progress(attempt.attempt);
    fixture.advanceTime(milliseconds(100));
    CHECK(fixture.count<PublishClearedPart>() == 0);
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against a deadly part that is counted from zero, and crashes more upstreams, each time
// that a sound part which had been taken for the cause is cleared.
TEST_CASE("A part is quarantined for the crashes of a part that is cleared")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly", "shared"});
    fixture.passObjectionTime();
    REQUIRE(fixture.isRefused({"first", "shared"}));
    fixture.system.onPeerClearedPart(PromptFixture::fingerprint("shared"), {}, fixture.now);
    fixture.advanceTime({});
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

namespace
{

//! A daemon that knows of no answers has quarantined the part that sound requests share.
struct WrongQuarantine : PromptFixture {
    WrongQuarantine()
    {
        reportCrashes({"deadly", "shared"});
        passObjectionTime();
        REQUIRE(isRefused({"first", "shared"}));
        advanceTime(model::seconds(2));
    }
};

} // namespace

// Guards against a sound part that is refused for ten minutes (LOST): as no request with it reached
// an upstream any more, no answer could clear it.
TEST_CASE("Requests without another part that may be the cause end a wrong quarantine")
{
    WrongQuarantine fixture;
    CHECK(fixture.isRefused({"deadly", "shared"}));
    fixture.streamFor({"first", "shared"}, milliseconds(1100));
    CHECK(fixture.take<PublishClearedPart>().part == PromptFixture::fingerprint("shared"));
    fixture.advanceTime({});
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK(fixture.isRefused({"deadly"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}

// Guards against trials that crash upstream after upstream (BUDGET).
TEST_CASE("A trial that crashes an upstream is not retried, and the next one follows much later")
{
    WrongQuarantine fixture;
    fixture.prompt({"first", "shared"}, "/resume/x");
    const auto trial = fixture.take<StartAttempt>();
    fixture.fail(trial.attempt, AttemptFailure::Broken);
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.isRefused({"first", "shared"}));
    fixture.advanceTime(model::seconds(29));
    CHECK(fixture.isRefused({"first", "shared"}));
    fixture.advanceTime(model::seconds(1));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
    fixture.reportCrash({"first", "shared"}, "x");
    fixture.advanceTime(model::seconds(59));
    CHECK(fixture.isRefused({"first", "shared"}));
}

// Guards against a crash at each daemon that has just started (BUDGET): it knows of one crash, so
// all parts in it seemed to be explanations, and most deadly requests are without one of these.
TEST_CASE("A daemon that is told of a quarantine but not of the crashes lets no trial through")
{
    PromptFixture fixture;
    fixture.reportCrash({"deadly", "shared", "first"}, "a");
    fixture.reportCrash({"shared", "second"}, "a");
    fixture.system.onPeerQuarantinedPart(PromptFixture::fingerprint("deadly"), model::seconds(3),
                                         fixture.now);
    fixture.advanceTime({});
    CHECK(fixture.isRefused({"deadly", "shared", "third"}));
}
