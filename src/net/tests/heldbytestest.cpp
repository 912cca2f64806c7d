#include <catch2/catch.hpp>

#include "net/heldbytes.h"

using namespace citronpick;
using namespace citronpick::net;

// Guards against bytes that are counted twice, or stay counted when they are released.
TEST_CASE("Held bytes follow what each holder reports")
{
    HeldBytesBudget budget(1000);
    HeldBytes first {};
    HeldBytes second {};
    budget.update(first, {0, 10, 300, 0});
    budget.update(second, {0, 0, 0, 400});
    CHECK(budget.total() == 710);
    CHECK(budget.isAboveHighMark());
    CHECK_FALSE(budget.isAboveLimit());
    CHECK(budget.held(Holder::Bodies) == 300);
    budget.update(first, {});
    CHECK(budget.total() == 400);
    CHECK(budget.peak() == 710);
    CHECK(budget.hasRoomFor(600));
    CHECK_FALSE(budget.hasRoomFor(601));
}

// Guards against callers that lose their request to those that hold more for longer.
TEST_CASE("Load pattern: room is made by those that hold most for longest")
{
    const RoomCandidate ordinary {.id = 1, .bytes = 2000, .age = model::milliseconds(200)};
    const RoomCandidate large {.id = 2, .bytes = 1U << 20U, .age = model::milliseconds(200)};
    const RoomCandidate old {.id = 3, .bytes = 1U << 20U, .age = model::seconds(5)};
    const RoomCandidate newest {.id = 4, .bytes = 2U << 20U, .age = model::Duration::zero()};
    CHECK(holdsMore(large, ordinary));
    CHECK(holdsMore(old, large));
    CHECK(holdsMore(old, newest));
    CHECK(holdsMore(newest, ordinary));
}

// Guards against instances that are too small for a single request of the greatest size.
TEST_CASE("The limit on held bytes follows the memory and admits the greatest request")
{
    constexpr size_t megabyte = 1U << 20U;
    CHECK(heldBytesLimit(512) == 128 * megabyte);
    CHECK(heldBytesLimit(120) == 30 * megabyte);
    CHECK(heldBytesLimit(64) == 24 * megabyte);
}
