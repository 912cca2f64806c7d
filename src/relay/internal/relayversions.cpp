#include <algorithm>

#include "relay/relaysystem.h"

// Keeps each stream at the software version that began it.

namespace citronpick::relay
{

namespace
{

//! A caller that states a longer wait is not taken for the others of its route.
constexpr model::Duration longestPatience = model::seconds(60);

} // namespace

bool RelaySystem::isTakeUp(const Exchange &exchange)
{
    return exchange.route->kind == RequestKind::ResumableStream
           && !exchange.arrived.lastEvent.empty();
}

const model::CallerRequestId &RelaySystem::originOf(const Exchange &exchange)
{
    const bool hasOrigin
        = !exchange.arrived.lastEvent.empty() && !exchange.arrived.resumes.isEmpty();
    return hasOrigin ? exchange.arrived.resumes : exchange.arrived.callerId;
}

const VersionHistory &RelaySystem::versionsOf(const model::PoolId &pool)
{
    return m_versions[pool];
}

void RelaySystem::updateVersions(model::TimePoint now)
{
    if (!std::exchange(m_hasNewListings, false)) {
        return;
    }
    for (const auto &[pool, counts] : m_directory.versionCounts()) {
        m_versions[pool].set(counts, now);
    }
}

void RelaySystem::onPastListings(const std::vector<PastListing> &past, model::WallTime wallNow,
                                 model::TimePoint now)
{
    updateVersions(now);
    std::vector<UpstreamListing> listed;
    for (const model::UpstreamId &id : m_directory.ids()) {
        listed.push_back(m_directory.find(id)->listing);
    }
    for (const auto &[pool, epochs] : pastVersions(past, listed, wallNow, now)) {
        m_versions[pool].setPast(epochs);
    }
}

void RelaySystem::notePatience(const Exchange &exchange)
{
    if (exchange.arrived.timeLeft) {
        model::Duration &longest = m_callerPatience[exchange.route->id];
        longest = std::max(longest, std::min(*exchange.arrived.timeLeft, longestPatience));
    }
}

// Callers of a route wait for about the same time, and a caller that takes up a stream tells how
// much of that is left.
model::TimePoint RelaySystem::earliestStartOf(const Exchange &exchange, model::TimePoint now) const
{
    const auto patience = m_callerPatience.find(exchange.route->id);
    const model::Duration longest
        = std::max(exchange.route->timeout,
                   patience == m_callerPatience.end() ? model::Duration::zero() : patience->second);
    const model::Duration left = exchange.arrived.timeLeft.value_or(model::Duration::zero());
    return now - std::max(model::Duration::zero(), longest - left);
}

// The stream may have begun at another daemon, which need not live any more. What that one placed
// by the attempt's id is found again from the counts that were in force then.
std::optional<Refusal> RelaySystem::bindTakeUp(Exchange &exchange, model::TimePoint now)
{
    const model::CallerRequestId &origin = exchange.arrived.resumes;
    exchange.version = m_origins.find(origin);
    if (!exchange.version) {
        const std::set<model::SoftwareVersion> versions
            = versionsOf(exchange.pool).versionsOf(origin, earliestStartOf(exchange, now), now);
        if (versions.size() > 1) {
            return Refusal::OriginUnknown;
        }
        if (versions.empty() || versions.begin()->isEmpty()) {
            return std::nullopt; // The pool's upstreams name no versions.
        }
        exchange.version = *versions.begin();
    }
    if (!m_directory.hasVersion(exchange.pool, *exchange.version)) {
        return Refusal::VersionGone;
    }
    return std::nullopt;
}

void RelaySystem::bindVersion(Exchange &exchange, const Attempt &attempt, model::TimePoint now)
{
    if (exchange.version || exchange.route->kind != RequestKind::ResumableStream) {
        return;
    }
    const VersionCounts &counts = versionsOf(exchange.pool).current();
    const bool hasVersions = !counts.empty() && !counts.rbegin()->first.isEmpty();
    if (attempt.version.isEmpty() && !hasVersions) {
        return;
    }
    exchange.version = attempt.version;
    m_origins.add(originOf(exchange), attempt.version, now);
}

Refusal RelaySystem::refusalWithoutUpstream(const Exchange &exchange) const
{
    if (exchange.version && !m_directory.hasVersion(exchange.pool, *exchange.version)) {
        return Refusal::VersionGone;
    }
    return exchange.sentAttempts > 0 ? Refusal::UpstreamsFull : Refusal::NoUpstream;
}

} // namespace citronpick::relay
