#ifndef CITRONPICK_REGISTRY_TESTS_FOLLOWERFIXTURE_H
#define CITRONPICK_REGISTRY_TESTS_FOLLOWERFIXTURE_H

#include <catch2/catch.hpp>

#include "registry/registryfollower.h"

namespace citronpick::registry::testing
{

inline RegistryItem item(const std::string &key, const std::string &value, uint64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

inline RegistryItem removal(const std::string &key, uint64_t revision)
{
    return {.key = key, .revision = revision};
}

//! A follower and the time at which it is asked.
struct Fixture {
    FollowerCall call()
    {
        const auto due = follower.takeCall(now);
        REQUIRE(due);
        return *due;
    }
    void list(const std::vector<RegistryItem> &items, uint64_t revision)
    {
        REQUIRE(std::holds_alternative<ReadPage>(call()));
        follower.onPage({.items = items, .revision = revision}, now);
    }
    void watch(const std::vector<RegistryItem> &items, uint64_t revision)
    {
        REQUIRE(std::holds_alternative<WatchChanges>(call()));
        follower.onChanges({.items = items, .revision = revision}, now);
    }
    void failCall(CallError error = CallError::Unreachable)
    {
        call();
        follower.onError(error, now);
    }
    //! Fails calls until the registry counts as unreachable.
    void makeRegistryUnreachable()
    {
        for (int i = 0; i < 2; ++i) {
            failCall();
            now += model::seconds(1);
        }
    }

    //! Changes since changes() was last called, as "key=value" or "-key".
    std::vector<std::string> changes()
    {
        std::vector<std::string> found;
        for (const FollowerUpdate &update : follower.takeUpdates(now)) {
            if (const auto *changed = std::get_if<KeyChanged>(&update)) {
                found.push_back(changed->value ? changed->key + "=" + *changed->value
                                               : "-" + changed->key);
            }
        }
        return found;
    }

    RegistryFollower follower {{.prefix = "u/"}, 1};
    model::TimePoint now {model::seconds(10)};
};

using Changes = std::vector<std::string>;

} // namespace citronpick::registry::testing

#endif // CITRONPICK_REGISTRY_TESTS_FOLLOWERFIXTURE_H
