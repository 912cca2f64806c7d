#include "config/configuration.h"

#include <cmath>
#include <set>

#include "config/configerror.h"
#include "config/internal/checkedjson.h"
#include "config/internal/schemas.h"

namespace citronpick::config
{

namespace
{

using Json = nlohmann::json;

model::Duration durationAt(const Json &object, const char *key, model::Duration defaultValue)
{
    if (!object.contains(key)) {
        return defaultValue;
    }
    const double milliseconds = object.at(key);
    return model::Duration(std::llround(milliseconds * 1000.0));
}

//! Finds duplicate names and references to unknown pools, which a JSON Schema cannot express.
class ReferenceChecker
{
public:
    explicit ReferenceChecker(std::vector<Finding> &findings)
        : m_findings(findings)
    {
    }

    void addName(const char *kind, const std::string &name, const std::string &pointer)
    {
        if (!m_names.emplace(kind, name).second) {
            m_findings.push_back({.error = ConfigError::DuplicateName,
                                  .pointer = pointer + "/name",
                                  .expected = "a unique " + std::string(kind) + " name, but '"
                                              + name + "' is used twice"});
        }
    }

    void requirePool(const std::string &name, const std::string &pointer)
    {
        if (!m_names.contains({"pool", name})) {
            m_findings.push_back({.error = ConfigError::UnknownReference,
                                  .pointer = pointer + "/pool",
                                  .expected = "the name of a pool in /pools, not '" + name + "'"});
        }
    }

private:
    std::vector<Finding> &m_findings;
    std::set<std::pair<std::string, std::string>> m_names;
};

std::string elementPointer(const std::string &pointer, size_t index)
{
    return pointer + "/" + std::to_string(index);
}

std::vector<UpstreamConfig> upstreamsOf(const Json &list, const std::string &pointer,
                                        ReferenceChecker &checker)
{
    std::vector<UpstreamConfig> upstreams;
    for (size_t i = 0; i < list.size(); ++i) {
        const Json &item = list[i];
        checker.addName("upstream", item.at("name"), elementPointer(pointer, i));
        upstreams.push_back({.id = model::UpstreamId(item.at("name")),
                             .host = item.at("host"),
                             .port = item.at("port"),
                             .zone = model::ZoneId(item.at("zone"))});
    }
    return upstreams;
}

PoolConfig poolOf(const Json &item, const std::string &pointer, ReferenceChecker &checker)
{
    const PoolConfig defaults;
    checker.addName("pool", item.at("name"), pointer);
    const int ejectedPercent = item.value("maxEjectedPercent", 50);
    return {
        .id = model::PoolId(item.at("name")),
        .path = item.value("path", defaults.path),
        .probePath = item.value("probePath", defaults.probePath),
        .isIdempotent = item.value("idempotent", defaults.isIdempotent),
        .isStreaming = item.value("streaming", defaults.isStreaming),
        .echoesAttempt = item.value("echoesAttempt", defaults.echoesAttempt),
        .concurrency = item.value("concurrency", defaults.concurrency),
        .expectedDuration = durationAt(item, "expectedMs", defaults.expectedDuration),
        .expectedPerToken = durationAt(item, "expectedPerTokenMs", defaults.expectedPerToken),
        .maxEjectedShare = ejectedPercent / 100.0,
        .maxAnswerBytes = item.value("maxAnswerBytes", defaults.maxAnswerBytes),
        .upstreams = upstreamsOf(item.at("upstreams"), pointer + "/upstreams", checker),
    };
}

StageConfig stageOf(const Json &item, const std::string &name, const std::vector<PoolConfig> &pools)
{
    StageConfig stage {.name = name, .pool = model::PoolId(item.at("pool"))};
    for (const PoolConfig &pool : pools) {
        if (pool.id == stage.pool) {
            stage.path = item.value("path", pool.path);
            stage.isIdempotent = item.value("idempotent", pool.isIdempotent);
        }
    }
    return stage;
}

std::vector<StageConfig> stagesOf(const Json &list, const std::string &pointer,
                                  const std::vector<PoolConfig> &pools, ReferenceChecker &checker)
{
    std::vector<StageConfig> stages;
    for (size_t i = 0; i < list.size(); ++i) {
        checker.requirePool(list[i].at("pool"), elementPointer(pointer, i));
        stages.push_back(stageOf(list[i], list[i].at("name"), pools));
    }
    return stages;
}

RouteConfig routeOf(const Json &item, std::vector<StageConfig> stages)
{
    const RouteConfig defaults;
    bool isIdempotent = true;
    for (const StageConfig &stage : stages) {
        isIdempotent = isIdempotent && stage.isIdempotent;
    }
    return {.id = model::RouteId(item.at("name")),
            .stages = std::move(stages),
            .defaultDeadline = durationAt(item, "deadlineMs", defaults.defaultDeadline),
            .isIdempotent = isIdempotent};
}

void readRoutes(const Json &document, Configuration::Content &content, ReferenceChecker &checker)
{
    const Json pipelines = document.value("pipelines", Json::array());
    for (size_t i = 0; i < pipelines.size(); ++i) {
        const std::string pointer = elementPointer("/pipelines", i);
        checker.addName("route", pipelines[i].at("name"), pointer);
        auto stages
            = stagesOf(pipelines[i].at("stages"), pointer + "/stages", content.pools, checker);
        content.routes.push_back(routeOf(pipelines[i], std::move(stages)));
    }
    const Json services = document.value("services", Json::array());
    for (size_t i = 0; i < services.size(); ++i) {
        const std::string pointer = elementPointer("/services", i);
        checker.addName("route", services[i].at("name"), pointer);
        checker.requirePool(services[i].at("pool"), pointer);
        content.routes.push_back(
            routeOf(services[i], {stageOf(services[i], "call", content.pools)}));
    }
}

void readAccounts(const Json &document, Configuration::Content &content, ReferenceChecker &checker)
{
    const Json accounts = document.value("accounts", Json::array());
    content.accounts.reserve(accounts.size());
    for (size_t i = 0; i < accounts.size(); ++i) {
        const Json &item = accounts[i];
        checker.addName("account", item.at("name"), elementPointer("/accounts", i));
        content.accounts.push_back({.id = model::AccountId(item.at("name")),
                                    .weight = item.value("weight", 1.0),
                                    .requestsPerSecond = item.value("requestsPerSecond", 0.0),
                                    .concurrency = item.value("concurrency", 0U)});
    }
}

} // namespace

absl::StatusOr<ConfigurationPtr> parseConfiguration(std::string_view text)
{
    std::vector<Finding> findings;
    const Json document = internal::parseAndValidate(text, internal::pipelineSchema, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    ReferenceChecker checker(findings);
    Configuration::Content content;
    const Json &pools = document.at("pools");
    for (size_t i = 0; i < pools.size(); ++i) {
        content.pools.push_back(poolOf(pools[i], elementPointer("/pools", i), checker));
    }
    readRoutes(document, content, checker);
    const Json priorities = document.value("priorities", Json::array());
    for (size_t i = 0; i < priorities.size(); ++i) {
        checker.addName("priority", priorities[i].at("name"), elementPointer("/priorities", i));
        content.priorities.push_back(
            {.name = priorities[i].at("name"), .rank = priorities[i].at("rank")});
    }
    readAccounts(document, content, checker);
    content.acceptsUnknownAccounts = document.value("acceptUnknownAccounts", true);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    return std::make_shared<const Configuration>(std::move(content));
}

} // namespace citronpick::config
