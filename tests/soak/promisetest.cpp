#include <catch2/catch.hpp>

#include "soak/deadlypartpromise.h"
#include "soak/stoppromise.h"

using namespace citronpick;
using namespace citronpick::soak;
using platform::standin::LostCall;
using platform::standin::UpstreamRecord;

namespace
{

constexpr model::TimePoint start = model::TimePoint(model::seconds(1000));

model::TimePoint at(int64_t milliseconds)
{
    return start + model::milliseconds(milliseconds);
}

//! SIGTERM after 10 s, end 7 s later.
ProcessLife stoppedLife()
{
    return {.startedAt = start,
            .stoppedAt = at(10000),
            .endedAt = at(17000),
            .stopLimit = model::seconds(7)};
}

LostCall lostCall(int64_t sentMs, int64_t endedMs)
{
    return {.request = "r", .daemon = "d", .sentAt = at(sentMs), .endedAt = at(endedMs)};
}

LostCall lostStream(int64_t sentMs, int64_t endedMs)
{
    LostCall call = lostCall(sentMs, endedMs);
    call.isAnswerBegun = true;
    return call;
}

//! Sound requests at 10 a second, and crashes 1 s apart from 10 s on.
platform::standin::Ledger ledgerWithCrashes(int64_t count, bool isServedAfterwards)
{
    platform::standin::Ledger ledger;
    for (int64_t ms = 0; ms < 40000; ms += 100) {
        ledger.recordFirstAttempt(
            {.route = "plan", .sentAt = at(ms), .isServed = ms < 10000 || isServedAfterwards});
    }
    for (int64_t i = 0; i < count; ++i) {
        ledger.recordDeadlyArrival(at(10000 + i * 1000));
        ledger.recordCrash(at(10000 + i * 1000));
    }
    return ledger;
}

const DeadlyPart deadlyPart {.route = "plan", .from = at(10000), .until = at(40000)};

} // namespace

// Guards against a soak that misses requests which wait in their stages when a planned stop ends.
TEST_CASE("A request that was open when a planned stop ended breaks the promise")
{
    CHECK(checkLostCall(lostCall(11000, 17000), {}, stoppedLife()));
    CHECK(checkLostCall(lostCall(9000, 10500), {}, stoppedLife()));
}

TEST_CASE("A request that an upstream ran breaks the promise even if its connection ends at once")
{
    CHECK_FALSE(checkLostCall(lostCall(11000, 11050), {}, stoppedLife()));
    CHECK(checkLostCall(lostCall(11000, 11050), {.runs = 1}, stoppedLife()));
}

TEST_CASE("Lost calls of daemons that were killed, paused or not stopped do not count")
{
    ProcessLife life = stoppedLife();
    life.wasKilled = true;
    CHECK_FALSE(checkLostCall(lostCall(11000, 17000), {}, life));
    life = stoppedLife();
    life.wasPaused = true;
    CHECK_FALSE(checkLostCall(lostCall(11000, 17000), {}, life));
    life = stoppedLife();
    life.stoppedAt.reset();
    CHECK_FALSE(checkLostCall(lostCall(11000, 17000), {}, life));
    CHECK_FALSE(checkLostCall(lostCall(8000, 9500), {}, stoppedLife()));
    CHECK_FALSE(checkLostCall(lostCall(11000, 17000), {.runs = 1, .wasLost = true}, stoppedLife()));
}

// Guards against a wide exemption: a stream that is cut early, or was accepted late, still counts.
TEST_CASE("Only an early stream that its upstream works on at the end of the stop may be cut")
{
    const UpstreamRecord atEnd {.runs = 1, .workedUntil = at(16800)};
    CHECK_FALSE(checkLostCall(lostStream(12000, 16800), atEnd, stoppedLife()));
    CHECK(checkLostCall(lostCall(12000, 16800), atEnd, stoppedLife()));
    CHECK(checkLostCall(lostStream(13000, 16800), atEnd, stoppedLife()));
    CHECK(checkLostCall(lostStream(12000, 14000), {.runs = 1, .workedUntil = at(14000)},
                        stoppedLife()));
}

// Guards against a soak that excuses streams which a second SIGTERM cuts.
TEST_CASE("A second SIGTERM is no reason to cut streams or to drop requests")
{
    ProcessLife life = stoppedLife();
    life.stopRepeatedAt = at(12500);
    life.endedAt = at(12700);
    const UpstreamRecord atRepeat {.runs = 1, .workedUntil = at(12500)};
    CHECK(checkLostCall(lostStream(12000, 12500), atRepeat, life));
    CHECK(checkLostCall(lostCall(12000, 12500), atRepeat, life));
    CHECK(checkLostCall(lostCall(12000, 12600), {}, life));
}

TEST_CASE("More than three deadly requests later than 3 s after the fifth crash break the promise")
{
    CHECK(checkDeadlyPart(deadlyPart, ledgerWithCrashes(11, true), start).empty());
    CHECK(checkDeadlyPart(deadlyPart, ledgerWithCrashes(12, true), start).size() == 1);
}

// Guards against a quarantine that refuses what shares the other parts of a prompt.
TEST_CASE("Sound requests that are served less than half as often break the promise")
{
    CHECK(checkDeadlyPart(deadlyPart, ledgerWithCrashes(5, false), start).size() == 1);
    CHECK(checkDeadlyPart(deadlyPart, ledgerWithCrashes(2, false), start).size() == 1);
}

TEST_CASE("A run in which no upstream crashed does not pass as one that kept the promise")
{
    CHECK(checkDeadlyPart(deadlyPart, ledgerWithCrashes(0, true), start).size() == 1);
}
