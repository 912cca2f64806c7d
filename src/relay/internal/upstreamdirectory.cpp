#include "relay/upstreamdirectory.h"

#include <algorithm>

namespace citronpick::relay
{

namespace
{

//! A single failure may be caused by the request or the connection; two consecutive ones are
//! attributed to the upstream.
constexpr uint32_t failuresToAvoid = 2;
//! Base of the backoff after repeated failures; doubles with each further failure.
constexpr model::Duration baseAvoidance = model::milliseconds(500);
//! An upstream that restarts is available again after some seconds and should be used soon after.
constexpr model::Duration maxAvoidance = model::seconds(4);
constexpr uint32_t maxDoublings = 3;

} // namespace

// An upstream that has begun to leave takes new requests only after a restart, so a listing of the
// same or an earlier start that says otherwise was written late, by another writer, or by an
// upstream that states its leaving only in its answers.
bool UpstreamDirectory::isOutdated(const Upstream *known, const UpstreamListing &listing) const
{
    const bool isLeaving = !known || known->listing.isLeaving;
    return isLeaving && !listing.isLeaving && m_notices.isLeaving(listing.id, listing.incarnation);
}

ListingChange UpstreamDirectory::apply(const UpstreamListing &listing)
{
    Upstream *known = find(listing.id);
    if (known && known->listing == listing) {
        return ListingChange::None;
    }
    if (isOutdated(known, listing)) {
        return ListingChange::Outdated;
    }
    if (listing.isLeaving && listing.incarnation != 0) {
        m_notices.addLeaving(listing.id, {.last = listing.incarnation, .recent = {}});
        m_notices.setAddress(listing.id, listing.address);
    }
    const bool hasSaidLeaving = m_notices.isLeaving(listing.id, listing.incarnation);
    if (!known) {
        auto upstream = std::make_unique<Upstream>();
        upstream->listing = listing;
        upstream->hasSaidLeaving = hasSaidLeaving;
        upstream->isEvacuated = m_evacuatedZones.contains(listing.zone);
        applyRest(*upstream);
        insertIntoPool(*upstream);
        m_upstreams.emplace(listing.id, std::move(upstream));
        return ListingChange::Added;
    }
    const UpstreamListing before = known->listing;
    eraseFromPool(*known);
    known->listing = listing;
    known->hasSaidLeaving = hasSaidLeaving;
    known->isEvacuated = m_evacuatedZones.contains(listing.zone);
    applyRest(*known);
    insertIntoPool(*known);
    if (before.incarnation != listing.incarnation || before.address != listing.address) {
        known->coldUntil = {};
        known->limit.reset();
        known->publishedRate = {};
        known->consecutiveFailures = 0;
        known->avoidedUntil = {};
        known->isOnTrial = false;
        return ListingChange::Restarted;
    }
    return !before.isLeaving && listing.isLeaving ? ListingChange::BeganLeaving
                                                  : ListingChange::Updated;
}

bool UpstreamDirectory::noteLeaving(const model::UpstreamId &id, const UpstreamStarts &starts)
{
    const bool isNew = m_notices.addLeaving(id, starts);
    if (Upstream *upstream = find(id)) {
        upstream->hasSaidLeaving = m_notices.isLeaving(id, upstream->listing.incarnation);
    }
    m_notices.limit([this](const model::UpstreamId &each) { return find(each) != nullptr; });
    return isNew;
}

void UpstreamDirectory::noteRest(const model::UpstreamId &id, const UpstreamStarts &starts,
                                 model::TimePoint until)
{
    m_notices.addRest(id, starts, until);
    if (Upstream *upstream = find(id)) {
        applyRest(*upstream);
    }
    m_notices.limit([this](const model::UpstreamId &each) { return find(each) != nullptr; });
}

void UpstreamDirectory::noteAddress(const model::UpstreamId &id, const config::Endpoint &address)
{
    m_notices.setAddress(id, address);
}

// Releases would come on top of the requests that a cold upstream gets.
bool UpstreamDirectory::takesCalls(const config::Endpoint &address, model::TimePoint now) const
{
    const Upstream *upstream = findByAddress(address);
    return upstream ? upstream->takesReleasesFrom(now) <= now : !m_notices.isClosed(address, now);
}

void UpstreamDirectory::applyRest(Upstream &upstream) const
{
    const model::TimePoint until
        = m_notices.restUntil(upstream.listing.id, upstream.listing.incarnation);
    if (until == upstream.restUntil) {
        return;
    }
    upstream.restUntil = until;
    upstream.isReturning = until != model::TimePoint();
    upstream.inFlightSinceRest = 0;
}

model::TimePoint UpstreamDirectory::availableFrom(const model::PoolId &pool,
                                                  model::TimePoint now) const
{
    model::TimePoint earliest = model::TimePoint::max();
    for (const Upstream *upstream : inPool(pool)) {
        earliest = std::min(earliest, upstream->opensAt(now));
    }
    return earliest;
}

model::TimePoint UpstreamDirectory::availableToFleetFrom(const model::PoolId &pool,
                                                         model::TimePoint now) const
{
    model::TimePoint earliest = model::TimePoint::max();
    for (const Upstream *upstream : inPool(pool)) {
        earliest = std::min(earliest, upstream->opensToFleetAt(now));
    }
    return earliest;
}

model::TimePoint UpstreamDirectory::nextReturn(const model::PoolId &pool,
                                               model::TimePoint now) const
{
    model::TimePoint next = model::TimePoint::max();
    for (const Upstream *upstream : inPool(pool)) {
        if (const model::TimePoint opensAt = upstream->opensAt(now); opensAt > now) {
            next = std::min(next, opensAt);
        }
    }
    return next;
}

size_t UpstreamDirectory::restingCount(model::TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [now](const auto &entry) { return now < entry.second->restUntil; }));
}

