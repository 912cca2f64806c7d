#include <algorithm>

#include "relay/upstreamdirectory.h"

// The part of UpstreamDirectory that handles cold upstreams and zones that are emptied.

namespace citronpick::relay
{

namespace
{

//! An upstream that crashed is usually back, and cold, within this time.
constexpr model::Duration assumedRestartTime = model::seconds(2);

} // namespace

void UpstreamDirectory::setConfiguration(RelayConfigurationPtr configuration)
{
    m_coldStarts.setConfiguration(std::move(configuration));
}

void UpstreamDirectory::setDaemons(std::vector<model::DaemonId> daemons, model::TimePoint now)
{
    m_coldStarts.setDaemons(std::move(daemons), now);
    run(now);
}

void UpstreamDirectory::run(model::TimePoint now)
{
    if (!m_coldStarts.update(now)) {
        return;
    }
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->isCold(now)) {
            applyColdTurn(*upstream);
        }
    }
}

std::optional<model::TimePoint> UpstreamDirectory::nextRun() const
{
    return m_coldStarts.nextUpdate();
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
        = m_coldStarts.intervalOf(upstream.listing.id, upstream.listing.pool);
    if (!interval) {
        upstream.coldTurnAt = model::TimePoint::max();
        return;
    }
    upstream.coldInterval = *interval;
    upstream.coldTurnAt = upstream.lastStartedAt + *interval;
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
