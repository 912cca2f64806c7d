#include "relay/tests/noticefixture.h"

// Each test guards against DRAIN: requests reach an upstream after one of its answers has told this
// daemon that it leaves.

using namespace citronpick;
using namespace citronpick::relay;
using namespace citronpick::relay::testing;

using Names = NoticeFixture::Names;

namespace
{

//! Starts requests until one is sent to \a upstream.
StartAttempt startAt(NoticeFixture &fixture, const std::string &path, const std::string &upstream)
{
    for (int i = 0; i < 30; ++i) {
        fixture.commands.clear();
        fixture.arrive(path);
        const auto attempt = fixture.take<StartAttempt>();
        if (attempt.upstream.text() == upstream) {
            return attempt;
        }
    }
    FAIL("the upstream got no request");
    return {};
}

} // namespace

TEST_CASE("An upstream whose answer says that it leaves gets no further request of any kind")
{
    NoticeFixture fixture;
    fixture.sayLeaving("e0");
    fixture.sayLeaving("k0");
    CHECK(fixture.usedBy("/safe/x") == Names {"k1"});
    CHECK(fixture.usedBy("/once/x") == Names {"k1"});
    CHECK(fixture.usedBy("/stream/x") == Names {"e1"});
    CHECK(fixture.usedBy("/resume/x") == Names {"e1"});
}

TEST_CASE("A retry does not go to an upstream whose answer said that it leaves")
{
    NoticeFixture fixture(3);
    fixture.sayLeaving("k0");
    for (int i = 0; i < 12; ++i) {
        fixture.commands.clear();
        fixture.arrive("/safe/x");
        fixture.answer(fixture.take<StartAttempt>().attempt, RelayFixture::success(500));
        CHECK(fixture.take<StartAttempt>().upstream != model::UpstreamId("k0"));
    }
}

TEST_CASE("A stream is not resumed at an upstream whose answer said that it leaves")
{
    NoticeFixture fixture;
    const auto attempt = startAt(fixture, "/resume/x", "e1");
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.sayLeaving("e0");
    fixture.fail(attempt.attempt, AttemptFailure::Broken, "3");
    CHECK(fixture.count<StartAttempt>() == 0);
    CHECK(fixture.count<AbortAnswer>() == 1);
}

TEST_CASE("A stream that an upstream has begun goes on after it said that it leaves")
{
    NoticeFixture fixture;
    const auto attempt = startAt(fixture, "/stream/x", "e0");
    fixture.sayLeaving("e0");
    fixture.head(attempt.attempt, RelayFixture::success());
    fixture.end(attempt.attempt);
    CHECK(fixture.count<CancelAttempt>() == 0);
    CHECK(fixture.count<FinishStream>() == 1);
}

TEST_CASE("Queued pieces do not go to an upstream of their stage that said that it leaves")
{
    NoticeFixture fixture;
    fixture.arrive("/staged/x");
    fixture.arrive("/staged/x");
    fixture.arrive("/staged/x");
    const auto first = fixture.take<RunBatch>();
    fixture.sayLeaving(first.upstream.text());
    fixture.system.onBatchAnswered(first.batch, {{.failure = ItemFailure::None, .handle = "h"}},
                                   fixture.now);
    fixture.collect();
    fixture.advanceTime(milliseconds(400));
    while (fixture.count<RunBatch>() > 0) {
        const auto next = fixture.take<RunBatch>();
        CHECK(next.upstream != first.upstream);
        fixture.system.onBatchRefused(next.batch, fixture.now);
        fixture.collect();
        if (fixture.commands.size() > 20) {
            break;
        }
    }
}

TEST_CASE("A pool whose upstreams all said that they leave refuses at once with a retry time")
{
    NoticeFixture fixture;
    for (const char *id : {"e0", "e1", "k0", "k1"}) {
        fixture.sayLeaving(id);
    }
    for (const char *path : {"/safe/x", "/once/x", "/stream/x", "/resume/x", "/staged/x"}) {
        CAPTURE(path);
        fixture.commands.clear();
        fixture.arrive(path);
        CHECK(fixture.count<StartAttempt>() == 0);
        CHECK(fixture.count<RunBatch>() == 0);
        const auto refusal = fixture.take<RefuseRequest>();
        CHECK(guaranteesNotRun(refusal.refusal));
        CHECK(refusal.retryAfter > model::Duration::zero());
    }
}

TEST_CASE("A stage whose upstreams all said that they leave refuses at once with a retry time")
{
    NoticeFixture fixture;
    const bool isQueued = GENERATE(false, true);
    CAPTURE(isQueued);
    if (isQueued) {
        for (int i = 0; i < 3; ++i) {
            fixture.arrive("/staged/x");
        }
    }
    fixture.sayLeaving("s0");
    fixture.sayLeaving("s1");
    fixture.arrive("/staged/x");
    fixture.advanceTime(milliseconds(1));
    const auto refusal = fixture.take<RefuseRequest>();
    CHECK(guaranteesNotRun(refusal.refusal));
    CHECK(refusal.retryAfter > model::Duration::zero());
}

