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

//! What may be repeated of a request.
enum class RequestKind {
    Idempotent, //!< May run any number of times.
    AtMostOnce,
    Stream, //!< Events; runs at most once.
    ResumableStream, //!< Events; another upstream can go on after any of them.
};

constexpr bool isStream(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

//! Whether a request may run again after it may have run.
constexpr bool mayRepeat(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::ResumableStream;
}

//! One pool of a route and how much of the route's requests it gets.
struct PoolShare {
    model::PoolId pool;
    uint32_t weight = 1;

    friend bool operator==(const PoolShare &, const PoolShare &) = default;
};

//! Work that has to be done before a request can run.
struct StageRule {
    model::PoolId pool;
    std::vector<uint32_t> after; //!< Stages whose results it takes.
    uint64_t resultBytes = 0; //!< Of one piece, about.

    friend bool operator==(const StageRule &, const StageRule &) = default;
};

//! Which requests a route takes and how they are served.
struct RouteRule {
    model::RouteId id;
    std::string host; //!< Lower-case.
    std::string prefix;
    RequestKind kind = RequestKind::AtMostOnce;
    model::Duration timeout = model::seconds(10);
    model::Duration latencyTarget = model::seconds(1);
    model::Duration pauseTarget {}; //!< Longest pause between events of a stream that is on time.
    uint32_t priority = 0; //!< Zero is the most urgent.
    uint32_t maxAttempts = 1; //!< Upstreams to which one request may be sent.
    std::vector<PoolShare> pools;
    std::vector<StageRule> stages;
    bool isPublic = false; //!< Needs no account.

    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

//! How a pool's upstreams take pieces of a stage in batches.
struct BatchRule {
    uint32_t slots = 1; //!< Batches at work at the same time, of one upstream.
    uint32_t maxItems = 1; //!< Pieces in one batch.
    model::Duration callTime {}; //!< Of a batch, whatever it holds.
    model::Duration itemTime {}; //!< Of each piece, about.
    uint64_t resultRoomBytes = 0; //!< Of one upstream.
    model::Duration resultLifetime {};

    friend bool operator==(const BatchRule &, const BatchRule &) = default;
};

//! Capacity of a pool's model engines, of one upstream.
struct EngineRule {
    uint32_t slots = 1;
    uint64_t cacheTokens = 0;

    friend bool operator==(const EngineRule &, const EngineRule &) = default;
};

struct PoolRule {
    model::PoolId id;
    std::string healthPath;
    uint32_t maxConnections = 0; //!< Of one upstream, from all callers.
    std::optional<BatchRule> batch;
    std::optional<EngineRule> engine;

    friend bool operator==(const PoolRule &, const PoolRule &) = default;
};

//! A client account and the keys that name it.
struct AccountRule {
    model::AccountId id;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; //!< Goes before the route's.

    friend bool operator==(const AccountRule &, const AccountRule &) = default;
};

//! What callers may send.
struct CallerBounds {
    uint64_t maxHeadBytes = 16U << 10U;
    uint64_t maxBodyBytes = 4U << 20U;
    model::Duration headTimeout = model::seconds(3);
    model::Duration idleTimeout = model::seconds(15);

    friend bool operator==(const CallerBounds &, const CallerBounds &) = default;
};

//! Everything that one revision of the operator's configuration says.
struct ConfigurationContent {
    model::Revision revision;
    std::vector<RouteRule> routes;
    std::vector<PoolRule> pools;
    std::optional<std::vector<AccountRule>> accounts; //!< Absent: no request needs a key.
    CallerBounds bounds;

    friend bool operator==(const ConfigurationContent &, const ConfigurationContent &) = default;
};

//! One revision, with its look-ups. Immutable.
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

    //! The route of the host with the longest prefix that begins the path; null when none does.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    const PoolRule *findPool(const model::PoolId &id) const;
    //! Null when no account has the key.
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
