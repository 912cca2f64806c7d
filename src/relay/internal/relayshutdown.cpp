#include <algorithm>

#include "relay/relaysystem.h"
#include "relay/retryafter.h"

// The part of RelaySystem that decides which requests a planned shutdown may still hold.

namespace citronpick::relay
{

namespace
{

//! Parts of the shutdown time during which new requests are accepted. Streams with their stages
//! need most of the time to finish, other requests need little.
constexpr double streamAcceptShare = 0.33;
constexpr double requestAcceptShare = 0.8;

} // namespace

// Callers cache the addresses of daemons for seconds, so a daemon that stops still receives
// requests. Those that would not finish in time are refused, so that callers retry them elsewhere.
void RelaySystem::beginShutdown(model::TimePoint now, model::Duration limit)
{
    m_acceptStreamsUntil = now + model::scaled(limit, streamAcceptShare);
    m_acceptRequestsUntil = now + model::scaled(limit, requestAcceptShare);
    m_shutdownAt = now + limit;
    for (const auto &[id, exchange] : m_exchanges) {
        limitToShutdown(*exchange);
        addDeadlineTimers(*exchange);
    }
    refuseUnsent([](const Exchange &exchange) { return mayOutlastShutdown(exchange); });
}

void RelaySystem::hastenShutdown(model::TimePoint now)
{
    m_acceptStreamsUntil = now;
    m_acceptRequestsUntil = now;
    refuseUnsent([](const Exchange &) { return true; });
}

// No upstream has these requests yet, so that the refusal is true now and may not be later.
void RelaySystem::refuseUnsent(const std::function<bool(const Exchange &)> &isRefused)
{
    std::vector<model::RequestId> refused;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->attempt.value() == 0 && !exchange->mayHaveRun && isRefused(*exchange)) {
            refused.push_back(id);
        }
    }
    std::sort(refused.begin(), refused.end());
    for (const model::RequestId id : refused) {
        refuse(id, Refusal::Stopping, stoppingRetryAfter);
    }
}

// The end of the process would close the connection of an open request without an answer. A stream
// that would not be complete by then isn't started.
void RelaySystem::limitToShutdown(Exchange &exchange)
{
    if (m_shutdownAt == model::TimePoint::max()) {
        return;
    }
    const model::TimePoint latestFirstEvent = m_shutdownAt - streamTime(*exchange.route);
    exchange.isLimitedByShutdown
        = m_shutdownAt < exchange.deadline || latestFirstEvent < exchange.firstEventDeadline;
    exchange.deadline = std::min(exchange.deadline, m_shutdownAt);
    exchange.firstEventDeadline = std::min(exchange.firstEventDeadline, latestFirstEvent);
}

// A request that ends by its own deadline before the shutdown does is never cut by it. Streams last
// too long for that; they are judged by the time that their route's streams take.
bool RelaySystem::mayOutlastShutdown(const Exchange &exchange)
{
    return exchange.isLimitedByShutdown && !isStream(exchange.route->kind);
}

} // namespace citronpick::relay
