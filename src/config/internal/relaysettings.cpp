#include "config/relaysettings.h"

#include "config/internal/checkedjson.h"
#include "config/internal/schemas.h"

namespace citronpick::config
{

namespace
{

using Json = nlohmann::json;

model::Duration millisecondsAt(const Json &object, const char *key, model::Duration fallback)
{
    return model::milliseconds(object.value(key, model::toMilliseconds(fallback)));
}

//! Reads addresses and collects faults that the schema does not see.
class AddressReader
{
public:
    AddressReader(const Json &document, std::vector<Finding> &findings)
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
                                  .expected = "an address with a port"});
        }
        return endpoint.value_or(Endpoint {});
    }

private:
    const Json &m_document;
    std::vector<Finding> &m_findings;
};

} // namespace

bool isRelaySettings(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    return document.is_object() && document.contains("mode");
}

absl::StatusOr<RelaySettings> parseRelaySettings(std::string_view text)
{
    std::vector<Finding> findings;
    const Json document = internal::readChecked(text, internal::relaySettingsSchema, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    const RelaySettings fallback;
    const Json drain = document.value("drain", Json::object());
    const Json retries = document.value("retries", Json::object());
    const Json log = document.value("log", Json::object());
    AddressReader addresses(document, findings);
    RelaySettings settings {
        .daemon = model::DaemonId(document.at("daemon")),
        .zone = model::ZoneId(document.at("zone")),
        .callers = addresses.at("callers"),
        .readiness = addresses.at("readiness"),
        .directory = addresses.at("directory"),
        .fleet = addresses.at("fleet"),
        .fleetKey = document.at("fleetKey"),
        .stagePort = document.at("fleetPorts").at(0),
        .metricsPort = document.at("fleetPorts").at(1),
        .registry = addresses.at("registry"),
        .registryWatch = millisecondsAt(document, "registryWatchMs", fallback.registryWatch),
        .entryLifetime = millisecondsAt(document, "entryLifetimeMs", fallback.entryLifetime),
        .maxConnections = document.value("maxConnections", fallback.maxConnections),
        .linkMbps = static_cast<uint32_t>(document.value("linkMbps", 0.0)),
        .retryRatio = retries.value("ratio", fallback.retryRatio),
        .retrySlack = retries.value("slack", fallback.retrySlack),
        .retryWindow = millisecondsAt(retries, "windowMs", fallback.retryWindow),
        .drain = {.accept = millisecondsAt(drain, "acceptMs", fallback.drain.accept),
                  .limit = millisecondsAt(drain, "limitMs", fallback.drain.limit)},
        .logLevel = log.value("level", fallback.logLevel),
        .maxLogLinesPerSecond = log.value("maxLinesPerSecond", fallback.maxLogLinesPerSecond),
    };
    for (const Json &seed : document.value("seeds", Json::array())) {
        settings.seeds.push_back(addresses.read(seed, "/seeds"));
    }
    if (!findings.empty()) {
        return toStatus(findings);
    }
    return settings;
}

} // namespace citronpick::config
