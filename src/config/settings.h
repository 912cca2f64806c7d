#ifndef CITRONPICK_CONFIG_SETTINGS_H
#define CITRONPICK_CONFIG_SETTINGS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::config
{

//! An IP number and a port.
struct Endpoint {
    std::string host;
    uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

//! "IP:PORT"; empty when the text is anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);

//! As parseEndpoint() reads it.
std::string toText(const Endpoint &endpoint);

//! Bounds on what callers may send.
struct CallerLimits {
    uint64_t maxBodyBytes = 1U << 20U;
    uint32_t maxConnections = 4096;
    uint32_t maxRequests = 16384;
    model::Duration requestTimeout = model::seconds(10); //!< For the whole request to arrive.
    model::Duration maxDeadline = model::seconds(600);
    uint64_t maxStreamBufferBytes = 256U << 10U; //!< Per caller that reads slowly.

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

//! How a planned stop goes.
struct DrainSettings {
    model::Duration accept = model::seconds(5); //!< New work is still taken for this long.
    model::Duration limit = model::seconds(60); //!< After this, what is left is cut.

    friend auto operator<=>(const DrainSettings &, const DrainSettings &) = default;
};

//! Settings of one daemon process.
struct Settings {
    model::DaemonId daemon;
    model::ZoneId zone;
    Endpoint caller;
    Endpoint admin;
    Endpoint fleet;
    std::string adminToken;
    std::string fleetKey;
    std::vector<Endpoint> fleetSeeds;
    Endpoint platform;
    model::Duration entryLifetime = model::seconds(3);
    CallerLimits limits;
    DrainSettings drain;
    std::string logLevel = "info";

    friend bool operator==(const Settings &, const Settings &) = default;
};

//! Reads and checks a settings file. All faults are reported together; see toStatus().
absl::StatusOr<Settings> parseSettings(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_SETTINGS_H
