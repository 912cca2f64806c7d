#include "fleet/fleetsystem.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"

namespace citronpick::fleet
{

using observability::EventCode;

namespace
{

//! A message with more members than this is a full exchange. Its members are already known to many
//! daemons and reach the others by full exchanges too, so few incremental sends suffice.
constexpr size_t fullExchangeThreshold = 50;
constexpr uint32_t fullExchangeSends = 2;

} // namespace

FleetSystem::FleetSystem(FleetOptions options, Member self, uint64_t seed)
    : m_options(std::move(options))
    , m_self(std::move(self))
    , m_random(seed)
    , m_byteTokens(m_options.burstBytes)
    , m_urgentTokens(m_options.urgentExchangesPerSecond)
{
    m_members.apply(m_self, model::TimePoint());
}

void FleetSystem::setRevision(model::Revision revision, uint64_t digest)
{
    const bool isNew = revision != m_revision;
    m_revision = revision;
    m_digest = digest;
    m_hasUrgentUpdates = m_hasUrgentUpdates || isNew;
}

void FleetSystem::setListed(std::vector<ListedDaemon> listed)
{
    m_listed.clear();
    for (ListedDaemon &daemon : listed) {
        const model::DaemonId id = daemon.id;
        m_listed.emplace(id, std::move(daemon));
    }
}

void FleetSystem::leave(model::TimePoint now)
{
    ++m_self.version;
    m_self.state = MemberState::Leaving;
    m_members.apply(m_self, now);
    queueMember(m_self.id);
    m_hasUrgentUpdates = true;
}

void FleetSystem::announceReady(model::TimePoint now)
{
    if (m_self.state != MemberState::Joining) {
        return;
    }
    ++m_self.version;
    m_self.state = MemberState::Alive;
    m_members.apply(m_self, now);
    queueMember(m_self.id);
    m_hasUrgentUpdates = true;
}

void FleetSystem::publish(const FactBody &body, model::TimePoint now)
{
    const Fact fact {.origin = m_self.id,
                     .incarnation = m_self.incarnation,
                     .version = ++m_lastVersion,
                     .body = body};
    m_facts.apply(fact, now);
    const FactKey key = keyOf(fact);
    if (isRefreshed(fact)) {
        m_ownFacts[key] = now;
    }
    queueFact(fact);
    m_hasUrgentUpdates = m_hasUrgentUpdates || isUrgent(fact);
}

void FleetSystem::publishIfChanged(const DemandFact &demand, model::TimePoint now)
{
    constexpr double relevantChange = 0.2;
    const FactKey key = keyOf({.origin = m_self.id, .body = demand});
    const auto row = m_facts.rows().find(key);
    if (m_ownFacts.contains(key) && row != m_facts.rows().end()) {
        const double published = std::get<DemandFact>(row->second.fact.body).requestsPerSecond;
        if (std::abs(demand.requestsPerSecond - published) <= relevantChange * published) {
            return;
        }
    }
    publish(demand, now);
}

void FleetSystem::withdraw(const FactBody &body)
{
    const FactKey key = keyOf({.origin = m_self.id, .body = body});
    m_ownFacts.erase(key);
}

bool FleetSystem::isUsable(const model::DaemonId &daemon) const
{
    const MemberTable::Row *row = m_members.find(daemon);
    return row && row->member.isUsable();
}

bool FleetSystem::isListedLive(const model::DaemonId &daemon) const
{
    const auto it = m_listed.find(daemon);
    return it != m_listed.end() && !it->second.isLeaving;
}

void FleetSystem::onRequest(uint64_t exchange, const FleetMessage &message, model::TimePoint now)
{
    applyMessage(message, now);
    if (message.kind == MessageKind::IndirectProbe) {
        const MemberTable::Row *row = m_members.find(message.target);
        Member target = row ? row->member : Member {.id = message.target};
        target.fleet = message.targetEndpoint;
        startExchange(target, exchange, true, now);
        return;
    }
    FleetMessage reply = this->message(MessageKind::Reply);
    const MemberTable::Row *sender = m_members.find(message.from.id);
    if (sender && sender->member != message.from) {
        // Informs a sender that is suspect or dead in this daemon's table, so that it can refute
        // it.
        reply.members.push_back(sender->member);
    }
    const bool differs = message.tableDigest != tableDigest();
    if (message.requestsFullState) {
        addFullState(reply);
    } else {
        addDeltas(reply, true);
        // A full exchange is requested if the tables differ although no incremental updates are
        // pending, or if the pending updates would take longer to send than a full exchange.
        reply.requestsFullState = differs && (m_pendingMembers.empty() || hasLargeBacklog())
                                  && now >= m_nextFullExchange;
        if (reply.requestsFullState) {
            const double seconds = fullExchangeBytes() / m_options.fullExchangeBytesPerSecond;
            m_nextFullExchange = now
                                 + std::max(m_options.fullExchangeInterval,
                                            model::scaled(model::seconds(1), seconds));
        }
    }
    m_commands.emplace_back(SendReply {.exchange = exchange, .message = std::move(reply)});
}

void FleetSystem::onReply(uint64_t exchange, const FleetMessage &message, model::TimePoint now)
{
    const auto it = m_open.find(exchange);
    if (it == m_open.end()) {
        return;
    }
    const OpenExchange open = it->second;
    m_open.erase(it);
    applyMessage(message, now);
    if (open.isIndirect) {
        if (!message.wasReached) {
            onIndirectProbeFailed(open.peer, now);
            return;
        }
        // One successful indirect probe clears the peer; the other probes of it are dropped.
        std::erase_if(m_open, [&](const auto &entry) {
            return entry.second.isIndirect && entry.second.peer == open.peer;
        });
        return;
    }
    if (open.probeRequest != 0) {
        replyToIndirectProbe(open.probeRequest, true);
    }
    if (message.requestsFullState && open.probeRequest == 0) {
        FleetMessage all = this->message(MessageKind::Exchange);
        addFullState(all);
        all.requestsFullState = true;
        const uint64_t number = ++m_lastExchange;
        m_open.emplace(number, OpenExchange {.peer = message.from.id, .startedAt = now});
        m_commands.emplace_back(SendExchange {.exchange = number,
                                              .to = message.from.fleet,
                                              .timeout = m_options.exchangeTimeout,
                                              .message = std::move(all)});
    }
}

void FleetSystem::onExchangeFailed(uint64_t exchange, model::TimePoint now)
{
    const auto it = m_open.find(exchange);
    if (it == m_open.end()) {
        return;
    }
    const OpenExchange open = it->second;
    m_open.erase(it);
    if (open.probeRequest != 0) {
        replyToIndirectProbe(open.probeRequest, false);
        return;
    }
    if (open.peer.isEmpty()) {
        return;
    }
    if (open.isIndirect) {
        onIndirectProbeFailed(open.peer, now);
        return;
    }
    startIndirectProbes(open.peer, now);
}

void FleetSystem::onIndirectProbeFailed(const model::DaemonId &peer, model::TimePoint now)
{
    const bool isProbePending = std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        return entry.second.isIndirect && entry.second.peer == peer;
    });
    if (!isProbePending) {
        suspect(peer, now);
    }
}

