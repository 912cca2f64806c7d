#include "relay/tests/promptfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

// Guards against one part of a prompt that crashes upstream after upstream: no two requests with it
// are alike, so counting crashes of identical requests never ends them.
TEST_CASE("Requests with a part that crashed three upstreams are refused, whatever else they hold")
{
    PromptFixture fixture;
    fixture.crash({"common", "deadly"});
    fixture.advanceTime(milliseconds(600));
    fixture.serve({"common", "sound"});
    fixture.crash({"deadly", "other"});
    fixture.advanceTime(milliseconds(600));
    fixture.crash({"common", "deadly"});
    fixture.advanceTime(milliseconds(600));
    CHECK_FALSE(fixture.isRefused({"common", "deadly"}));
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
    CHECK(fixture.isRefused({"new", "deadly", "newer"}));
    CHECK_FALSE(fixture.isRefused({"common", "sound"}));
    CHECK_FALSE(fixture.isRefused({"other"}));
}

// Guards against a daemon that keeps its finding to itself.
TEST_CASE("A suspicion is announced at once, and its confirmation when it is not disproved")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly"});
    const auto suspected = fixture.take<PublishSuspectedPart>();
    CHECK(suspected.suspicion.part == PromptFixture::fingerprint("deadly"));
    CHECK(suspected.suspicion.sinceFirstCrash == milliseconds(1200));
    CHECK(fixture.count<PublishQuarantinedPart>() == 0);
    fixture.passObjectionTime();
    CHECK(fixture.take<PublishQuarantinedPart>().part == suspected.suspicion.part);
}

// Guards against a daemon that starts later and is never told of a finding: two daemons that
// suspected a part at the same moment left it to each other to announce it.
TEST_CASE("A finding is announced by each daemon that announced its suspicion, else by any other")
{
    PromptFixture fixture;
    const model::Fingerprint part = PromptFixture::fingerprint("deadly");
    SECTION("when another daemon suspects the part too")
    {
        fixture.reportCrashes({"deadly"});
        fixture.system.onPeerSuspectedPart({.part = part, .sinceFirstCrash = model::seconds(1)},
                                           fixture.now);
        fixture.passObjectionTime();
        CHECK(fixture.count<PublishQuarantinedPart>() == 1);
    }
    SECTION("when the daemon that announced it is silent")
    {
        fixture.system.onPeerSuspectedPart({.part = part, .sinceFirstCrash = model::seconds(1)},
                                           fixture.now);
        fixture.reportCrashes({"deadly"});
        fixture.passObjectionTime();
        CHECK(fixture.count<PublishQuarantinedPart>() == 0);
        fixture.advanceTime(model::seconds(1));
        CHECK(fixture.count<PublishQuarantinedPart>() == 1);
    }
    SECTION("but not twice")
    {
        fixture.system.onPeerSuspectedPart({.part = part, .sinceFirstCrash = model::seconds(1)},
                                           fixture.now);
        fixture.reportCrashes({"deadly"});
        fixture.passObjectionTime();
        fixture.system.onPeerQuarantinedPart(part, {}, fixture.now);
        fixture.advanceTime(model::seconds(1));
        CHECK(fixture.count<PublishQuarantinedPart>() == 0);
    }
}

// Guards against crashes by requests that were accepted before their part was found out.
TEST_CASE("Requests that wait in their stages or for an answer end when a part is quarantined")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly"});
    fixture.prompt({"deadly"}, "/staged/x");
    fixture.prompt({"deadly"}, "/stream/x");
    const auto waiting = fixture.take<StartAttempt>();
    fixture.passObjectionTime();
    CHECK(fixture.take<CancelAttempt>().attempt == waiting.attempt);
    CHECK(fixture.count<RefuseRequest>() == 2);
    CHECK(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
    CHECK_FALSE(guaranteesNotRun(fixture.take<RefuseRequest>().refusal));
    CHECK(fixture.system.requestCount() == 0);
}

// Guards against a deadly part that is resumed or retried until no upstream is left.
TEST_CASE("A stream with a quarantined part is not resumed on another upstream")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly"});
    fixture.prompt({"deadly"}, "/resume/x");
    const auto attempt = fixture.take<StartAttempt>();
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.system.onPeerQuarantinedPart(PromptFixture::fingerprint("deadly"), {}, fixture.now);
    fixture.fail(attempt.attempt, AttemptFailure::Broken, "1");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 1);
}

// Guards against sound requests that are refused because they ran beside one that crashed their
// upstream.
TEST_CASE("A part is not suspected when its request had been answering for long before the crash")
{
    PromptFixture fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.prompt({"sound"});
        const auto attempt = fixture.take<StartAttempt>();
        fixture.head(attempt.attempt, RelayFixture::success());
        fixture.advanceTime(milliseconds(1100));
        fixture.fail(attempt.attempt, AttemptFailure::Broken);
    }
    fixture.passObjectionTime();
    CHECK_FALSE(fixture.isRefused({"sound"}));
}

