#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>

#include "daemon/internal/listingcodec.h"
#include "registry/tests/registryfleet.h"

using namespace citronpick;
using registry::testing::RegistryFleet;
using registry::testing::RegistryFleetOptions;

namespace
{

//! The time in which the platform wants an acknowledged configuration in force everywhere, on
//! fleets of this size.
constexpr model::Duration applyTime = model::seconds(3);
//! The largest value that the platform's registry takes.
constexpr size_t maxValueBytes = 1U << 20U;
constexpr const char *configurationKey = "op/config";

//! A configuration in the operator's format. Each version moves some of its routes.
std::string configurationText(uint64_t version)
{
    std::string text = absl::StrCat(R"({"version":)", version, R"(,"routes":[)");
    constexpr size_t tailBytes = 1000;
    for (size_t i = 0; text.size() < maxValueBytes - tailBytes; ++i) {
        absl::StrAppend(&text, i == 0 ? "" : ",", R"({"name":"route-)", i, R"(","host":"shop-)",
                        i % 40, R"(.example","prefix":"/catalogue/)", i * 7919 % 100003,
                        R"(/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,)",
                        R"("maxAttempts":2,"service":"desk-)", i % 97 == version ? "west" : "east",
                        R"(","sticky":false,"public":false,"resumable":false,"gapAimMs":0})");
    }
    return text + R"(],"services":[{"name":"desk-west"},{"name":"desk-east"}],"limits":{}})";
}

bool isVersionOrLater(const std::string &text, uint64_t version)
{
    constexpr size_t numberAt = std::string_view(R"({"version":)").size();
    return std::stoull(text.substr(numberAt)) >= version;
}

//! What each daemon has and has received.
struct Transfers {
    explicit Transfers(size_t daemons)
        : texts(daemons)
        , receivedBytes(daemons)
    {
    }

    std::vector<documents::TextHistory> texts;
    std::vector<size_t> receivedBytes;
};

//! Daemons before links of 10 Mbit/s, with readers before 200 Mbit/s.
RegistryFleetOptions narrowFleet(const std::shared_ptr<Transfers> &transfers)
{
    const auto answerBytes = [transfers](size_t reader, size_t daemon,
                                         const registry::PeerChanges &changes) {
        documents::TextHistory &sender = transfers->texts.at(reader);
        documents::TextHistory &recipient = transfers->texts.at(daemon);
        const size_t bytes = daemon::encodePeerChanges(changes, sender, recipient.digests()).size();
        for (const registry::RegistryItem &item : changes.changes.items) {
            sender.add(item.value.value_or(""));
            recipient.add(item.value.value_or(""));
        }
        transfers->receivedBytes.at(daemon) += bytes;
        return bytes;
    };
    return {.daemons = transfers->texts.size(),
            .zones = 3,
            .keys = 30,
            .narrowLinkMbps = 10,
            .answerBytes = answerBytes};
}

constexpr size_t daemons = 82;
constexpr uint64_t lastVersion = 6;
//! The next change is made while this one may still be on its way.
constexpr model::Duration changeInterval = model::seconds(2);

} // namespace

// Guards against configurations that come into force later the larger they are: each change was
// passed on as the whole text, and a copy that took longer than a watch was given up and sent
// again.
TEST_CASE("Load pattern: changes of the largest configuration follow each other")
{
    RegistryFleet fleet(narrowFleet(std::make_shared<Transfers>(daemons)));
    fleet.put(configurationKey, configurationText(1));
    fleet.run(model::seconds(20));
    for (uint64_t version = 2; version <= lastVersion; ++version) {
        CAPTURE(version);
        fleet.put(configurationKey, configurationText(version));
        const auto isInForce = [&] {
            return fleet.allMatch(configurationKey, [version](const std::string &text) {
                return isVersionOrLater(text, version);
            });
        };
        fleet.run(changeInterval);
        constexpr model::Duration rest = applyTime - changeInterval;
        CHECK((isInForce() || fleet.runUntil(isInForce, rest) < rest));
    }
}

// Guards against changes that are passed on as the whole text.
TEST_CASE("Load pattern: small changes of the largest configuration take little of narrow links")
{
    // The target for messages between daemons.
    constexpr size_t bytesPerSecond = 14000;
    const auto transfers = std::make_shared<Transfers>(daemons);
    RegistryFleet fleet(narrowFleet(transfers));
    fleet.put(configurationKey, configurationText(1));
    fleet.run(model::seconds(20));
    transfers->receivedBytes.assign(daemons, 0);
    model::Duration time {};
    for (uint64_t version = 2; version <= lastVersion; ++version) {
        fleet.put(configurationKey, configurationText(version));
        fleet.run(changeInterval);
        time += changeInterval;
    }
    const size_t most
        = *std::max_element(transfers->receivedBytes.begin(), transfers->receivedBytes.end());
    CHECK(static_cast<double>(most) <= model::toSeconds(time) * bytesPerSecond);
}
