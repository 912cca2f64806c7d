#include "config/configerror.h"
#include "config/configuration.h"
#include "config/relaysettings.h"
#include "config/settings.h"

#include <string>

#include <catch2/catch.hpp>

using namespace citronpick;
using namespace citronpick::config;

namespace
{

const char *const settingsText = R"json({
  "daemon": "d1", "zone": "a",
  "caller": { "host": "127.0.0.1", "port": 8080 },
  "admin": { "host": "127.0.0.1", "port": 8081, "token": "secret-token" },
  "fleet": { "host": "127.0.0.1", "port": 8082, "key": "0123456789abcdef",
             "seeds": [ { "host": "127.0.0.1", "port": 9082 } ] },
  "platform": { "host": "127.0.0.1", "port": 7000 },
  "drain": { "acceptMs": 4500 }
})json";

const char *const pipelineText = R"json({
  "pools": [
    { "name": "encoders", "expectedMs": 10, "concurrency": 4, "path": "/encode",
      "upstreams": [ { "name": "e1", "host": "127.0.0.1", "port": 1, "zone": "a" } ] },
    { "name": "desk", "idempotent": false,
      "upstreams": [ { "name": "o1", "host": "127.0.0.1", "port": 2, "zone": "b" } ] }
  ],
  "pipelines": [ { "name": "quote", "deadlineMs": 6000,
    "stages": [ { "name": "encode", "pool": "encoders" } ] } ],
  "services": [ { "name": "confirm", "pool": "desk", "path": "/confirm" },
                { "name": "stock", "pool": "desk", "path": "/stock", "idempotent": true } ],
  "priorities": [ { "name": "high", "rank": 0 }, { "name": "low", "rank": 2 } ],
  "accounts": [ { "name": "bangkok", "weight": 2, "requestsPerSecond": 50 } ]
})json";

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("Settings that the file omits have their defaults")
{
    const auto settings = parseSettings(settingsText);
    REQUIRE(settings.ok());
    CHECK(settings->daemon == model::DaemonId("d1"));
    CHECK(settings->caller == Endpoint {.host = "127.0.0.1", .port = 8080});
    CHECK(settings->fleetSeeds.size() == 1);
    CHECK(settings->drain.acceptPeriod == model::milliseconds(4500));
    CHECK(settings->drain.maxDuration == DrainSettings().maxDuration);
}

TEST_CASE("Errors in a settings file are reported with their JSON pointer and kind")
{
    const auto check = [](const std::string &text, const std::string &pointer, ConfigError error) {
        const auto settings = parseSettings(text);
        REQUIRE_FALSE(settings.ok());
        INFO(settings.status());
        CHECK(configErrorOf(settings.status()) == error);
        CHECK(std::string(settings.status().message()).find(pointer + ":") != std::string::npos);
    };
    check("{", "/", ConfigError::NotJson);
    check(replaceFirst(settingsText, "8080", "\"x\""), "/caller/port",
          ConfigError::SchemaViolation);
    check(replaceFirst(settingsText, "8080", "70000"), "/caller/port",
          ConfigError::SchemaViolation);
    check(replaceFirst(settingsText, "\"acceptMs\"", "\"acceptSeconds\""), "/drain",
          ConfigError::SchemaViolation);
    check(replaceFirst(settingsText, "\"host\": \"127.0.0.1\", \"port\": 9082", "\"port\": 9082"),
          "/fleet/seeds/0", ConfigError::SchemaViolation);
    check(replaceFirst(settingsText, "4500", "3500"), "/drain/acceptMs",
          ConfigError::Contradiction);
    check(replaceFirst(settingsText, "secret-token", "short"), "/admin/token",
          ConfigError::SchemaViolation);
}

TEST_CASE("The error message names an unknown key")
{
    const auto settings = parseSettings(replaceFirst(settingsText, "\"zone\"", "\"zome\""));
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find("zome") != std::string::npos);
}

