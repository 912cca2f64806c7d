#include <catch2/catch.hpp>

#include "relay/callerloss.h"

using namespace citronpick;
using namespace citronpick::relay;
using model::milliseconds;

// Guards against an order in which the size of a request outweighs its priority.
TEST_CASE("A less urgent request gives way first, whatever its size")
{
    const CallerStake large {.priority = 0, .work = model::seconds(4)};
    const CallerStake small {.priority = 1, .work = milliseconds(10)};
    CHECK(givesWayBefore(small, large));
    CHECK_FALSE(givesWayBefore(large, small));
}

// Guards against small requests that are displaced by a large one of the same priority.
TEST_CASE("At equal priority the request that loses least per unit of work gives way first")
{
    const CallerStake large {.work = milliseconds(800)};
    const CallerStake small {.work = milliseconds(100)};
    CHECK(givesWayBefore(large, small));
    CHECK_FALSE(givesWayBefore(small, large));
    CHECK_FALSE(givesWayBefore(small, small));
}

// Guards against work on earlier stages that is thrown away although as little is gained by it.
TEST_CASE("At equal priority and work a request with finished stages gives way last")
{
    const CallerStake begun {.work = milliseconds(100), .workSpent = milliseconds(300)};
    const CallerStake fresh {.work = milliseconds(100)};
    CHECK(givesWayBefore(fresh, begun));
    CHECK(lossPerWork(begun) <= 2.0 * lossPerWork(fresh));
}

// Guards against an infinite loss that would let a request without work pass all others for ever.
TEST_CASE("The loss per unit of work is finite for a pool without times")
{
    CHECK(lossPerWork({}) == Approx(1000.0));
}

// Guards against a late request that waits behind less urgent ones.
TEST_CASE("The service order is by priority once a more urgent request is late")
{
    const CallerStake urgentLate {.priority = 1, .isLate = true};
    const CallerStake urgent {.priority = 1};
    const CallerStake mostUrgent {.priority = 0};
    const CallerStake other {.priority = 2};
    CHECK(serviceOrder(mostUrgent, 1) == serviceOrder(urgent, 1));
    CHECK(serviceOrder(urgent, 1) < serviceOrder(urgentLate, 1));
    CHECK(serviceOrder(urgentLate, 1) < serviceOrder(other, 1));
    CHECK(serviceOrder(mostUrgent, std::nullopt) == serviceOrder(other, std::nullopt));
}
