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

model::Duration durationAt(const Json &object, const char *key, model::Duration fallback)
{
    if (!object.contains(key)) {
        return fallback;
    }
    const double milliseconds = object.at(key);
    return model::Duration(std::llround(milliseconds * 1000.0));
}

//! Collects the faults that a schema cannot express.
class NameCheck
{
public:
    explicit NameCheck(std::vector<Finding> &findings)
        : m_findings(findings)
    {
    }

    void addName(const char *kind, const std::string &name, const std::string &pointer)
    {
        if (!m_names.emplace(kind, name).second) {
            m_findings.push_back({.error = ConfigError::DuplicateName,
                                  .pointer = pointer + "/name",
                                  .expected = "a name that no other " + std::string(kind)
                                              + " has, not '" + name + "'"});
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

std::string at(const std::string &base, size_t index)
{
    return base + "/" + std::to_string(index);
}

std::vector<UpstreamConfig> upstreamsOf(const Json &list, const std::string &base, NameCheck &check)
{
    std::vector<UpstreamConfig> upstreams;
    for (size_t i = 0; i < list.size(); ++i) {
        const Json &item = list[i];
        check.addName("upstream", item.at("name"), at(base, i));
        upstreams.push_back({.id = model::UpstreamId(item.at("name")),
                             .host = item.at("host"),
                             .port = item.at("port"),
                             .zone = model::ZoneId(item.at("zone"))});
    }
    return upstreams;
}

PoolConfig poolOf(const Json &item, const std::string &base, NameCheck &check)
{
    const PoolConfig fallback;
    check.addName("pool", item.at("name"), base);
    const int ejectedPercent = item.value("maxEjectedPercent", 50);
    return {
        .id = model::PoolId(item.at("name")),
        .path = item.value("path", fallback.path),
        .probePath = item.value("probePath", fallback.probePath),
        .isIdempotent = item.value("idempotent", fallback.isIdempotent),
        .isStreaming = item.value("streaming", fallback.isStreaming),
        .echoesAttempt = item.value("echoesAttempt", fallback.echoesAttempt),
        .concurrency = item.value("concurrency", fallback.concurrency),
        .expectedDuration = durationAt(item, "expectedMs", fallback.expectedDuration),
        .expectedPerToken = durationAt(item, "expectedPerTokenMs", fallback.expectedPerToken),
        .maxEjectedShare = ejectedPercent / 100.0,
        .maxAnswerBytes = item.value("maxAnswerBytes", fallback.maxAnswerBytes),
        .upstreams = upstreamsOf(item.at("upstreams"), base + "/upstreams", check),
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

std::vector<StageConfig> stagesOf(const Json &list, const std::string &base,
                                  const std::vector<PoolConfig> &pools, NameCheck &check)
{
    std::vector<StageConfig> stages;
    for (size_t i = 0; i < list.size(); ++i) {
        check.requirePool(list[i].at("pool"), at(base, i));
        stages.push_back(stageOf(list[i], list[i].at("name"), pools));
    }
    return stages;
}

RouteConfig routeOf(const Json &item, std::vector<StageConfig> stages)
{
    const RouteConfig fallback;
    bool isIdempotent = true;
    for (const StageConfig &stage : stages) {
        isIdempotent = isIdempotent && stage.isIdempotent;
    }
    return {.id = model::RouteId(item.at("name")),
            .stages = std::move(stages),
            .defaultDeadline = durationAt(item, "deadlineMs", fallback.defaultDeadline),
            .isIdempotent = isIdempotent};
}

void readRoutes(const Json &document, Configuration::Content &content, NameCheck &check)
{
    const Json pipelines = document.value("pipelines", Json::array());
    for (size_t i = 0; i < pipelines.size(); ++i) {
        const std::string base = at("/pipelines", i);
        check.addName("route", pipelines[i].at("name"), base);
        auto stages = stagesOf(pipelines[i].at("stages"), base + "/stages", content.pools, check);
        content.routes.push_back(routeOf(pipelines[i], std::move(stages)));
    }
    const Json services = document.value("services", Json::array());
    for (size_t i = 0; i < services.size(); ++i) {
        const std::string base = at("/services", i);
        check.addName("route", services[i].at("name"), base);
        check.requirePool(services[i].at("pool"), base);
        content.routes.push_back(
            routeOf(services[i], {stageOf(services[i], "call", content.pools)}));
    }
}

void readAccounts(const Json &document, Configuration::Content &content, NameCheck &check)
{
    const Json accounts = document.value("accounts", Json::array());
    content.accounts.reserve(accounts.size());
    for (size_t i = 0; i < accounts.size(); ++i) {
        const Json &item = accounts[i];
        check.addName("account", item.at("name"), at("/accounts", i));
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
    const Json document = internal::readChecked(text, internal::pipelineSchema, findings);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    NameCheck check(findings);
    Configuration::Content content;
    const Json &pools = document.at("pools");
    for (size_t i = 0; i < pools.size(); ++i) {
        content.pools.push_back(poolOf(pools[i], at("/pools", i), check));
    }
    readRoutes(document, content, check);
    const Json priorities = document.value("priorities", Json::array());
    for (size_t i = 0; i < priorities.size(); ++i) {
        check.addName("priority", priorities[i].at("name"), at("/priorities", i));
        content.priorities.push_back(
            {.name = priorities[i].at("name"), .rank = priorities[i].at("rank")});
    }
    readAccounts(document, content, check);
    content.acceptsUnknownAccounts = document.value("acceptUnknownAccounts", true);
    if (!findings.empty()) {
        return toStatus(findings);
    }
    return std::make_shared<const Configuration>(std::move(content));
}

} // namespace citronpick::config