void FleetSystem::replyToIndirectProbe(uint64_t exchange, bool wasReached)
{
    FleetMessage reply = message(MessageKind::Reply);
    reply.wasReached = wasReached;
    m_commands.emplace_back(SendReply {.exchange = exchange, .message = std::move(reply)});
}

void FleetSystem::applyMessage(const FleetMessage &message, model::TimePoint now)
{
    applyMember(message.from, now);
    m_isApplyingFullExchange = message.members.size() > fullExchangeThreshold;
    for (const Member &member : message.members) {
        applyMember(member, now);
    }
    m_isApplyingFullExchange = false;
    for (const Fact &fact : message.facts) {
        applyFact(fact, now);
    }
    checkRevision(message);
}

void FleetSystem::applyMember(const Member &member, model::TimePoint now)
{
    if (member.id.isEmpty()) {
        return;
    }
    if (member.id == m_self.id) {
        refute(member, now);
        return;
    }
    const auto change = m_members.apply(member, now);
    if (!change) {
        reduceSends(member);
        return;
    }
    queueMember(member.id);
    const std::string detail = absl::StrCat("incarnation=", member.incarnation.value());
    switch (member.state) {
    case MemberState::Joining:
        break;
    case MemberState::Alive: {
        const bool wasDead = change->before == MemberState::Dead && !change->isNewIncarnation;
        if (wasDead) {
            record(EventCode::MemberReturned, member.id, detail);
        } else if (change->isNewIncarnation || change->before == MemberState::Joining) {
            record(EventCode::MemberJoined, member.id, detail);
        }
        break;
    }
    case MemberState::Suspect:
        record(EventCode::MemberSuspected, member.id, detail);
        break;
    case MemberState::Leaving:
        m_hasUrgentUpdates = true;
        record(EventCode::MemberLeaving, member.id, detail);
        break;
    case MemberState::Dead:
        record(EventCode::MemberDead, member.id, detail);
        break;
    }
}

