#include <catch2/catch.hpp>

#include "routing/prefixtable.h"

using namespace citronpick;
using namespace citronpick::routing;

TEST_CASE("Cache reports that come late, twice or with gaps leave hints only")
{
    PrefixTable table(3);
    const model::UpstreamRow one {1};
    const model::UpstreamRow two {2};
    table.apply(one, {.sequence = 1, .added = {10, 11}, .removed = {}});
    table.apply(two, {.sequence = 1, .added = {20}, .removed = {}});
    CHECK(table.find(10) == one);
    // Seen before: nothing changes.
    table.apply(one, {.sequence = 1, .added = {}, .removed = {10}});
    CHECK(table.find(10) == one);
    table.apply(one, {.sequence = 2, .added = {}, .removed = {10}});
    CHECK_FALSE(table.find(10));
    // A gap: what was known of this upstream may be wrong, of the other it stands.
    table.apply(one, {.sequence = 4, .added = {12}, .removed = {}});
    CHECK_FALSE(table.find(11));
    CHECK(table.find(12) == one);
    CHECK(table.find(20) == two);
}

TEST_CASE("The oldest hints go when the table is full")
{
    PrefixTable table(2);
    table.note(1, model::UpstreamRow {0});
    table.note(2, model::UpstreamRow {0});
    table.note(3, model::UpstreamRow {0});
    CHECK_FALSE(table.find(1));
    CHECK(table.find(3));
    CHECK(table.size() == 2);
}
