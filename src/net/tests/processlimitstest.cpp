#include <catch2/catch.hpp>

#include "net/heldbytes.h"
#include "net/processlimits.h"

using namespace citronpick;
using namespace citronpick::net;

namespace
{

constexpr size_t megabyte = 1U << 20U;

} // namespace

// Guards against budgets that each bound their own listener and together exceed the memory.
TEST_CASE("The listeners of a process hold no more than its limit together")
{
    SharedLimit limit(1000);
    HeldBytesBudget first(900, &limit, 100);
    HeldBytesBudget second(900, &limit, 100);
    HeldBytes ofFirst {};
    HeldBytes ofSecond {};
    first.update(ofFirst, {0, 0, 700, 0});
    CHECK(second.hasRoomFor(300));
    CHECK_FALSE(second.hasRoomFor(301));
    second.update(ofSecond, {0, 0, 400, 0});
    CHECK(first.isAboveLimit());
    CHECK(second.isAboveLimit());
    second.update(ofSecond, {});
    CHECK_FALSE(first.isAboveLimit());
    CHECK(first.isAboveHighMark());
}

// Guards against one listener whose callers take what others need.
TEST_CASE("A listener keeps its reserve whatever the others hold")
{
    SharedLimit limit(1000);
    HeldBytesBudget crowd(900, &limit, 100);
    HeldBytesBudget quiet(900, &limit, 100);
    HeldBytes ofCrowd {};
    HeldBytes ofQuiet {};
    crowd.update(ofCrowd, {0, 0, 900, 0});
    CHECK(quiet.hasRoomFor(100));
    quiet.update(ofQuiet, {0, 0, 100, 0});
    CHECK_FALSE(quiet.isAboveHighMark());
    crowd.update(ofCrowd, {0, 0, 950, 0});
    CHECK(crowd.isAboveLimit());
    CHECK_FALSE(quiet.isAboveLimit());
    CHECK_FALSE(quiet.hasRoomFor(1));
}

TEST_CASE("A share that ends leaves nothing behind")
{
    SharedLimit limit(1000);
    {
        SharedLimit::Share share(limit, 300);
        CHECK(limit.committed() == 300);
        share.setUsed(500);
        CHECK(limit.committed() == 500);
    }
    CHECK(limit.committed() == 0);
}

// Guards against limits that callers within those of the platform would meet: its smallest instance
// has 120 MB and 3,075 descriptors.
TEST_CASE("The limits of a process follow its memory and its descriptors")
{
    ProcessLimits limits(120, 3075);
    CHECK(limits.heldBytes().limit() == 60 * megabyte);
    SharedLimit::Share callers(*limits.forCallers().connections,
                               limits.forCallers().connectionReserve);
    SharedLimit::Share fleet(*limits.forPeers().connections, limits.forPeers().connectionReserve);
    SharedLimit::Share stages(*limits.forPeers().connections, limits.forPeers().connectionReserve);
    SharedLimit::Share lookups(*limits.forControl().connections,
                               limits.forControl().connectionReserve);
    constexpr size_t callersAlone = 3075 * 3 / 4;
    CHECK(callers.hasRoomFor(callersAlone));
    CHECK(fleet.hasRoomFor(1000));
    CHECK_FALSE(fleet.hasRoomFor(3075));
}

TEST_CASE("Without a known number of descriptors there is no limit on connections")
{
    ProcessLimits limits(512, 0);
    SharedLimit::Share callers(*limits.forCallers().connections,
                               limits.forCallers().connectionReserve);
    CHECK(callers.hasRoomFor(1000000));
}