// Another daemon sent an update that is already known here, so it spreads without this daemon's
// help: one of the remaining sends is dropped. Otherwise updates of hundreds of members at once
// would fill the byte budget for minutes (feedback as in Demers et al., "Epidemic algorithms for
// replicated database maintenance").
void FleetSystem::reduceSends(const Member &member)
{
    const MemberTable::Row *row = m_members.find(member.id);
    const auto pending = m_pendingMembers.find(member.id);
    if (!row || pending == m_pendingMembers.end() || row->member != member) {
        return;
    }
    if (--pending->second.remaining == 0) {
        m_pendingMembers.erase(pending);
    }
}

// Refutes a suspicion, for example after a pause or a network partition, by raising the version.
void FleetSystem::refute(const Member &claim, model::TimePoint now)
{
    const bool isCurrentIncarnation = claim.incarnation == m_self.incarnation;
    const bool needsRefutation = claim.state != m_self.state && claim.version >= m_self.version;
    if (!isCurrentIncarnation || !needsRefutation) {
        return;
    }
    m_self.version = claim.version + 1;
    m_members.apply(m_self, now);
    queueMember(m_self.id);
    m_hasUrgentUpdates = true;
}

void FleetSystem::applyFact(const Fact &fact, model::TimePoint now)
{
    // Facts of an earlier incarnation of this daemon are still valid; those of the current one are
    // already stored.
    const bool isOwn = fact.origin == m_self.id && fact.incarnation == m_self.incarnation;
    if (isOwn || !m_facts.apply(fact, now)) {
        return;
    }
    queueFact(fact);
    m_hasUrgentUpdates = m_hasUrgentUpdates || (isUrgent(fact) && !hasReachedAll(fact));
    if (const auto *crash = std::get_if<CrashFact>(&fact.body)) {
        m_updates.crashes.push_back({.body = *crash, .age = fact.age});
    }
    if (const auto *quarantined = std::get_if<QuarantinedPartFact>(&fact.body)) {
        m_updates.quarantinedParts.push_back({.body = *quarantined, .age = fact.age});
    }
    if (const auto *cleared = std::get_if<ClearedPartFact>(&fact.body)) {
        m_updates.clearedParts.push_back({.body = *cleared, .age = fact.age});
    }
    if (const auto *suspected = std::get_if<SuspectedPartFact>(&fact.body)) {
        m_updates.suspectedParts.push_back({.body = *suspected, .age = fact.age});
    }
    if (const auto *rate = std::get_if<UpstreamRateFact>(&fact.body)) {
        m_updates.upstreamRates.push_back({.body = *rate, .age = fact.age});
    }
    if (const auto *leaving = std::get_if<LeavingFact>(&fact.body)) {
        m_updates.leavingUpstreams.push_back(*leaving);
    }
}

void FleetSystem::checkRevision(const FleetMessage &message)
{
    const bool isNewer = message.revision > m_revision;
    const bool isConflicting = message.revision == m_revision && message.digest > m_digest;
    if (isNewer || isConflicting) {
        m_updates.newerConfigurations.push_back(
            {.from = message.from.fleet, .revision = message.revision, .digest = message.digest});
    }
}

std::vector<FleetCommand> FleetSystem::takeCommands()
{
    return std::exchange(m_commands, {});
}

FleetUpdates FleetSystem::takeUpdates()
{
    return std::exchange(m_updates, {});
}

void FleetSystem::queueMember(const model::DaemonId &id)
{
    m_pendingMembers[id]
        = {.remaining = m_isApplyingFullExchange ? fullExchangeSends : sendsPerItem()};
}

void FleetSystem::queueFact(const Fact &fact)
{
    (isVerdict(fact) ? m_pendingVerdicts : m_pendingFacts)[keyOf(fact)]
        = {.remaining = sendsPerItem(), .sent = hasReachedAll(fact) ? m_options.directFanout : 0};
}

uint32_t FleetSystem::sendsPerItem() const
{
    constexpr uint32_t safetyFactor = 3;
    return safetyFactor * static_cast<uint32_t>(std::bit_width(m_members.rows().size() + 1));
}

void FleetSystem::record(EventCode code, const model::DaemonId &subject, std::string detail)
{
    m_commands.emplace_back(observability::Event {
        .code = code, .request = {}, .subject = subject.text(), .detail = std::move(detail)});
}

} // namespace citronpick::fleet
