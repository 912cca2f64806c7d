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

//! Telling what is new takes longer than this at the byte budget: a full exchange of hundreds of
//! members is spaced by about as much.
constexpr double behindSeconds = 8.0;
//! A message with more members than this is a full exchange. What it brings is known to whole
//! groups of daemons and comes to the others in the same way, so it is hardly told one by one.
constexpr size_t manyMembers = 50;
constexpr uint32_t sendsOfMany = 2;

} // namespace

FleetSystem::FleetSystem(FleetOptions options, Member self, uint64_t seed)
    : m_options(std::move(options))
    , m_self(std::move(self))
    , m_random(seed)
    , m_byteTokens(m_options.burstBytes)
    , m_urgentTokens(m_options.urgentPerSecond)
{
    m_members.apply(m_self, model::TimePoint());
}

void FleetSystem::setRevision(model::Revision revision, uint64_t digest)
{
    const bool isNew = revision != m_revision;
    m_revision = revision;
    m_digest = digest;
    m_hasUrgent = m_hasUrgent || isNew;
}

void FleetSystem::setListed(std::vector<ListedDaemon> listed)
{
    m_listed.clear();
    m_hasList = true;
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
    tellMember(m_self.id);
    m_hasUrgent = true;
}

void FleetSystem::announceReady(model::TimePoint now)
{
    if (m_self.state != MemberState::Joining) {
        return;
    }
    ++m_self.version;
    m_self.state = MemberState::Alive;
    m_members.apply(m_self, now);
    tellMember(m_self.id);
    m_hasUrgent = true;
}

void FleetSystem::publish(const FactBody &body, model::TimePoint now)
{
    const Fact fact {.origin = m_self.id,
                     .incarnation = m_self.incarnation,
                     .version = ++m_lastVersion,
                     .body = body};
    m_facts.apply(fact, now);
    const FactKey key = keyOf(fact);
    m_ownFacts[key] = now;
    tellFact(key);
    m_hasUrgent = m_hasUrgent || isUrgent(fact);
}

void FleetSystem::publishIfChanged(const DemandFact &demand, model::TimePoint now)
{
    constexpr double relevantChange = 0.2;
    const FactKey key = keyOf({.origin = m_self.id, .body = demand});
    const auto row = m_facts.rows().find(key);
    if (m_ownFacts.contains(key) && row != m_facts.rows().end()) {
        const double told = std::get<DemandFact>(row->second.fact.body).requestsPerSecond;
        if (std::abs(demand.requestsPerSecond - told) <= relevantChange * told) {
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
    absorb(message, now);
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
        // Whoever is held for dead here hears it in the first answer and can refute it.
        reply.members.push_back(sender->member);
    }
    const bool differs = message.tableDigest != tableDigest();
    if (message.wantsAll) {
        addEverything(reply);
    } else {
        addDeltas(reply, true);
        // Tables that differ although all deltas were passed on are compared as a whole; so are
        // those of which so much is new that telling it piece by piece would take longer.
        reply.wantsAll
            = differs && (m_pendingMembers.empty() || isFarBehind()) && now >= m_nextFullExchange;
        if (reply.wantsAll) {
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
    absorb(message, now);
    if (open.isIndirect) {
        if (!message.wasReached) {
            onHelperFailed(open.peer, now);
            return;
        }
        // Any helper that reached the peer clears it, so the others need not be waited for.
        std::erase_if(m_open, [&](const auto &entry) {
            return entry.second.isIndirect && entry.second.peer == open.peer;
        });
        return;
    }
    if (open.onBehalfOf != 0) {
        answerHelper(open.onBehalfOf, true);
    }
    if (message.wantsAll && open.onBehalfOf == 0) {
        FleetMessage all = this->message(MessageKind::Exchange);
        addEverything(all);
        all.wantsAll = true;
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
    if (open.onBehalfOf != 0) {
        answerHelper(open.onBehalfOf, false);
        return;
    }
    if (open.peer.isEmpty()) {
        return;
    }
    if (open.isIndirect) {
        onHelperFailed(open.peer, now);
        return;
    }
    startIndirect(open.peer, now);
}

void FleetSystem::onHelperFailed(const model::DaemonId &peer, model::TimePoint now)
{
    const bool isAnotherOut = std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        return entry.second.isIndirect && entry.second.peer == peer;
    });
    if (!isAnotherOut) {
        suspect(peer, now);
    }
}

void FleetSystem::answerHelper(uint64_t exchange, bool wasReached)
{
    FleetMessage reply = message(MessageKind::Reply);
    reply.wasReached = wasReached;
    m_commands.emplace_back(SendReply {.exchange = exchange, .message = std::move(reply)});
}

void FleetSystem::absorb(const FleetMessage &message, model::TimePoint now)
{
    applyMember(message.from, now);
    m_isAbsorbingMany = message.members.size() > manyMembers;
    for (const Member &member : message.members) {
        applyMember(member, now);
    }
    m_isAbsorbingMany = false;
    for (const Fact &fact : message.facts) {
        applyFact(fact, now);
    }
    noteRevision(message);
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
        noteKnown(member);
        return;
    }
    tellMember(member.id);
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
        m_hasUrgent = true;
        record(EventCode::MemberLeaving, member.id, detail);
        break;
    case MemberState::Dead:
        record(EventCode::MemberDead, member.id, detail);
        break;
    }
}

