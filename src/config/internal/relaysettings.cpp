#include "config/relaysettings.h"

#include <algorithm>

#include "config/internal/checkedjson.h"
#include "config/internal/schemas.h"

namespace citronpick::config
{

namespace
{

using Json = nlohmann::json;

model::Duration millisecondsAt(const Json &object, const char *key, model::Duration defaultValue)
{
    return model::milliseconds(object.value(key, model::toMilliseconds(defaultValue)));
}

//! Parses endpoints and collects the errors that the schema's pattern does not detect.
class EndpointReader
{
public:
    EndpointReader(const Json &document, std::vector<Finding> &findings)
        : m_document(document)
        , m_findings(findings)
    {
    }

    Endpoint at(const std::string &key)
    {
        return read(m_document.at(key), "/" + key);
    }

    Endpoint read(const Json &value, const std::string &pointer)
    {
        const std::optional<Endpoint> endpoint = parseEndpoint(value.get<std::string>());
        if (!endpoint) {
            m_findings.push_back({.error = ConfigError::SchemaViolation,
                                  .pointer = pointer,
                                  .expected = "an IP address and a port, such as 10.0.0.1:80"});
        }
        return endpoint.value_or(Endpoint {});
    }

private:
    const Json &m_document;
    std::vector<Finding> &m_findings;
};

// A stopping daemon must accept requests until the addresses that callers have cached expire, and
// then needs time for what it has accepted.
void checkDrain(const RelaySettings &settings, std::vector<Finding> &findings)
{
    if (settings.drain.acceptPeriod < settings.entryLifetime) {
        findings.push_back({.error = ConfigError::Contradiction,
                            .pointer = "/drain/acceptMs",
                            .expected = "at least /entryLifetimeMs"});
    }
    if (settings.drain.maxDuration <= settings.drain.acceptPeriod) {
        findings.push_back({.error = ConfigError::Contradiction,
                            .pointer = "/drain/limitMs",
                            .expected = "more than /drain/acceptMs"});
    }
}

} // namespace

size_t callerConnections(const RelaySettings &settings)
{
    if (settings.maxDescriptors == 0) {
        return settings.maxConnections;
    }
    // The rest is for files, upstreams, peers, lookups and the registry.
    constexpr size_t callerParts = 3;
    constexpr size_t allParts = 4;
    return std::min(settings.maxConnections, settings.maxDescriptors * callerParts / allParts);
}

bool isRelaySettings(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    return document.is_object() && document.contains("mode");
}

absl::StatusOr<RelaySettings> parseRelaySettings(std::string_view text)
{
    std::vector<Finding> findings;
    const Json document = internal::parseAndValidate(text, internal::relaySettingsSchema, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    const RelaySettings defaults;
    const Json drain = document.value("drain", Json::object());
    const Json retries = document.value("retries", Json::object());
    const Json coldStarts = document.value("coldStarts", Json::object());
    const Json log = document.value("log", Json::object());
    EndpointReader endpoints(document, findings);
    RelaySettings settings {
        .daemon = model::DaemonId(document.at("daemon")),
        .zone = model::ZoneId(document.at("zone")),
        .callers = endpoints.at("callers"),
        .readiness = endpoints.at("readiness"),
        .directory = endpoints.at("directory"),
        .fleet = endpoints.at("fleet"),
        .fleetKey = document.at("fleetKey"),
        .stagePort = document.at("fleetPorts").at(0),
        .metricsPort = document.at("fleetPorts").at(1),
        .registry = endpoints.at("registry"),
        .registrySilence = millisecondsAt(document, "registrySilenceMs", defaults.registrySilence),
        .entryLifetime = millisecondsAt(document, "entryLifetimeMs", defaults.entryLifetime),
        .maxConnections = document.value("maxConnections", defaults.maxConnections),
        .memoryMb = document.value("memoryMb", defaults.memoryMb),
        .maxDescriptors = document.value("maxDescriptors", defaults.maxDescriptors),
        .linkMbps = static_cast<uint32_t>(document.value("linkMbps", 0.0)),
        .retryRatio = retries.value("ratio", defaults.retryRatio),
        .retrySlack = retries.value("slack", defaults.retrySlack),
        .retryWindow = millisecondsAt(retries, "windowMs", defaults.retryWindow),
        .coldOvershoot = coldStarts.value("overshoot", defaults.coldOvershoot),
        .coldSlack = coldStarts.value("slack", defaults.coldSlack),
        .placesByFirstEvent = document.value("placesByFirstEvent", defaults.placesByFirstEvent),
        .drain = {.acceptPeriod = millisecondsAt(drain, "acceptMs", defaults.drain.acceptPeriod),
                  .maxDuration = millisecondsAt(drain, "limitMs", defaults.drain.maxDuration)},
        .logLevel = log.value("level", defaults.logLevel),
        .maxLogLinesPerSecond = log.value("maxLinesPerSecond", defaults.maxLogLinesPerSecond),
    };
    for (const Json &seed : document.value("seeds", Json::array())) {
        settings.seeds.push_back(endpoints.read(seed, "/seeds"));
    }
    checkDrain(settings, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    return settings;
}

} // namespace citronpick::config
