#ifndef CITRONPICK_CONFIG_CONFIGURATION_H
#define CITRONPICK_CONFIG_CONFIGURATION_H

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::config
{

//! One replica of a pool.
struct UpstreamConfig {
    model::UpstreamId id;
    std::string host; //!< IP address.
    uint16_t port = 0;
    model::ZoneId zone;

    friend auto operator<=>(const UpstreamConfig &, const UpstreamConfig &) = default;
};

//! Group of interchangeable replicas and their settings.
struct PoolConfig {
    model::PoolId id;
    std::string path = "/";
    std::string probePath = "/health";
    bool isIdempotent = true; //!< Default of the pool's stages.
    bool isStreaming = false; //!< Answers are streams of numbered token records.
    bool echoesAttempt = true; //!< Answers return the attempt header.
    uint32_t concurrency = 16; //!< Concurrent requests per replica, from all daemons.
    //! Expected service time of a request without tokens.
    model::Duration expectedDuration = model::milliseconds(100);
    //! Expected additional service time per token.
    model::Duration expectedPerToken = model::Duration::zero();
    double maxEjectedShare = 0.5; //!< Largest ejected share of the replicas, 0 to 1.
    uint64_t maxAnswerBytes = 4U << 20U;
    std::vector<UpstreamConfig> upstreams;

    friend bool operator==(const PoolConfig &, const PoolConfig &) = default;
};

//! One stage of a route.
struct StageConfig {
    std::string name;
    model::PoolId pool;
    std::string path; //!< Defaults to the pool's path.
    bool isIdempotent = true; //!< Defaults to the pool's value.

    friend auto operator<=>(const StageConfig &, const StageConfig &) = default;
};

//! A pipeline, or a service, which is handled as a pipeline with one stage.
struct RouteConfig {
    model::RouteId id;
    std::vector<StageConfig> stages;
    model::Duration defaultDeadline = model::seconds(6);
    bool isIdempotent = true; //!< False when any stage is not idempotent.

    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

//! A named priority; rank 0 is served first.
struct PriorityConfig {
    std::string name;
    uint32_t rank = 0;

    friend auto operator<=>(const PriorityConfig &, const PriorityConfig &) = default;
};

//! A client account. Its limits apply to the sum over all daemons; zero means unlimited.
struct AccountConfig {
    model::AccountId id;
    double weight = 1.0;
    double requestsPerSecond = 0.0;
    uint32_t concurrency = 0;

    friend auto operator<=>(const AccountConfig &, const AccountConfig &) = default;
};

//! Content of a valid pipeline file, with look-up by name.
class Configuration
{
public:
    struct Content {
        std::vector<PoolConfig> pools;
        std::vector<RouteConfig> routes;
        std::vector<PriorityConfig> priorities;
        std::vector<AccountConfig> accounts;
        bool acceptsUnknownAccounts = true;
    };

    explicit Configuration(Content content);

    const std::vector<PoolConfig> &pools() const
    {
        return m_content.pools;
    }
    const std::vector<RouteConfig> &routes() const
    {
        return m_content.routes;
    }
    const std::vector<PriorityConfig> &priorities() const
    {
        return m_content.priorities;
    }
    const std::vector<AccountConfig> &accounts() const
    {
        return m_content.accounts;
    }
    bool acceptsUnknownAccounts() const
    {
        return m_content.acceptsUnknownAccounts;
    }

    //! Null when the name is unknown. The pointer is valid as long as the configuration exists.
    const PoolConfig *pool(const model::PoolId &id) const;
    const RouteConfig *route(const model::RouteId &id) const;
    const AccountConfig *account(const model::AccountId &id) const;

    //! Whether any idempotent stage uses the pool.
    bool hasIdempotentStage(const model::PoolId &id) const;

    //! The rank of a named priority; the last rank when the name is unknown.
    uint32_t priorityRank(std::string_view name) const;

private:
    Content m_content;
    absl::flat_hash_map<model::PoolId, size_t> m_poolIndex;
    absl::flat_hash_map<model::RouteId, size_t> m_routeIndex;
    absl::flat_hash_map<model::AccountId, size_t> m_accountIndex;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

//! Parses and validates a pipeline file. On failure, the status lists all errors found in one
//! validation step (schema, then names and references); see toStatus().
absl::StatusOr<ConfigurationPtr> parseConfiguration(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_CONFIGURATION_H
