#include "fleet/fleetsystem.h"

#include <algorithm>

namespace citronpick::fleet
{

namespace
{

//! Interval between checks for expired members and facts; a tick is much shorter.
constexpr model::Duration expiryInterval = model::milliseconds(100);

} // namespace

void FleetSystem::run(model::TimePoint now)
{
    if (m_lastRun != model::TimePoint::min()) {
        const double elapsed = model::toSeconds(now - m_lastRun);
        m_byteTokens
            = std::min(m_options.burstBytes, m_byteTokens + elapsed * m_options.bytesPerSecond);
        m_urgentTokens = std::min(m_options.urgentExchangesPerSecond,
                                  m_urgentTokens + elapsed * m_options.urgentExchangesPerSecond);
    }
    m_lastRun = now;
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        expireExchanges(now);
        expireSuspects(now);
    }
    if (now >= m_nextPeriod) {
        // Random jitter keeps daemons that started at the same time from exchanging in lockstep.
        m_nextPeriod = now + model::scaled(m_options.period, 0.9 + 0.2 * m_random.uniformDouble());
        ++m_periods;
        refreshOwnFacts(now);
        const Member *peer = nextPeer();
        if (peer) {
            startExchange(*peer, 0, true, now);
        }
        constexpr uint32_t seedPeriods = 10;
        if (!peer || m_periods % seedPeriods == 0) {
            contactSeeds(now);
        }
    }
    if (m_hasUrgentUpdates) {
        sendUrgentUpdates(now);
    }
}

void FleetSystem::startExchange(const Member &peer, uint64_t probeRequest, bool isPeriodic,
                                model::TimePoint now)
{
    FleetMessage outgoing = message(MessageKind::Exchange);
    addDeltas(outgoing, isPeriodic);
    const uint64_t number = ++m_lastExchange;
    m_open.emplace(number,
                   OpenExchange {.peer = peer.id, .startedAt = now, .probeRequest = probeRequest});
    m_commands.emplace_back(SendExchange {.exchange = number,
                                          .to = peer.fleet,
                                          .timeout = m_options.exchangeTimeout,
                                          .message = std::move(outgoing)});
}

// Seeds are contacted periodically, as the parts of a healed network partition find each other
// again through them.
void FleetSystem::contactSeeds(model::TimePoint now)
{
    std::vector<config::Endpoint> unknown;
    const auto addUnknown = [&](const config::Endpoint &endpoint) {
        const bool isKnown
            = std::any_of(m_members.rows().begin(), m_members.rows().end(), [&](const auto &entry) {
                  return entry.second.member.fleet == endpoint && entry.second.member.isReachable();
              });
        if (!isKnown && endpoint != m_self.fleet) {
            unknown.push_back(endpoint);
        }
    };
    for (const config::Endpoint &seed : m_options.seeds) {
        addUnknown(seed);
    }
    for (const auto &[id, daemon] : m_listed) {
        addUnknown(daemon.fleet);
    }
    constexpr size_t seedsAtOnce = 2;
    for (size_t i = 0; i < seedsAtOnce && !unknown.empty(); ++i) {
        const size_t pick = m_random.below(static_cast<uint32_t>(unknown.size()));
        FleetMessage outgoing = message(MessageKind::Exchange);
        outgoing.requestsFullState = true;
        const uint64_t number = ++m_lastExchange;
        m_open.emplace(number, OpenExchange {.peer = {}, .startedAt = now});
        m_commands.emplace_back(SendExchange {.exchange = number,
                                              .to = unknown[pick],
                                              .timeout = m_options.exchangeTimeout,
                                              .message = std::move(outgoing)});
        unknown.erase(unknown.begin() + static_cast<ptrdiff_t>(pick));
    }
}

void FleetSystem::startIndirectProbes(const model::DaemonId &suspected, model::TimePoint now)
{
    const MemberTable::Row *row = m_members.find(suspected);
    if (!row || !row->member.isReachable()) {
        return;
    }
    const std::vector<Member> probers = randomPeers(m_options.indirectProbeFanout, suspected);
    if (probers.empty()) {
        suspect(suspected, now);
        return;
    }
    for (const Member &prober : probers) {
        FleetMessage outgoing = message(MessageKind::IndirectProbe);
        outgoing.target = suspected;
        outgoing.targetEndpoint = row->member.fleet;
        const uint64_t number = ++m_lastExchange;
        m_open.emplace(number,
                       OpenExchange {.peer = suspected, .startedAt = now, .isIndirect = true});
        m_commands.emplace_back(SendExchange {.exchange = number,
                                              .to = prober.fleet,
                                              .timeout = m_options.indirectProbeTimeout,
                                              .message = std::move(outgoing)});
    }
}

