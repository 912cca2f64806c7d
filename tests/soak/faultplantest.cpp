#include <catch2/catch.hpp>

#include <set>

#include "soak/faultplan.h"

using namespace citronpick;
using namespace citronpick::soak;

TEST_CASE("The same seed gives the same fault plan, a different seed a different one")
{
    CHECK(planFaults(7, model::seconds(30)) == planFaults(7, model::seconds(30)));
    CHECK_FALSE(planFaults(7, model::seconds(30)) == planFaults(8, model::seconds(30)));
}

TEST_CASE("Every third fault plan disrupts neither daemons nor the store")
{
    for (const PlannedFault &fault : planFaults(9, model::seconds(300))) {
        CHECK(fault.kind >= FaultKind::ReplicaSheds);
    }
}

TEST_CASE("A long fault plan has overlapping faults of every kind")
{
    const std::vector<PlannedFault> plan = planFaults(1, model::seconds(300));
    std::set<FaultKind> kinds;
    size_t overlaps = 0;
    for (size_t i = 0; i < plan.size(); ++i) {
        kinds.insert(plan[i].kind);
        overlaps += i > 0 && plan[i - 1].at + plan[i - 1].duration > plan[i].at ? 1 : 0;
        CHECK(plan[i].at < model::seconds(300));
    }
    CHECK(kinds.size() == 15);
    CHECK(overlaps * 2 > plan.size());
}
