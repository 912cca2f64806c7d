#include <algorithm>

#include "relay/upstreamdirectory.h"

// The part of UpstreamDirectory that handles cold and limited upstreams and zones that are emptied.

namespace citronpick::relay
{

namespace
{

//! An upstream that crashed is usually back, and cold, within this time.
constexpr model::Duration assumedRestartTime = model::seconds(2);
//! One daemon schedules all batches of a pool. Two of them, while the daemons' lists of members
//! differ, together send one and a half times the rate.
constexpr double schedulerRateShare = 0.75;

} // namespace

void UpstreamDirectory::setConfiguration(RelayConfigurationPtr configuration)
{
    m_configuration = configuration;
    m_coldStarts.setConfiguration(std::move(configuration));
    m_hasNewRules = true;
}

void UpstreamDirectory::setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now)
{
    m_ranking.setDaemons(std::move(daemons), now);
    run(now);
}

void UpstreamDirectory::run(model::TimePoint now)
{
    const bool hasNewRanks = m_ranking.update(now);
    if (!std::exchange(m_hasNewRules, false) && !hasNewRanks) {
        return;
    }
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->isCold(now)) {
            applyColdTurn(*upstream);
        }
        if (upstream->limit) {
            applyLimitShare(*upstream);
        }
    }
}

std::optional<model::TimePoint> UpstreamDirectory::nextRun() const
{
    return m_ranking.nextUpdate();
}

void UpstreamDirectory::noteCold(const model::UpstreamId &id, model::TimePoint until)
{
    Upstream *upstream = find(id);
    if (!upstream || !m_coldStarts.ruleOf(upstream->listing.pool)) {
        return;
    }
    upstream->coldUntil = std::max(upstream->coldUntil, until);
    applyColdTurn(*upstream);
}

// The upstream may have crashed. The registry shows its next start, which is cold, only seconds
// after that.
void UpstreamDirectory::noteConnectionLost(const model::UpstreamId &id, model::TimePoint now)
{
    const Upstream *upstream = find(id);
    const ColdStartRule *rule = upstream ? m_coldStarts.ruleOf(upstream->listing.pool) : nullptr;
    if (!rule) {
        return;
    }
    if (!upstream->isCold(now)) {
        m_suspects.push_back(id);
    }
    noteCold(id, now + assumedRestartTime + rule->duration);
}

void UpstreamDirectory::applyColdTurn(Upstream &upstream) const
{
    const std::optional<model::Duration> interval
        = m_coldStarts.intervalOf(upstream.listing.id, upstream.listing.pool, m_ranking);
    if (!interval) {
        upstream.coldTurnAt = model::TimePoint::max();
        return;
    }
    upstream.coldInterval = *interval;
    upstream.coldTurnAt = upstream.lastStartedAt + *interval;
}

bool UpstreamDirectory::setLimit(const model::UpstreamId &id, const RateLimit &limit)
{
    Upstream *upstream = find(id);
    if (!upstream) {
        return false;
    }
    const bool isNew
        = !upstream->limit || upstream->limit->requestsPerSecond != limit.requestsPerSecond;
    upstream->limit = limit;
    if (isNew) {
        upstream->limitShare = {};
    }
    applyLimitShare(*upstream);
    return isNew;
}

bool UpstreamDirectory::endLimit(const model::UpstreamId &id)
{
    Upstream *upstream = find(id);
    if (!upstream || !upstream->limit) {
        return false;
    }
    upstream->limit.reset();
    return true;
}

void UpstreamDirectory::applyLimitShare(Upstream &upstream) const
{
    const PoolRule *rule
        = m_configuration ? m_configuration->findPool(upstream.listing.pool) : nullptr;
    const double rate = upstream.limit->requestsPerSecond;
    const RateShare share
        = rule && rule->batch
              ? rateShareOf(rate * schedulerRateShare, 0, 1)
              : rateShareOf(rate, m_ranking.rankOf(upstream.listing.id), m_ranking.daemonCount());
    if (!share.isSender) {
        upstream.limitTurnAt
            = std::max(upstream.limit->statedAt, upstream.lastStartedAt) + share.interval;
    } else if (share != upstream.limitShare) {
        upstream.limitTurnAt = upstream.lastStartedAt + share.interval;
    }
    upstream.limitShare = share;
}

model::TimePoint Upstream::opensToFleetAt(model::TimePoint now) const
{
    if (!limit || isClosed()) {
        return opensAt(now);
    }
    const model::TimePoint nextOfFleet = now + fleetInterval(limit->requestsPerSecond);
    return std::max(restUntil, std::min(std::max(now, limitTurnAt), nextOfFleet));
}

size_t UpstreamDirectory::limitedCount() const
{
    return static_cast<size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [](const auto &entry) { return entry.second->limit.has_value(); }));
}

// The upstreams of a zone that is taken back have had no work and may have become cold meanwhile.
// The registry may show that later than the end of the order.
bool UpstreamDirectory::setEvacuated(const model::ZoneId &zone, bool isEvacuated,
                                     model::TimePoint now)
{
    const bool isNew
        = isEvacuated ? m_evacuatedZones.insert(zone).second : m_evacuatedZones.erase(zone) > 0;
    if (!isNew) {
        return false;
    }
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->listing.zone != zone) {
            continue;
        }
        upstream->isEvacuated = isEvacuated;
        const ColdStartRule *rule = m_coldStarts.ruleOf(upstream->listing.pool);
        if (!isEvacuated && rule) {
            noteCold(id, now + rule->duration);
        }
    }
    return true;
}

std::vector<model::UpstreamId> UpstreamDirectory::inZone(const model::ZoneId &zone) const
{
    std::vector<model::UpstreamId> result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->listing.zone == zone) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

size_t UpstreamDirectory::coldCount(model::TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [now](const auto &entry) { return entry.second->isCold(now); }));
}

size_t UpstreamDirectory::evacuatedCount() const
{
    return static_cast<size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [](const auto &entry) { return entry.second->isEvacuated; }));
}

} // namespace citronpick::relay