void FleetSystem::sendUrgentUpdates(model::TimePoint now)
{
    if (m_urgentTokens < 1.0) {
        return;
    }
    m_hasUrgentUpdates = false;
    // In a small fleet an update is sent to every peer; in a large one the receivers forward it.
    const size_t fanout = isSmallFleet() ? m_options.directFanout : m_options.urgentFanout;
    for (const Member &peer : randomPeers(fanout, m_self.id)) {
        if (m_urgentTokens < 1.0) {
            return;
        }
        m_urgentTokens -= 1.0;
        // Urgent sends may all reach the same few peers, so they do not reduce the number of
        // periodic sends.
        startExchange(peer, 0, false, now);
    }
}

const Member *FleetSystem::nextPeer()
{
    const bool isCrossZone = m_periods % m_options.exchangesPerCrossZone == 0;
    for (const bool ownZone : {!isCrossZone, isCrossZone}) {
        std::vector<model::DaemonId> &queue = ownZone ? m_ownZoneQueue : m_otherZoneQueue;
        if (queue.empty()) {
            for (const Member &member : peersInZone(ownZone)) {
                queue.push_back(member.id);
            }
            for (size_t i = queue.size(); i > 1; --i) {
                std::swap(queue[i - 1], queue[m_random.below(static_cast<uint32_t>(i))]);
            }
        }
        // Shuffled round robin contacts every member within a bounded time.
        while (!queue.empty()) {
            const model::DaemonId id = queue.back();
            queue.pop_back();
            const MemberTable::Row *row = m_members.find(id);
            if (row && row->member.isReachable()) {
                return &row->member;
            }
        }
    }
    return nullptr;
}

std::vector<Member> FleetSystem::peersInZone(bool isOwnZone) const
{
    std::vector<Member> peers;
    for (const auto &[id, row] : m_members.rows()) {
        const bool isMatch = (row.member.zone == m_self.zone) == isOwnZone;
        if (id != m_self.id && row.member.isReachable() && isMatch) {
            peers.push_back(row.member);
        }
    }
    return peers;
}

std::vector<Member> FleetSystem::randomPeers(size_t count, const model::DaemonId &excluded)
{
    std::vector<const Member *> candidates;
    for (const auto &[id, row] : m_members.rows()) {
        if (id != m_self.id && id != excluded && row.member.isUsable()) {
            candidates.push_back(&row.member);
        }
    }
    std::vector<Member> picked;
    while (picked.size() < count && !candidates.empty()) {
        const size_t pick = m_random.below(static_cast<uint32_t>(candidates.size()));
        picked.push_back(*candidates[pick]);
        candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(pick));
    }
    return picked;
}

void FleetSystem::suspect(const model::DaemonId &daemon, model::TimePoint now)
{
    const MemberTable::Row *row = m_members.find(daemon);
    const bool canBecomeSuspect = row && row->member.state <= MemberState::Alive;
    if (!canBecomeSuspect) {
        // A leaving member that no longer answers has stopped.
        if (row && row->member.state == MemberState::Leaving) {
            Member stopped = row->member;
            stopped.state = MemberState::Dead;
            applyMember(stopped, now);
        }
        return;
    }
    Member suspected = row->member;
    suspected.state = MemberState::Suspect;
    applyMember(suspected, now);
}

// The I/O layer reports failed exchanges; this covers exchanges whose outcome it never reports.
void FleetSystem::expireExchanges(model::TimePoint now)
{
    std::vector<uint64_t> overdue;
    for (const auto &[number, open] : m_open) {
        const model::Duration timeout
            = open.isIndirect ? m_options.indirectProbeTimeout : m_options.exchangeTimeout;
        if (now - open.startedAt > timeout * 2) {
            overdue.push_back(number);
        }
    }
    for (const uint64_t number : overdue) {
        onExchangeFailed(number, now);
    }
}

void FleetSystem::expireSuspects(model::TimePoint now)
{
    std::vector<Member> dead;
    for (const auto &[id, row] : m_members.rows()) {
        const bool isExpired = now - row.since > m_options.suspicionTimeout;
        if (row.member.state == MemberState::Suspect && isExpired) {
            dead.push_back(row.member);
        }
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        applyMember(member, now);
    }
    m_members.forgetDead(now - m_options.deadRetention);
    m_facts.forgetExpired(now, [this](const Fact &fact) {
        // The demand of an unreachable daemon that the platform still lists is kept: the daemon may
        // only be partitioned from this one and still admit requests against the same limit.
        const bool isDemand = std::holds_alternative<DemandFact>(fact.body);
        const bool isOwn = fact.origin == m_self.id;
        const bool isPartitioned = !isUsable(fact.origin) && isListedLive(fact.origin);
        return (isOwn && m_ownFacts.contains(keyOf(fact))) || (isDemand && isPartitioned);
    });
}

void FleetSystem::refreshOwnFacts(model::TimePoint now)
{
    std::vector<FactBody> due;
    for (const auto &[key, publishedAt] : m_ownFacts) {
        const auto row = m_facts.rows().find(key);
        if (row != m_facts.rows().end() && now - publishedAt >= lifetimeOf(row->second.fact) / 3) {
            due.push_back(row->second.fact.body);
        }
    }
    for (const FactBody &body : due) {
        publish(body, now);
    }
}

} // namespace citronpick::fleet