// Guards against sound requests that are refused because many upstreams failed at the same moment.
TEST_CASE("Upstreams that crash together do not put the parts of their requests into quarantine")
{
    PromptFixture fixture;
    for (const char *upstream : {"a", "b", "c", "d", "e"}) {
        fixture.reportCrash({"common"}, upstream);
    }
    fixture.passObjectionTime();
    CHECK_FALSE(fixture.isRefused({"common"}));
}

// Guards against sound requests that are refused because their part is so common that it is hit by
// each crash: the more specific part explains the crashes.
TEST_CASE("Of the parts that are in all crashes only the most specific one is quarantined")
{
    PromptFixture fixture;
    for (const char *upstream : {"a", "b", "c"}) {
        fixture.reportCrash({"frequent"}, upstream);
        fixture.reportCrash({"common", "deadly"}, upstream);
        fixture.advanceTime(milliseconds(600));
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
    CHECK_FALSE(fixture.isRefused({"common"}));
    CHECK_FALSE(fixture.isRefused({"frequent"}));
}

// Guards against sessions that are refused for minutes because each crash of a small pool hit them:
// the part that is in all crashes explains them, not a more specific one that is in some.
TEST_CASE("The part that explains the most crashes is quarantined, not one that was beside it")
{
    PromptFixture fixture;
    fixture.reportCrash({"common", "deadly"}, "a");
    for (const char *upstream : {"b", "c", "d"}) {
        fixture.advanceTime(milliseconds(600));
        fixture.reportCrash({"common", "kind", "session"}, upstream);
        fixture.reportCrash({"common", "deadly"}, upstream);
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly"}));
    CHECK_FALSE(fixture.isRefused({"common", "kind", "session"}));
}

// Guards against sound requests that stay refused: an answer proves that their part is sound.
TEST_CASE("An answer clears the parts of its request, here and at the other daemons")
{
    PromptFixture fixture;
    SECTION("before there are enough crashes")
    {
        fixture.reportCrash({"common"}, "d");
        fixture.advanceTime(milliseconds(1000));
        fixture.serve({"common"});
        fixture.reportCrash({"common"}, "e");
        fixture.advanceTime(milliseconds(1000));
        fixture.reportCrash({"common"}, "f");
        fixture.passObjectionTime();
    }
    SECTION("while it is suspected")
    {
        fixture.reportCrashes({"common"});
        fixture.serve({"common"});
        CHECK(fixture.take<PublishClearedPart>().part == PromptFixture::fingerprint("common"));
        fixture.passObjectionTime();
    }
    SECTION("at another daemon, after the quarantine")
    {
        fixture.reportCrashes({"common"});
        fixture.passObjectionTime();
        REQUIRE(fixture.isRefused({"common"}));
        fixture.system.onPeerClearedPart(PromptFixture::fingerprint("common"), {}, fixture.now);
    }
    CHECK_FALSE(fixture.isRefused({"common"}));
}

// Guards against a quarantine by a daemon that saw the crashes but none of the answers.
TEST_CASE("A daemon that answered a part since the first crash objects to a suspicion or finding")
{
    PromptFixture fixture;
    const model::Fingerprint part = PromptFixture::fingerprint("common");
    fixture.serve({"common"});
    fixture.advanceTime(milliseconds(1000));
    fixture.system.onPeerSuspectedPart({.part = part, .sinceFirstCrash = milliseconds(900)},
                                       fixture.now);
    fixture.collect();
    CHECK(fixture.count<PublishClearedPart>() == 0);
    fixture.system.onPeerSuspectedPart({.part = part, .sinceFirstCrash = milliseconds(1100)},
                                       fixture.now);
    fixture.collect();
    CHECK(fixture.take<PublishClearedPart>().part == part);
    fixture.system.onPeerQuarantinedPart(part, {}, fixture.now);
    fixture.collect();
    CHECK(fixture.take<PublishClearedPart>().part == part);
    CHECK_FALSE(fixture.isRefused({"common"}));
}

// Guards against a daemon that restarts and sends the part to upstreams again.
TEST_CASE("A deadly part that another daemon found is refused at once unless answered since")
{
    PromptFixture fixture;
    const model::Fingerprint part = PromptFixture::fingerprint("deadly");
    fixture.system.onPeerQuarantinedPart(part, model::seconds(20), fixture.now);
    CHECK(fixture.isRefused({"deadly"}));
    fixture.system.onPeerClearedPart(part, model::seconds(30), fixture.now);
    CHECK(fixture.isRefused({"deadly"}));
    fixture.system.onPeerClearedPart(part, model::seconds(10), fixture.now);
    CHECK_FALSE(fixture.isRefused({"deadly"}));
}

// Guards against sound parts that are refused because they came in requests with a deadly one.
TEST_CASE("A crash that a quarantined part explains does not count against other parts")
{
    PromptFixture fixture;
    fixture.reportCrashes({"deadly"});
    fixture.passObjectionTime();
    for (const char *upstream : {"d", "e", "f"}) {
        fixture.reportCrash({"beside"}, upstream);
        fixture.reportCrash({"deadly", "rare"}, upstream);
        fixture.advanceTime(milliseconds(600));
    }
    fixture.passObjectionTime();
    CHECK_FALSE(fixture.isRefused({"rare"}));
    CHECK_FALSE(fixture.isRefused({"beside"}));
}
