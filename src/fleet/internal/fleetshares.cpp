#include "fleet/fleetshares.h"

#include <algorithm>

#include "model/hash.h"

namespace citronpick::fleet
{

namespace
{

//! Minimum share of an account's limit for each daemon; without it a daemon could not show demand.
constexpr double minShare = 0.05;

//! Maximum number of daemons that send requests to a returning upstream; others adopt their state.
constexpr uint32_t maxParticipants = 32;

uint64_t rankHash(const model::DaemonId &daemon, const model::UpstreamId &upstream)
{
    return model::hash64(daemon.text(), model::hash64(upstream.text()));
}

} // namespace

FleetShares::FleetShares(const FleetSystem &fleet)
    : m_fleet(fleet)
{
}

void FleetShares::refresh()
{
    m_peerDemand.clear();
    m_returns.clear();
    for (const auto &[key, row] : m_fleet.facts().rows()) {
        if (key.origin == m_fleet.self().id) {
            continue;
        }
        const bool isUsable = m_fleet.isUsable(key.origin);
        if (const auto *demand = std::get_if<DemandFact>(&row.fact.body)) {
            const bool isCounted = isUsable || m_fleet.isListedLive(key.origin);
            if (isCounted) {
                m_peerDemand[demand->account] += demand->requestsPerSecond;
            }
        }
        const auto *returning = std::get_if<ReturnFact>(&row.fact.body);
        if (returning && isUsable) {
            m_returns[returning->upstream].push_back({.daemon = key.origin,
                                                      .state = {.state = returning->state,
                                                                .rampStep = returning->rampStep,
                                                                .relapses = returning->relapses}});
        }
    }
}

double FleetShares::share(const model::AccountId &account) const
{
    const auto peers = m_peerDemand.find(account);
    if (peers == m_peerDemand.end() || peers->second <= 0.0) {
        return 1.0;
    }
    const auto own = m_ownDemand.find(account);
    const double ownDemand = own == m_ownDemand.end() ? 0.0 : own->second;
    return std::max(minShare, ownDemand / (ownDemand + peers->second));
}

void FleetShares::setOwnDemand(const model::AccountId &account, double requestsPerSecond)
{
    m_ownDemand[account] = requestsPerSecond;
}

void FleetShares::clearOwnDemands()
{
    m_ownDemand.clear();
}

FleetShares::ReturnPosition FleetShares::returnPosition(const model::UpstreamId &upstream) const
{
    ReturnPosition position;
    const auto it = m_returns.find(upstream);
    if (it == m_returns.end()) {
        return position;
    }
    const uint64_t own = rankHash(m_fleet.self().id, upstream);
    for (const PeerReturnRow &peer : it->second) {
        if (health::isOutOfService(peer.state.state)) {
            ++position.participants;
            position.rank += rankHash(peer.daemon, upstream) < own ? 1 : 0;
        }
    }
    return position;
}

bool FleetShares::isReturnParticipant(const model::UpstreamId &upstream) const
{
    return returnPosition(upstream).rank < maxParticipants;
}

// The slots of a returning upstream are divided among the daemons that have it out of service, in a
// hash order that is the same on every daemon. The upstream thus sees a single ramp, whatever the
// number of daemons.
uint32_t FleetShares::slots(const model::UpstreamId &upstream, uint32_t total) const
{
    const ReturnPosition position = returnPosition(upstream);
    const auto daemons
        = std::max<uint32_t>(1, static_cast<uint32_t>(m_fleet.members().usableCount()));
    // Daemons that never ejected the upstream keep using their part of its capacity.
    const bool isPartial = position.participants < std::min(daemons, maxParticipants);
    const uint32_t available
        = isPartial ? std::max(1U, total * position.participants / daemons) : total;
    return available / position.participants
           + (position.rank < available % position.participants ? 1 : 0);
}

std::optional<health::PeerReturn> FleetShares::furthestPeer(const model::UpstreamId &upstream) const
{
    const auto it = m_returns.find(upstream);
    if (it == m_returns.end()) {
        return std::nullopt;
    }
    const auto progress = [](const health::PeerReturn &state) -> uint32_t {
        constexpr uint32_t returned = 1000;
        switch (state.state) {
        case health::HealthState::Active:
            return returned;
        case health::HealthState::Ramping:
            return 1 + state.rampStep;
        default:
            return 0;
        }
    };
    std::optional<health::PeerReturn> furthest;
    for (const PeerReturnRow &peer : it->second) {
        if (!furthest || progress(peer.state) > progress(*furthest)) {
            furthest = peer.state;
        }
    }
    return furthest;
}

bool FleetShares::isSuspectedByPeer(const model::UpstreamId &upstream) const
{
    const auto it = m_returns.find(upstream);
    return it != m_returns.end()
           && std::any_of(it->second.begin(), it->second.end(), [](const PeerReturnRow &peer) {
                  return peer.state.state != health::HealthState::Active;
              });
}

uint32_t FleetShares::peerRelapses(const model::UpstreamId &upstream) const
{
    const auto it = m_returns.find(upstream);
    uint32_t highest = 0;
    if (it == m_returns.end()) {
        return highest;
    }
    for (const PeerReturnRow &peer : it->second) {
        if (health::isOutOfService(peer.state.state)) {
            highest = std::max(highest, peer.state.relapses);
        }
    }
    return highest;
}

} // namespace citronpick::fleet