// What another daemon tells and is known here has got around without this one: it is told less
// often from here, so that the news of hundreds of members at once does not fill the byte budget
// for minutes (feedback as in Demers et al., "Epidemic algorithms for replicated database
// maintenance").
void FleetSystem::noteKnown(const Member &member)
{
    const MemberTable::Row *row = m_members.find(member.id);
    const auto pending = m_pendingMembers.find(member.id);
    if (!row || pending == m_pendingMembers.end() || row->member != member) {
        return;
    }
    if (--pending->second == 0) {
        m_pendingMembers.erase(pending);
    }
}

// A daemon that was paused or cut off hears that it is held for dead and says otherwise.
void FleetSystem::refute(const Member &claim, model::TimePoint now)
{
    const bool concernsThisRun = claim.incarnation == m_self.incarnation;
    const bool isHarmful = claim.state != m_self.state && claim.version >= m_self.version;
    if (!concernsThisRun || !isHarmful) {
        return;
    }
    m_self.version = claim.version + 1;
    m_members.apply(m_self, now);
    tellMember(m_self.id);
    m_hasUrgent = true;
}

void FleetSystem::applyFact(const Fact &fact, model::TimePoint now)
{
    // What an earlier run of this daemon told still holds; what this run told is known here.
    const bool isOwn = fact.origin == m_self.id && fact.incarnation == m_self.incarnation;
    if (isOwn || !m_facts.apply(fact, now)) {
        return;
    }
    tellFact(keyOf(fact));
    m_hasUrgent = m_hasUrgent || isUrgent(fact);
    if (const auto *strike = std::get_if<StrikeFact>(&fact.body)) {
        m_news.strikes.push_back(*strike);
    }
    if (const auto *leaving = std::get_if<LeavingFact>(&fact.body)) {
        m_news.leavings.push_back(*leaving);
    }
}

void FleetSystem::noteRevision(const FleetMessage &message)
{
    const bool isNewer = message.revision > m_revision;
    const bool isOther = message.revision == m_revision && message.digest > m_digest;
    if (isNewer || isOther) {
        m_news.newerConfigurations.push_back(
            {.from = message.from.fleet, .revision = message.revision, .digest = message.digest});
    }
}

std::vector<FleetCommand> FleetSystem::takeCommands()
{
    return std::exchange(m_commands, {});
}

FleetNews FleetSystem::takeNews()
{
    return std::exchange(m_news, {});
}

void FleetSystem::tellMember(const model::DaemonId &id)
{
    m_pendingMembers[id] = m_isAbsorbingMany ? sendsOfMany : sendsPerItem();
}

void FleetSystem::tellFact(const FactKey &key)
{
    m_pendingFacts[key] = sendsPerItem();
}

bool FleetSystem::isFarBehind() const
{
    double tellings = 0.0;
    for (const auto &[id, sends] : m_pendingMembers) {
        tellings += sends;
    }
    return tellings * memberBytes > m_options.bytesPerSecond * behindSeconds;
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
