#include "relay/tests/promptfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

// Guards against deadly requests that pass again: an upstream's failure, such as the deadline that
// a request spent in its queue, does not show that the upstream survives an answer.
TEST_CASE("A failure from an upstream does not clear the parts of its request")
{
    PromptFixture fixture;
    fixture.crash({"deadly"});
    fixture.advanceTime(milliseconds(600));
    fixture.crash({"deadly"});
    fixture.serve({"deadly"}, RelayFixture::success(504));
    fixture.advanceTime(milliseconds(600));
    fixture.crash({"deadly"});
    fixture.advanceTime(milliseconds(100));
    fixture.advanceTime(model::seconds(2));
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against a deadly part that is never found in a small pool whose upstreams keep their names
// when they return.
TEST_CASE("Each crash of an upstream that returned in between counts")
{
    PromptFixture fixture;
    for (int i = 0; i < 12; ++i) {
        fixture.system.upstreams().remove(model::UpstreamId(absl::StrCat("e", i)));
    }
    for (uint64_t start = 1; start <= 3; ++start) {
        fixture.system.upstreams().apply(
            {.id = model::UpstreamId("e0"), .pool = enginePool, .slots = 4, .incarnation = start});
        fixture.crash({"deadly"});
        fixture.advanceTime(model::seconds(4));
    }
    fixture.advanceTime(milliseconds(100));
    fixture.advanceTime(model::seconds(2));
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against the same if some daemon still knows the start before.
TEST_CASE("Each crash of an upstream counts when it is also reported with the start before")
{
    PromptFixture fixture;
    fixture.reportCrash({"deadly"}, "a/1");
    for (int start = 2; start <= 3; ++start) {
        fixture.advanceTime(model::seconds(4));
        fixture.reportCrash({"deadly"}, absl::StrCat("a/", start - 1));
        fixture.reportCrash({"deadly"}, absl::StrCat("a/", start));
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against a part that is found late while daemons restart: crashes counted from when the
// reports arrived, which is the same moment for all of them at a daemon that has just started.
TEST_CASE("Crashes that other daemons report count from when they happened")
{
    PromptFixture fixture;
    fixture.reportCrash({"deadly"}, "a", milliseconds(2500));
    fixture.reportCrash({"deadly"}, "c", milliseconds(600));
    fixture.reportCrash({"deadly"}, "b", milliseconds(1900));
    CHECK(fixture.count<PublishSuspectedPart>() == 1);
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
}

// Guards against sound parts that are refused in a deployment with many sessions: the time of the
// last answer was forgotten in the order of the first answers.
TEST_CASE("The last answer of a part in use is kept while many other parts are answered")
{
    PartQuarantine quarantine;
    const model::Fingerprint used(1);
    model::TimePoint now {model::seconds(100)};
    uint64_t other = 100;
    const auto answerOthers = [&](int count) {
        for (int i = 0; i < count; ++i) {
            now += milliseconds(1);
            quarantine.addAnswer({model::Fingerprint(++other)}, now);
        }
    };
    quarantine.addAnswer({used}, now);
    answerOthers(8000);
    quarantine.addAnswer({used}, now);
    answerOthers(500);
    CHECK(quarantine.addPeerSuspicion(used, now - model::seconds(1), now));
}
