#include "relay/tests/promptfixture.h"

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

namespace
{

//! Shared parts of a long prompt: one that comes first and passages that no other prompt has.
std::vector<std::string> longPrompt(const std::string &first, size_t passages)
{
    static uint64_t last = 0;
    std::vector<std::string> parts {first};
    for (size_t i = 0; i < passages; ++i) {
        parts.push_back(absl::StrCat("passage", ++last));
    }
    return parts;
}

PartCrash reported(const std::vector<std::string> &shared, const std::string &upstream)
{
    return crashReportOf(PromptFixture::fingerprints(shared), model::UpstreamId(upstream));
}

} // namespace

// Guards against a deadly part that is never found, as it stands before so many others that reports
// left it out (BUDGET).
TEST_CASE("A deadly part before many others is found")
{
    const size_t passages = GENERATE(40, 200, 1000);
    PromptFixture fixture;
    SECTION("if this daemon lost the requests")
    {
        for (int i = 0; i < 3; ++i) {
            fixture.crash(longPrompt("deadly", passages));
            fixture.advanceTime(milliseconds(600));
        }
    }
    SECTION("if this daemon lost one request and the others were lost elsewhere")
    {
        fixture.crash(longPrompt("deadly", passages));
        for (const char *upstream : {"a", "b", "c", "d", "e"}) {
            fixture.advanceTime(milliseconds(300));
            fixture.system.onPeerPartCrash(reported(longPrompt("deadly", passages), upstream), {},
                                           fixture.now);
        }
        fixture.advanceTime({});
    }
    CHECK(fixture.count<PublishSuspectedPart>() == 1);
    fixture.passObjectionTime();
    CHECK(fixture.isRefused(longPrompt("deadly", passages)));
    CHECK_FALSE(fixture.isRefused(longPrompt("sound", passages)));
}

// Guards against sound parts that are quarantined because sketches seem to hold them.
TEST_CASE("No part is suspected for long prompts that have nothing in common")
{
    const size_t passages = GENERATE(40, 1000, 4000);
    PromptFixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.crash(longPrompt("first" + std::to_string(i), passages));
        fixture.system.onPeerPartCrash(reported(longPrompt("other", passages), absl::StrCat(i)), {},
                                       fixture.now);
        fixture.system.onPeerPartCrash(
            reported(longPrompt("another" + std::to_string(i), passages), absl::StrCat(i)), {},
            fixture.now);
        fixture.advanceTime(milliseconds(600));
    }
    CHECK(fixture.count<PublishSuspectedPart>() == 0);
}

// Guards against fleet messages whose size a caller decides.
TEST_CASE("Crash reports list the parts of short prompts and hold a small sketch of long ones")
{
    const PartCrash listed = reported(longPrompt("first", 31), "a");
    CHECK(listed.parts.size() == 32);
    CHECK(listed.sketch.isEmpty());
    const std::vector<std::string> prompt = longPrompt("first", 5000);
    const PartCrash sketched = reported(prompt, "a");
    CHECK(sketched.parts.empty());
    CHECK(sketched.sketch.words().size() <= 128);
    CHECK(sketched.sketch == PartSketch(sketched.sketch.words()));
    for (const model::Fingerprint part : PromptFixture::fingerprints(prompt)) {
        REQUIRE(sketched.sketch.mayContain(part));
    }
    CHECK_FALSE(PartSketch().mayContain(model::Fingerprint(1)));
}

// Guards against a table that grows without limit while upstreams crash under long prompts.
TEST_CASE("The parts of crashes are bounded")
{
    PartCrashTable table;
    const model::TimePoint now {model::seconds(100)};
    for (int i = 0; i < 100; ++i) {
        table.add({.parts = PromptFixture::fingerprints(longPrompt("first", 4000)),
                   .sketch = {},
                   .upstream = model::UpstreamId(absl::StrCat(i))},
                  now);
    }
    size_t parts = 0;
    for (const auto &crash : table.crashes()) {
        parts += crash.parts.size();
    }
    CHECK(parts <= 200000);
    CHECK(table.crashes().back().upstream == model::UpstreamId("99"));
}

// Guards against a part that is found only where the reported cases have it: sound parts around it
// are in the same crashes, and were answered before.
TEST_CASE("A deadly part is found at any place among shared parts, and only it is refused")
{
    const size_t count = GENERATE(2, 33, 100, 200);
    const size_t place = GENERATE(0, 1, 2); // First, in the middle, last.
    CAPTURE(count, place);
    PromptFixture fixture;
    std::vector<std::string> sound;
    for (size_t i = 0; i < count; ++i) {
        sound.push_back(absl::StrCat("shared", i));
    }
    std::vector<std::string> deadly = sound;
    deadly.insert(deadly.begin() + static_cast<ptrdiff_t>(place * count / 2), "deadly");
    fixture.serve(sound);
    fixture.advanceTime(model::seconds(5));
    for (int i = 0; i < 3; ++i) {
        fixture.crash(deadly);
        fixture.advanceTime(milliseconds(600));
    }
    fixture.passObjectionTime();
    CHECK(fixture.isRefused(deadly));
    CHECK(fixture.isRefused({"deadly"}));
    CHECK_FALSE(fixture.isRefused(sound));
}

// Guards against a second deadly part that hides behind the first one.
TEST_CASE("Two deadly parts at once are both found")
{
    PromptFixture fixture;
    fixture.serve({"first", "shared"});
    fixture.advanceTime(model::seconds(5));
    for (int i = 0; i < 4; ++i) {
        fixture.crash({"deadly", "shared"});
        fixture.advanceTime(milliseconds(300));
        fixture.crash({"first", "lethal"});
        fixture.advanceTime(milliseconds(300));
    }
    fixture.passObjectionTime();
    fixture.passObjectionTime();
    CHECK(fixture.isRefused({"deadly", "shared"}));
    CHECK(fixture.isRefused({"first", "lethal"}));
    CHECK_FALSE(fixture.isRefused({"first", "shared"}));
}
