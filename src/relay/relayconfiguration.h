#ifndef CITRONPICK_RELAY_RELAYCONFIGURATION_H
#define CITRONPICK_RELAY_RELAYCONFIGURATION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::relay
{

//! How often a request may run and what form its answer has.
enum class RequestKind {
    Idempotent, //!< May run any number of times.
    AtMostOnce,
    Stream, //!< The answer is an event stream; the request runs at most once.
    ResumableStream, //!< The answer is an event stream that can resume after any event.
};

constexpr bool isStream(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

//! Whether a request may be sent again after an upstream may have run it.
constexpr bool mayRepeat(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::ResumableStream;
}

//! A pool of a route and its weight in the distribution of the route's requests.
struct PoolShare {
    model::PoolId pool;
    uint32_t weight = 1;

    friend bool operator==(const PoolShare &, const PoolShare &) = default;
};

//! A stage of work that has to finish before a request can run.
struct StageRule {
    model::PoolId pool;
    std::vector<uint32_t> after; //!< Indexes of the stages whose results this stage uses as inputs.
    uint64_t resultBytes = 0; //!< Approximate size of one piece's result.

    friend bool operator==(const StageRule &, const StageRule &) = default;
};

//! Which requests match a route and how they are served.
struct RouteRule {
    model::RouteId id;
    std::string host; //!< Lower-case.
    std::string prefix;
    RequestKind kind = RequestKind::AtMostOnce;
    model::Duration timeout = model::seconds(10);
    model::Duration latencyTarget = model::seconds(1);
    model::Duration pauseTarget {}; //!< Target for the longest pause between events.
    uint32_t priority = 0; //!< Zero is the most urgent.
    uint32_t maxAttempts = 1; //!< Maximum number of upstreams that may receive one request.
    std::vector<PoolShare> pools;
    std::vector<StageRule> stages;
    bool isPublic = false; //!< Requests need no account key.

    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

//! How a pool's upstreams process pieces of a stage in batches.
struct BatchRule {
    uint32_t slots = 1; //!< Concurrent batches per upstream.
    uint32_t maxItems = 1; //!< Maximum number of pieces in a batch.
    model::Duration callTime {}; //!< Fixed time of a batch, independent of its size.
    model::Duration itemTime {}; //!< Approximate additional time per piece.
    uint64_t resultStorageBytes = 0; //!< Result storage of one upstream.
    model::Duration resultLifetime {}; //!< Zero if results do not expire.

    friend bool operator==(const BatchRule &, const BatchRule &) = default;
};

//! Model engine capacity of each upstream of a pool.
struct EngineRule {
    uint32_t slots = 1;
    uint64_t cacheTokens = 0;

    friend bool operator==(const EngineRule &, const EngineRule &) = default;
};

//! What upstreams of a pool tolerate for a while after they start.
struct ColdStartRule {
    model::Duration duration {}; //!< How long an upstream is cold after a start.
    //! From all daemons together; an upstream may crash at a higher rate.
    double requestsPerSecond = 0.0;

    friend bool operator==(const ColdStartRule &, const ColdStartRule &) = default;
};

struct PoolRule {
    model::PoolId id;
    std::string healthPath;
    uint32_t maxConnections = 0; //!< Connections that one upstream accepts from all clients.
    std::optional<BatchRule> batch;
    std::optional<EngineRule> engine;
    std::optional<ColdStartRule> coldStart; //!< Empty if upstreams start warm.

    friend bool operator==(const PoolRule &, const PoolRule &) = default;
};

//! A client account and the keys that identify it.
struct AccountRule {
    model::AccountId id;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; //!< Overrides the priority of the route.

    friend bool operator==(const AccountRule &, const AccountRule &) = default;
};

//! Size and time limits for requests of callers.
struct CallerLimits {
    uint64_t maxHeadBytes = 16U << 10U;
    uint64_t maxBodyBytes = 4U << 20U;
    model::Duration headTimeout = model::seconds(3);
    model::Duration idleTimeout = model::seconds(15);

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

//! The content of one revision of the operator's configuration.
struct ConfigurationContent {
    model::Revision revision;
    std::vector<RouteRule> routes;
    std::vector<PoolRule> pools;
    std::optional<std::vector<AccountRule>> accounts; //!< If absent, no request needs a key.
    CallerLimits callerLimits;

    friend bool operator==(const ConfigurationContent &, const ConfigurationContent &) = default;
};

//! One immutable revision of the configuration, with lookup tables.
class RelayConfiguration
{
public:
    explicit RelayConfiguration(ConfigurationContent content);

    const ConfigurationContent &content() const
    {
        return m_content;
    }
    model::Revision revision() const
    {
        return m_content.revision;
    }

    //! The route of the host with the longest prefix that matches the path; null if none matches.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    const PoolRule *findPool(const model::PoolId &id) const;
    //! Null if no account has the key.
    const AccountRule *findAccount(std::string_view key) const;

private:
    ConfigurationContent m_content;
    absl::flat_hash_map<std::string, std::vector<const RouteRule *>> m_routesByHost;
    absl::flat_hash_map<model::PoolId, const PoolRule *> m_pools;
    absl::flat_hash_map<std::string, const AccountRule *> m_accountsByKey;
};

using RelayConfigurationPtr = std::shared_ptr<const RelayConfiguration>;

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_RELAYCONFIGURATION_H
