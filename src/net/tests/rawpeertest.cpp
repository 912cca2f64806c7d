#include <catch2/catch.hpp>

#include "net/tests/rawpeer.h"

using namespace citronpick;
using net::testing::RawListener;
using net::testing::RawPeer;

// Guards against a connection that is taken for closed since the one it replaced was closed.
TEST_CASE("A raw peer takes its whole state along when it is moved")
{
    RawListener listener;
    net::EventLoop loop;
    RawPeer first = RawPeer::connectTo(listener.port());
    RawPeer accepted;
    REQUIRE(net::testing::runUntil(loop, [&] { return listener.accept(accepted); }));
    accepted.close();
    REQUIRE(net::testing::runUntil(loop, [&] { return first.hasEnded(); }));
    REQUIRE(net::testing::runUntil(loop, [&] { return first.sendSome("x") == 0; }));
    REQUIRE(first.isRefused());

    SECTION("moved away")
    {
        RawPeer moved(std::move(first));
        CHECK(moved.hasEnded());
        CHECK(moved.isRefused());
    }
    SECTION("replaced by a new connection")
    {
        first = RawPeer::connectTo(listener.port());
        CHECK_FALSE(first.hasEnded());
        CHECK_FALSE(first.isRefused());
    }
}
