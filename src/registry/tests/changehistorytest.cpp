#include <catch2/catch.hpp>

#include "registry/changehistory.h"

using namespace citronpick::registry;

using Removals = std::vector<std::pair<std::string, uint64_t>>;

TEST_CASE("Removals after a revision are known from the start of the history on")
{
    ChangeHistory history(10);
    history.start(5);
    history.recordRemoval("a", 6);
    history.recordRemoval("b", 8);
    CHECK_FALSE(history.covers(4));
    CHECK(history.covers(5));
    CHECK(history.removalsAfter(5) == Removals {{"a", 6}, {"b", 8}});
    CHECK(history.removalsAfter(6) == Removals {{"b", 8}});
    history.recordValue("b");
    CHECK(history.removalsAfter(5) == Removals {{"a", 6}});
}

TEST_CASE("The oldest removals are forgotten beyond the limit, and their revisions not covered")
{
    ChangeHistory history(2);
    history.start(1);
    history.recordRemoval("a", 2);
    history.recordRemoval("b", 3);
    history.recordRemoval("c", 4);
    CHECK_FALSE(history.covers(1));
    CHECK(history.covers(2));
    CHECK(history.removalsAfter(2) == Removals {{"b", 3}, {"c", 4}});
}

TEST_CASE("Revisions within a gap are not covered, its ends are")
{
    ChangeHistory history(10);
    history.start(1);
    history.skip(5, 9);
    CHECK(history.covers(5));
    CHECK_FALSE(history.covers(6));
    CHECK_FALSE(history.covers(8));
    CHECK(history.covers(9));
    for (uint64_t i = 2; i < 12; ++i) {
        history.skip(10 * i, 10 * i + 5);
    }
    // The oldest gaps belong to the time before the start.
    CHECK_FALSE(history.covers(5));
    CHECK(history.covers(39));
    CHECK_FALSE(history.covers(42));
    CHECK(history.covers(200));
}
