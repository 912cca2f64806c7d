#include <catch2/catch.hpp>

#include "fleet/configurationfetch.h"

using namespace citronpick;
using namespace citronpick::fleet;

namespace
{

NewerConfiguration announcement(uint64_t revision, const char *host = "10.0.0.1")
{
    return {.from = {.host = host, .port = 1}, .revision = model::Revision(revision)};
}

constexpr model::Duration interval = model::milliseconds(300);

} // namespace

// Guards against copies of one configuration that share a narrow link until none arrives in time.
TEST_CASE("Load pattern: many peers announce a configuration while a copy is on its way")
{
    ConfigurationFetch fetch;
    model::TimePoint now(model::seconds(100));
    size_t started = 0;
    for (int i = 0; i < 100; ++i) {
        fetch.onAnnounced(announcement(5));
        started += fetch.take(model::Revision(4), false, now) ? 1 : 0;
        now += model::milliseconds(30);
    }
    CHECK(started == 1);
}

TEST_CASE("A configuration is not fetched while the source of registry changes may be sending it")
{
    ConfigurationFetch fetch;
    const model::TimePoint now(model::seconds(100));
    fetch.onAnnounced(announcement(5));
    CHECK_FALSE(fetch.take(model::Revision(4), true, now));
    CHECK(fetch.take(model::Revision(4), false, now) == announcement(5));
}

TEST_CASE("The newest configuration that was announced during a fetch is fetched after it")
{
    ConfigurationFetch fetch;
    model::TimePoint now(model::seconds(100));
    fetch.onAnnounced(announcement(5));
    REQUIRE(fetch.take(model::Revision(4), false, now));
    fetch.onAnnounced(announcement(7));
    fetch.onAnnounced(announcement(6));
    now += interval;
    CHECK_FALSE(fetch.take(model::Revision(4), false, now));
    fetch.onEnded();
    CHECK(fetch.take(model::Revision(5), false, now) == announcement(7));
}

TEST_CASE("A failed fetch is repeated from the next daemon that announces the configuration")
{
    ConfigurationFetch fetch;
    model::TimePoint now(model::seconds(100));
    fetch.onAnnounced(announcement(5));
    REQUIRE(fetch.take(model::Revision(4), false, now));
    fetch.onEnded();
    fetch.onAnnounced(announcement(5, "10.0.0.2"));
    CHECK_FALSE(fetch.take(model::Revision(4), false, now));
    now += interval;
    CHECK(fetch.take(model::Revision(4), false, now) == announcement(5, "10.0.0.2"));
}

TEST_CASE("A configuration that has come into force another way is not fetched")
{
    ConfigurationFetch fetch;
    fetch.onAnnounced(announcement(5));
    CHECK_FALSE(fetch.take(model::Revision(5), false, model::TimePoint(model::seconds(100))));
}
