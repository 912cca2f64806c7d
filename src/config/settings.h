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

//! An IP address and a port.
struct Endpoint {
    std::string host;
    uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

//! Parses "ADDRESS:PORT" with a non-zero port; empty when the text has another form.
std::optional<Endpoint> parseEndpoint(std::string_view text);

//! Formats an endpoint for parseEndpoint().
std::string toText(const Endpoint &endpoint);

//! Limits on connections and requests of callers.
struct CallerLimits {
    uint64_t maxBodyBytes = 1U << 20U;
    uint32_t maxConnections = 4096;
    uint32_t maxRequests = 16384;
    model::Duration requestTimeout = model::seconds(10); //!< Time to receive a whole request.
    model::Duration maxDeadline = model::seconds(600);
    uint64_t maxStreamBufferBytes = 256U << 10U; //!< Buffered output per slow reader.

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

//! Timing of a graceful shutdown, counted from its start.
struct DrainSettings {
    model::Duration acceptPeriod = model::seconds(5); //!< New requests are accepted until then.
    model::Duration maxDuration = model::seconds(60); //!< Open requests are aborted after this.

    friend auto operator<=>(const DrainSettings &, const DrainSettings &) = default;
};

//! Settings of a daemon that does not run in relay mode.
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
    model::Duration entryLifetime = model::seconds(3); //!< Cache time of daemon addresses.
    CallerLimits limits;
    size_t memoryMb = 512; //!< Memory of the instance for this process.
    //! Descriptors of the process; zero when unknown.
    size_t maxDescriptors = 0;
    DrainSettings drain;
    std::string logLevel = "info";

    friend bool operator==(const Settings &, const Settings &) = default;
};

//! Parses and validates a settings file. On failure, the status lists all errors found in one
//! validation step (schema, then consistency); see toStatus().
absl::StatusOr<Settings> parseSettings(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_SETTINGS_H
