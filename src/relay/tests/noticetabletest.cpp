#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "relay/noticetable.h"

using namespace citronpick;
using namespace citronpick::relay;

namespace
{

const model::TimePoint restEnd(model::seconds(100));

model::UpstreamId idOf(size_t number)
{
    return model::UpstreamId(absl::StrCat("u", number));
}

} // namespace

TEST_CASE("A second rest inside the first one counts in full, a shorter one changes nothing")
{
    NoticeTable table;
    table.addRest(idOf(1), {.last = 5, .recent = {}}, restEnd);
    table.addRest(idOf(1), {.last = 5, .recent = {}}, restEnd - model::seconds(50));
    CHECK(table.restUntil(idOf(1), 5) == restEnd);
    table.addRest(idOf(1), {.last = 5, .recent = {}}, restEnd + model::seconds(15));
    CHECK(table.restUntil(idOf(1), 5) == restEnd + model::seconds(15));
}

TEST_CASE("A rest and a leaving of one start end with the next one, which may ask for its own")
{
    NoticeTable table;
    table.addLeaving(idOf(1), {.last = 5, .recent = {}});
    table.addRest(idOf(1), {.last = 5, .recent = {}}, restEnd);
    CHECK_FALSE(table.isLeaving(idOf(1), 6));
    CHECK(table.restUntil(idOf(1), 6) == model::TimePoint());
    table.addRest(idOf(1), {.last = 6, .recent = {}}, restEnd - model::seconds(50));
    CHECK(table.restUntil(idOf(1), 6) == restEnd - model::seconds(50));
    CHECK_FALSE(table.isLeaving(idOf(1), 6));
}

// Guards against DRAIN and BUDGET broken by a row that was dropped while its upstream is listed.
TEST_CASE("A full table forgets the oldest upstreams that are not listed, never a listed one")
{
    constexpr size_t count = 6000;
    const auto isListed = [](const model::UpstreamId &id) {
        return id == idOf(0) || id == idOf(1);
    };
    NoticeTable table;
    for (size_t i = 0; i < count; ++i) {
        table.addLeaving(idOf(i), {.last = 5, .recent = {}});
        table.addRest(idOf(i), {.last = 5, .recent = {}}, restEnd);
        table.limit(isListed);
    }
    CHECK(table.size() < count);
    for (const size_t kept : {size_t {0}, size_t {1}, count - 1, count - 1000}) {
        CAPTURE(kept);
        CHECK(table.isLeaving(idOf(kept), 5));
        CHECK(table.restUntil(idOf(kept), 5) == restEnd);
    }
    CHECK_FALSE(table.isLeaving(idOf(2), 5));
}
