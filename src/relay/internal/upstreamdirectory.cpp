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
    return isLeaving && !listing.isLeaving && m_leaving.contains(listing.id, listing.incarnation);
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
        m_leaving.add(listing.id, {.last = listing.incarnation, .recent = {}});
    }
    const bool hasSaidLeaving = m_leaving.contains(listing.id, listing.incarnation);
    if (!known) {
        auto upstream = std::make_unique<Upstream>();
        upstream->listing = listing;
        upstream->hasSaidLeaving = hasSaidLeaving;
        insertIntoPool(*upstream);
        m_upstreams.emplace(listing.id, std::move(upstream));
        return ListingChange::Added;
    }
    const UpstreamListing before = known->listing;
    eraseFromPool(*known);
    known->listing = listing;
    known->hasSaidLeaving = hasSaidLeaving;
    insertIntoPool(*known);
    if (before.incarnation != listing.incarnation || before.address != listing.address) {
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
    const bool isNew = m_leaving.add(id, starts);
    if (Upstream *upstream = find(id)) {
        upstream->hasSaidLeaving = m_leaving.contains(id, upstream->listing.incarnation);
    }
    m_leaving.limit([this](const model::UpstreamId &each) { return find(each) != nullptr; });
    return isNew;
}

bool UpstreamDirectory::hasStaying(const model::PoolId &pool) const
{
    const std::vector<Upstream *> &upstreams = inPool(pool);
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [](const Upstream *upstream) { return !upstream->isLeaving(); });
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

void UpstreamDirectory::noteSuccess(const model::UpstreamId &id)
{
    if (Upstream *upstream = find(id)) {
        upstream->consecutiveFailures = 0;
        upstream->isOnTrial = false;
        upstream->avoidedUntil = {};
    }
}

bool UpstreamDirectory::isUsable(const Upstream &upstream, model::TimePoint now)
{
    if (upstream.isLeaving() || now < upstream.avoidedUntil) {
        return false;
    }
    return !upstream.isOnTrial || upstream.inFlight == 0;
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