TEST_CASE("A pipeline file is parsed into pools, routes, priorities and accounts")
{
    const auto parsed = parseConfiguration(pipelineText);
    REQUIRE(parsed.ok());
    const Configuration &configuration = **parsed;
    CHECK(configuration.pools().size() == 2);
    REQUIRE(configuration.route(model::RouteId("quote")) != nullptr);
    CHECK(configuration.route(model::RouteId("quote"))->isIdempotent);
    CHECK(configuration.route(model::RouteId("quote"))->stages[0].path == "/encode");
    CHECK_FALSE(configuration.route(model::RouteId("confirm"))->isIdempotent);
    CHECK(configuration.route(model::RouteId("stock"))->isIdempotent);
    CHECK(configuration.hasIdempotentStage(model::PoolId("desk")));
    CHECK(configuration.priorityRank("high") == 0);
    CHECK(configuration.priorityRank("unheard-of") == 2);
    CHECK(configuration.account(model::AccountId("bangkok"))->weight == 2.0);
    CHECK(configuration.route(model::RouteId("none")) == nullptr);
}

TEST_CASE("Duplicate names and unknown references are reported together")
{
    std::string text = replaceFirst(pipelineText, "\"pool\": \"desk\", \"path\": \"/confirm\"",
                                    "\"pool\": \"disk\", \"path\": \"/confirm\"");
    text = replaceFirst(text, "\"name\": \"o1\"", "\"name\": \"e1\"");
    const auto parsed = parseConfiguration(text);
    REQUIRE_FALSE(parsed.ok());
    const std::string message(parsed.status().message());
    INFO(message);
    CHECK(message.find("/pools/1/upstreams/0/name: duplicate-name") != std::string::npos);
    CHECK(message.find("/services/0/pool: unknown-reference") != std::string::npos);
}

namespace
{

const std::string relaySettingsText = R"({
  "mode": "relay", "daemon": "d1", "zone": "z", "callers": "10.0.0.1:80",
  "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82", "fleet": "10.0.0.1:83",
  "fleetKey": "at-least-eight", "fleetPorts": [90, 91], "seeds": ["10.0.0.2:83"],
  "registry": "10.0.0.9:84", "registrySilenceMs": 1500, "linkMbps": 200.0,
  "retries": { "ratio": 0.1, "slack": 20, "windowMs": 5000 }
})";

std::string replaceText(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("Settings of a daemon in relay mode are parsed")
{
    CHECK(isRelaySettings(relaySettingsText));
    CHECK_FALSE(isRelaySettings(R"({"daemon": "d1"})"));
    const auto settings = parseRelaySettings(relaySettingsText);
    REQUIRE(settings.ok());
    CHECK(settings->callers == Endpoint {.host = "10.0.0.1", .port = 80});
    CHECK(settings->stagePort == 90);
    CHECK(settings->metricsPort == 91);
    CHECK(settings->seeds.size() == 1);
    CHECK(settings->registrySilence == model::milliseconds(1500));
    CHECK(settings->linkMbps == 200);
    CHECK(settings->retryRatio == Approx(0.1));
    CHECK(settings->retryWindow == model::seconds(5));
    CHECK(settings->entryLifetime == RelaySettings {}.entryLifetime);
}

TEST_CASE("Errors in settings of a daemon in relay mode name the setting")
{
    for (const auto &[from, to, setting] :
         std::vector<std::tuple<std::string, std::string, std::string>> {
             {"\"10.0.0.1:80\"", "\"10.0.0.1:99999\"", "/callers"},
             {"\"10.0.0.2:83\"", "\"nowhere\"", "/seeds"},
             {"[90, 91]", "[90]", "/fleetPorts"},
             {"\"ratio\": 0.1", "\"ratio\": -1", "/retries"},
             {"\"zone\": \"z\"", "\"zome\": \"z\"", "zone"},
             {"\"zone\": \"z\"", R"("zone": "z", "entryLifetimeMs": 7000)", "/drain/acceptMs"},
             {"\"zone\": \"z\"", R"("zone": "z", "drain": {"limitMs": 6200})", "/drain/limitMs"}}) {
        const auto settings = parseRelaySettings(replaceText(relaySettingsText, from, to));
        REQUIRE_FALSE(settings.ok());
        CHECK(std::string(settings.status().message()).find(setting) != std::string::npos);
    }
    CHECK_FALSE(parseRelaySettings("{").ok());
}

TEST_CASE("An endpoint consists of an IP address and a non-zero port")
{
    CHECK(toText(*parseEndpoint("10.0.0.1:80")) == "10.0.0.1:80");
    for (const char *text :
         {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x"}) {
        CHECK_FALSE(parseEndpoint(text));
    }
}