void UpstreamDirectory::noteStarted(Upstream &upstream, model::TimePoint now)
{
    ++upstream.inFlight;
    upstream.lastStartedAt = now;
    if (upstream.isReturning && now >= upstream.restUntil) {
        ++upstream.inFlightSinceRest;
    }
    if (upstream.isCold(now)) {
        upstream.coldTurnAt = now + upstream.coldInterval;
    }
    if (upstream.limit) {
        upstream.limitTurnAt
            = upstream.limitShare.isSender
                  ? nextTurn(upstream.limitTurnAt, upstream.limitShare.interval, now)
                  : now + upstream.limitShare.interval;
    }
}

void UpstreamDirectory::noteEnded(const model::UpstreamId &id, model::TimePoint startedAt)
{
    Upstream *upstream = find(id);
    if (!upstream) {
        return;
    }
    upstream->inFlight -= std::min(upstream->inFlight, 1U);
    if (startedAt >= upstream->restUntil) {
        upstream->inFlightSinceRest -= std::min(upstream->inFlightSinceRest, 1U);
    }
}

bool UpstreamDirectory::remove(const model::UpstreamId &id)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return false;
    }
    eraseFromPool(*it->second);
    m_upstreams.erase(it);
    return true;
}

Upstream *UpstreamDirectory::find(const model::UpstreamId &id)
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

const Upstream *UpstreamDirectory::find(const model::UpstreamId &id) const
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

const Upstream *UpstreamDirectory::findByAddress(const config::Endpoint &address) const
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto &entry) {
        return entry.second->listing.address == address;
    });
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

const std::vector<Upstream *> &UpstreamDirectory::inPool(const model::PoolId &pool) const
{
    static const std::vector<Upstream *> none;
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? none : it->second;
}

std::vector<model::UpstreamId> UpstreamDirectory::ids() const
{
    std::vector<model::UpstreamId> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

// Only what the registry says counts, so that all daemons find the same.
std::map<model::PoolId, VersionCounts> UpstreamDirectory::versionCounts() const
{
    std::map<model::PoolId, VersionCounts> pools;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!upstream->listing.isLeaving && !upstream->isEvacuated) {
            ++pools[upstream->listing.pool][upstream->listing.version];
        }
    }
    for (auto &[pool, counts] : pools) {
        if (counts.size() > 1) {
            counts.erase(model::SoftwareVersion());
        }
    }
    return pools;
}

bool UpstreamDirectory::hasVersion(const model::PoolId &pool,
                                   const model::SoftwareVersion &version) const
{
    const std::vector<Upstream *> &upstreams = inPool(pool);
    return !version.isEmpty()
           && std::any_of(upstreams.begin(), upstreams.end(), [&](const Upstream *upstream) {
                  return !upstream->isClosed() && upstream->listing.version == version;
              });
}

void UpstreamDirectory::noteFailure(const model::UpstreamId &id, model::TimePoint now)
{
    Upstream *upstream = find(id);
    if (!upstream) {
        return;
    }
    ++upstream->consecutiveFailures;
    if (upstream->consecutiveFailures < failuresToAvoid && !upstream->isOnTrial) {
        return;
    }
    const uint32_t doublings = std::min(upstream->consecutiveFailures - 1, maxDoublings);
    upstream->avoidedUntil = now + std::min(maxAvoidance, baseAvoidance * (1U << doublings));
    upstream->isOnTrial = true;
}

void UpstreamDirectory::noteReplaced(const model::UpstreamId &id, model::TimePoint now)
{
    if (Upstream *upstream = find(id)) {
        upstream->avoidedUntil = now + maxAvoidance;
        upstream->isOnTrial = true;
    }
}

void UpstreamDirectory::noteSuccess(const model::UpstreamId &id, model::TimePoint startedAt)
{
    Upstream *upstream = find(id);
    if (!upstream) {
        return;
    }
    upstream->consecutiveFailures = 0;
    upstream->isOnTrial = false;
    upstream->avoidedUntil = {};
    upstream->isReturning = upstream->isReturning && startedAt < upstream->restUntil;
}

bool UpstreamDirectory::isUsable(const Upstream &upstream, model::TimePoint now)
{
    if (!isAvailable(upstream, now) || now < upstream.avoidedUntil) {
        return false;
    }
    const bool hasTrial = upstream.isReturning && upstream.inFlightSinceRest > 0;
    return !hasTrial && (!upstream.isOnTrial || upstream.inFlight == 0);
}

void UpstreamDirectory::insertIntoPool(Upstream &upstream)
{
    std::vector<Upstream *> &pool = m_pools[upstream.listing.pool];
    const auto at = std::lower_bound(pool.begin(), pool.end(), &upstream,
                                     [](const Upstream *left, const Upstream *right) {
                                         return left->listing.id < right->listing.id;
                                     });
    pool.insert(at, &upstream);
}

void UpstreamDirectory::eraseFromPool(const Upstream &upstream)
{
    std::erase(m_pools[upstream.listing.pool], &upstream);
}

} // namespace citronpick::relay
