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
    std::string host; //!< IP number.
    uint16_t port = 0;
    model::ZoneId zone;

    friend auto operator<=>(const UpstreamConfig &, const UpstreamConfig &) = default;
};

//! Replicas that do the same work.
struct PoolConfig {
    model::PoolId id;
    std::string path = "/";
    std::string probePath = "/health";
    bool isIdempotent = true; //!< For stages that do not say otherwise.
    bool isStreaming = false; //!< Answers are numbered token records.
    bool echoesAttempt = true; //!< Answers repeat the attempt's header.
    uint32_t concurrency = 16; //!< Requests that one replica takes at a time, over all daemons.
    model::Duration expectedDuration = model::milliseconds(100); //!< Of a request without tokens.
    model::Duration expectedPerToken = model::Duration::zero(); //!< Added per expected token.
    double maxEjectedShare = 0.5; //!< Of the pool's replicas, 0 to 1.
    uint64_t maxAnswerBytes = 4U << 20U;
    std::vector<UpstreamConfig> upstreams;

    friend bool operator==(const PoolConfig &, const PoolConfig &) = default;
};

//! One step of a route.
struct StageConfig {
    std::string name;
    model::PoolId pool;
    std::string path; //!< The pool's when the file names none.
    bool isIdempotent = true; //!< The pool's when the file names none.

    friend auto operator<=>(const StageConfig &, const StageConfig &) = default;
};

//! A pipeline, or a plain service as a pipeline of one stage.
struct RouteConfig {
    model::RouteId id;
    std::vector<StageConfig> stages;
    model::Duration defaultDeadline = model::seconds(6);
    bool isIdempotent = true; //!< False when any stage is not idempotent.

    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

//! A named urgency; rank 0 is served first.
struct PriorityConfig {
    std::string name;
    uint32_t rank = 0;

    friend auto operator<=>(const PriorityConfig &, const PriorityConfig &) = default;
};

//! A customer and its limits over all daemons; a zero limit is no limit.
struct AccountConfig {
    model::AccountId id;
    double weight = 1.0;
    double requestsPerSecond = 0.0;
    uint32_t concurrency = 0;

    friend auto operator<=>(const AccountConfig &, const AccountConfig &) = default;
};

//! One accepted pipeline file.
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

    //! Null when there is none of that name; the pointer lives as long as the configuration.
    const PoolConfig *pool(const model::PoolId &id) const;
    const RouteConfig *route(const model::RouteId &id) const;
    const AccountConfig *account(const model::AccountId &id) const;

    //! Whether any stage that may be repeated runs on the pool.
    bool hasIdempotentStage(const model::PoolId &id) const;

    //! The rank of a named priority; the lowest urgency when the name is unknown.
    uint32_t priorityRank(std::string_view name) const;

private:
    Content m_content;
    absl::flat_hash_map<model::PoolId, size_t> m_poolIndex;
    absl::flat_hash_map<model::RouteId, size_t> m_routeIndex;
    absl::flat_hash_map<model::AccountId, size_t> m_accountIndex;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

//! Reads and checks a pipeline file. All faults are reported together; see toStatus().
absl::StatusOr<ConfigurationPtr> parseConfiguration(std::string_view text);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_CONFIGURATION_H