TEST_CASE("No listing of the same or an earlier start takes back that an upstream leaves")
{
    NoticeFixture fixture;
    fixture.sayLeaving("k0");
    SECTION("written once more")
    {
        fixture.list(deskPool, "k0");
    }
    SECTION("older")
    {
        fixture.list(deskPool, "k0", NoticeFixture::firstStart - 1);
    }
    SECTION("without a start time")
    {
        fixture.list(deskPool, "k0", 0);
    }
    SECTION("with another address")
    {
        fixture.system.upstreams().apply({.id = model::UpstreamId("k0"),
                                          .pool = deskPool,
                                          .address = {.host = "10.0.0.2", .port = 80},
                                          .zone = model::ZoneId("a"),
                                          .slots = 4,
                                          .incarnation = NoticeFixture::firstStart});
    }
    SECTION("removed and listed again")
    {
        fixture.system.upstreams().remove(model::UpstreamId("k0"));
        fixture.list(deskPool, "k0");
    }
    SECTION("removed before the answer and listed again after it")
    {
        fixture.list(deskPool, "k2");
        fixture.system.upstreams().remove(model::UpstreamId("k2"));
        fixture.sayLeaving("k2");
        fixture.list(deskPool, "k2");
    }
    CHECK(fixture.usedBy("/safe/x") == Names {"k1"});
}

TEST_CASE("A listed leaving is not forgotten when the entry is removed or cannot be read")
{
    NoticeFixture fixture;
    fixture.list(deskPool, "k0", NoticeFixture::firstStart, true);
    fixture.system.upstreams().remove(model::UpstreamId("k0"));
    CHECK(fixture.list(deskPool, "k0") == ListingChange::Outdated);
    CHECK(fixture.usedBy("/safe/x") == Names {"k1"});
}

TEST_CASE("An upstream that said that it leaves is used again after a restart")
{
    NoticeFixture fixture;
    fixture.sayLeaving("k0");
    SECTION("listed in place")
    {
        CHECK(fixture.list(deskPool, "k0", NoticeFixture::firstStart + 1)
              == ListingChange::Restarted);
    }
    SECTION("listed after a removal")
    {
        fixture.system.upstreams().remove(model::UpstreamId("k0"));
        CHECK(fixture.list(deskPool, "k0", NoticeFixture::firstStart + 1) == ListingChange::Added);
    }
    CHECK(fixture.usedBy("/safe/x") == Names {"k0", "k1"});
}

TEST_CASE("An answer of a start that is not listed yet counts for that start")
{
    NoticeFixture fixture;
    const uint64_t unseen = NoticeFixture::firstStart + 50;
    fixture.notice(
        "k0", {.isLeaving = true, .recentStarts = {.first = unseen - 20, .last = unseen + 20}});
    fixture.list(deskPool, "k0", unseen);
    CHECK(fixture.usedBy("/safe/x") == Names {"k1"});
    fixture.list(deskPool, "k0", unseen + 21);
    CHECK(fixture.usedBy("/safe/x").contains("k0"));
}

TEST_CASE("Another upstream at the address of one that said that it leaves is used")
{
    NoticeFixture fixture;
    fixture.sayLeaving("k0");
    fixture.system.upstreams().remove(model::UpstreamId("k0"));
    fixture.list(deskPool, "k9");
    CHECK(fixture.usedBy("/safe/x") == Names {"k1", "k9"});
}

TEST_CASE("A job of another daemon does not go to an upstream that said that it leaves")
{
    NoticeFixture fixture;
    fixture.sayLeaving("s0");
    for (uint64_t exchange = 1; exchange <= 2; ++exchange) {
        fixture.system.onPeerJob(exchange,
                                 {.pool = stagePool,
                                  .request = model::CallerRequestId(absl::StrCat("p", exchange)),
                                  .key = "k",
                                  .due = fixture.now + model::seconds(2),
                                  .deadline = fixture.now + model::seconds(4)},
                                 fixture.now);
    }
    fixture.collect();
    CHECK(fixture.take<RunBatch>().upstream == model::UpstreamId("s1"));
    CHECK(fixture.count<RunBatch>() == 0);
}

// Guards against calls to an upstream of which the daemon has dropped the row, but not the word.
TEST_CASE(
    "An address stays closed after its upstream is removed, until another one is listed there")
{
    NoticeFixture fixture;
    const config::Endpoint address {.host = "10.0.0.9", .port = 81};
    const UpstreamDirectory &directory = fixture.system.upstreams();
    CHECK(directory.takesCalls(address, fixture.now));
    const auto *list = GENERATE("listed", "removed before the answer");
    CAPTURE(list);
    UpstreamListing listing {.id = model::UpstreamId("k9"),
                             .pool = deskPool,
                             .address = address,
                             .zone = model::ZoneId("a"),
                             .incarnation = NoticeFixture::firstStart};
    fixture.system.upstreams().apply(listing);
    if (list[0] == 'r') {
        fixture.system.upstreams().remove(listing.id);
    }
    fixture.system.onUpstreamNotice({.upstream = listing.id,
                                     .incarnation = NoticeFixture::firstStart,
                                     .address = address,
                                     .request = {}},
                                    {.rest = model::seconds(15)}, fixture.now);
    fixture.system.upstreams().remove(listing.id);
    CHECK_FALSE(directory.takesCalls(address, fixture.now));
    CHECK(directory.takesCalls(address, fixture.now + model::seconds(15)));
    listing.id = model::UpstreamId("k10");
    fixture.system.upstreams().apply(listing);
    CHECK(directory.takesCalls(address, fixture.now));
}
