#include "config/settings.h"

#include <charconv>

#include <absl/strings/str_cat.h>

#include "config/internal/checkedjson.h"
#include "config/internal/schemas.h"

namespace citronpick::config
{

namespace
{

using Json = nlohmann::json;

Endpoint endpointOf(const Json &object)
{
    return {.host = object.at("host"), .port = object.at("port")};
}

model::Duration millisecondsAt(const Json &object, const char *key, model::Duration defaultValue)
{
    return model::milliseconds(object.value(key, model::toMilliseconds(defaultValue)));
}

CallerLimits limitsOf(const Json &caller)
{
    const CallerLimits defaults;
    return {
        .maxBodyBytes = caller.value("maxBodyBytes", defaults.maxBodyBytes),
        .maxConnections = caller.value("maxConnections", defaults.maxConnections),
        .maxRequests = caller.value("maxRequests", defaults.maxRequests),
        .requestTimeout = millisecondsAt(caller, "requestTimeoutMs", defaults.requestTimeout),
        .maxDeadline = millisecondsAt(caller, "maxDeadlineMs", defaults.maxDeadline),
        .maxStreamBufferBytes = caller.value("maxStreamBufferBytes", defaults.maxStreamBufferBytes),
    };
}

std::vector<Endpoint> seedsOf(const Json &fleet)
{
    std::vector<Endpoint> seeds;
    for (const Json &seed : fleet.value("seeds", Json::array())) {
        seeds.push_back(endpointOf(seed));
    }
    return seeds;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0) {
        return std::nullopt;
    }
    return Endpoint {.host = std::string(text.substr(0, colon)), .port = port};
}

std::string toText(const Endpoint &endpoint)
{
    return absl::StrCat(endpoint.host, ":", endpoint.port);
}

absl::StatusOr<Settings> parseSettings(std::string_view text)
{
    std::vector<Finding> findings;
    const Json document = internal::parseAndValidate(text, internal::settingsSchema, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    const Settings defaults;
    const Json &caller = document.at("caller");
    const Json &admin = document.at("admin");
    const Json &fleet = document.at("fleet");
    const Json drain = document.value("drain", Json::object());
    Settings settings {
        .daemon = model::DaemonId(document.at("daemon")),
        .zone = model::ZoneId(document.at("zone")),
        .caller = endpointOf(caller),
        .admin = endpointOf(admin),
        .fleet = endpointOf(fleet),
        .adminToken = admin.at("token"),
        .fleetKey = fleet.at("key"),
        .fleetSeeds = seedsOf(fleet),
        .platform = endpointOf(document.at("platform")),
        .entryLifetime = millisecondsAt(caller, "entryLifetimeMs", defaults.entryLifetime),
        .limits = limitsOf(caller),
        .memoryMb = document.value("memoryMb", defaults.memoryMb),
        .maxDescriptors = document.value("maxDescriptors", defaults.maxDescriptors),
        .drain = {.acceptPeriod = millisecondsAt(drain, "acceptMs", defaults.drain.acceptPeriod),
                  .maxDuration = millisecondsAt(drain, "limitMs", defaults.drain.maxDuration)},
        .logLevel = document.value("log", Json::object()).value("level", defaults.logLevel),
    };
    // A draining daemon must accept requests until the addresses that callers have cached expire
    // and the other daemons, which also return its address to callers, have received the notice
    // that it is leaving.
    constexpr model::Duration leavePropagationTime = model::seconds(1);
    if (settings.drain.acceptPeriod < settings.entryLifetime + leavePropagationTime) {
        findings.push_back({.error = ConfigError::Contradiction,
                            .pointer = "/drain/acceptMs",
                            .expected = "at least /caller/entryLifetimeMs plus 1000"});
        return toStatus(findings);
    }
    return settings;
}

} // namespace citronpick::config
