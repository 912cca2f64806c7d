#include <catch2/catch.hpp>

#include "routing/prefixtable.h"

using namespace citronpick;
using namespace citronpick::routing;

TEST_CASE("Repeated cache reports are ignored, a gap removes the upstream's entries")
{
    PrefixTable table(3);
    const model::UpstreamRow first {1};
    const model::UpstreamRow second {2};
    table.apply(first, {.sequence = 1, .added = {10, 11}, .removed = {}});
    table.apply(second, {.sequence = 1, .added = {20}, .removed = {}});
    CHECK(table.find(10) == first);
    // A repeated sequence number is ignored.
    table.apply(first, {.sequence = 1, .added = {}, .removed = {10}});
    CHECK(table.find(10) == first);
    table.apply(first, {.sequence = 2, .added = {}, .removed = {10}});
    CHECK_FALSE(table.find(10));
    // A gap in the sequence removes the entries of this upstream but not those of the other one.
    table.apply(first, {.sequence = 4, .added = {12}, .removed = {}});
    CHECK_FALSE(table.find(11));
    CHECK(table.find(12) == first);
    CHECK(table.find(20) == second);
}

TEST_CASE("The oldest entries are evicted when the table is full")
{
    PrefixTable table(2);
    table.recordLocation(1, model::UpstreamRow {0});
    table.recordLocation(2, model::UpstreamRow {0});
    table.recordLocation(3, model::UpstreamRow {0});
    CHECK_FALSE(table.find(1));
    CHECK(table.find(3));
    CHECK(table.size() == 2);
}
