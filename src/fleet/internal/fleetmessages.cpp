#include <algorithm>

#include "fleet/fleetsystem.h"

// The part of FleetSystem that builds messages within its traffic limits.

namespace citronpick::fleet
{

namespace
{

//! A backlog that takes longer than this to send within the byte budget is large. Full exchanges of
//! hundreds of members are about this far apart.
constexpr double largeBacklogSeconds = 8.0;
//! Estimated encoded size of one fact in a message.
constexpr double factBytes = 60.0;
//! Estimated encoded size of one prompt part, or one word of a sketch, of a crash report.
constexpr double partBytes = 21.0;
//! Estimated encoded size of a message without members and facts.
constexpr double messageBytes = 500.0;
//! Share of the burst that repeats of known facts leave to news.
constexpr double shareForNews = 0.5;
//! Maximum number of facts in one full exchange; the others follow in later exchanges.
constexpr size_t maxFactsAtOnce = 500;

//! Keys of pending updates in the order of \a rankOf, at most as many as one message may hold.
template<typename Pending, typename RankOf>
std::vector<typename Pending::key_type> lowestFirst(const Pending &pending, const RankOf &rankOf)
{
    using Key = typename Pending::key_type;
    constexpr size_t maxKeys = 300;
    std::vector<std::pair<int64_t, const Key *>> order;
    order.reserve(pending.size());
    for (const auto &[key, sends] : pending) {
        order.emplace_back(rankOf(sends), &key);
    }
    const size_t count = std::min(maxKeys, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<ptrdiff_t>(count), order.end(),
                      [](const auto &left, const auto &right) {
                          return left.first != right.first ? left.first < right.first
                                                           : *left.second < *right.second;
                      });
    std::vector<Key> keys;
    keys.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        keys.push_back(*order[i].second);
    }
    return keys;
}

template<typename Pending>
std::vector<typename Pending::key_type> leastSentFirst(const Pending &pending)
{
    return lowestFirst(pending, [](const auto &sends) { return int64_t {sends.sent}; });
}

// Urgent messages repeat the states of members, which full exchanges have spread in part.
template<typename Pending>
std::vector<typename Pending::key_type> mostRemainingFirst(const Pending &pending)
{
    return lowestFirst(pending, [](const auto &sends) { return -int64_t {sends.remaining}; });
}

template<typename Pending>
void countSend(Pending &pending, const typename Pending::key_type &key, bool isPeriodic)
{
    const auto it = pending.find(key);
    ++it->second.sent;
    if (isPeriodic && --it->second.remaining == 0) {
        pending.erase(it);
    }
}

} // namespace

FleetMessage FleetSystem::message(MessageKind kind)
{
    chargeBudget(messageBytes);
    FleetMessage result;
    result.kind = kind;
    result.from = m_self;
    result.revision = m_revision;
    result.digest = m_digest;
    result.tableDigest = tableDigest();
    return result;
}

// Adds the pending updates that were sent least often first; updates beyond the byte budget wait.
// Repeats in a small fleet, in which each member has got the fact, leave a part of it to news.
// The few verdicts do not wait for the budget, which the reports that led to them may have used up.
void FleetSystem::addDeltas(FleetMessage &message, bool isPeriodic)
{
    for (const FactKey &key : leastSentFirst(m_pendingVerdicts)) {
        addDelta(message, m_pendingVerdicts, key, isPeriodic);
    }
    for (const model::DaemonId &id : mostRemainingFirst(m_pendingMembers)) {
        if (m_byteTokens < memberBytes) {
            return;
        }
        if (const MemberTable::Row *row = m_members.find(id)) {
            message.members.push_back(row->member);
            chargeBudget(memberBytes);
        }
        countSend(m_pendingMembers, id, isPeriodic);
    }
    for (const FactKey &key : leastSentFirst(m_pendingFacts)) {
        const bool isRepeat
            = isSmallFleet() && m_pendingFacts.at(key).sent >= m_options.directFanout;
        const double reserved = isRepeat ? m_options.burstBytes * shareForNews : 0.0;
        if ((isRepeat && !isPeriodic) || m_byteTokens < reserved + factBytes) {
            return;
        }
        addDelta(message, m_pendingFacts, key, isPeriodic);
    }
}

void FleetSystem::addDelta(FleetMessage &message, PendingFacts &pending, const FactKey &key,
                           bool isPeriodic)
{
    const auto row = m_facts.rows().find(key);
    if (row != m_facts.rows().end()) {
        const auto *crash = std::get_if<CrashFact>(&row->second.fact.body);
        message.facts.push_back(agedFact(row->second));
        const size_t parts = crash ? crash->parts.size() + crash->partSketch.size() : 0;
        chargeBudget(factBytes + partBytes * static_cast<double>(parts));
    }
    countSend(pending, key, isPeriodic || row == m_facts.rows().end());
}

void FleetSystem::chargeBudget(double bytes)
{
    m_byteTokens -= bytes;
    m_sentBytes += static_cast<uint64_t>(bytes);
}

void FleetSystem::addFullState(FleetMessage &message)
{
    for (const auto &[id, row] : m_members.rows()) {
        message.members.push_back(row.member);
    }
    for (const auto &[key, row] : m_facts.rows()) {
        if (message.facts.size() >= maxFactsAtOnce) {
            break;
        }
        message.facts.push_back(agedFact(row));
    }
    // Full exchanges are not charged to the byte budget, as this would leave nothing for
    // incremental updates; the minimum time between two of them limits their traffic.
    m_sentBytes += static_cast<uint64_t>(fullExchangeBytes());
}

double FleetSystem::fullExchangeBytes() const
{
    return memberBytes * static_cast<double>(m_members.rows().size())
           + factBytes * static_cast<double>(std::min(maxFactsAtOnce, m_facts.rows().size()));
}

Fact FleetSystem::agedFact(const FactTable::Row &row) const
{
    Fact fact = row.fact;
    fact.age = m_lastRun - row.publishedAt;
    return fact;
}

uint64_t FleetSystem::tableDigest() const
{
    return m_members.digest() ^ m_facts.digest();
}

// Crash reports come in numbers. In a small fleet their origin sends them to every member, and
// what is lost on the way arrives with a periodic exchange.
bool FleetSystem::hasReachedAll(const Fact &fact) const
{
    return std::holds_alternative<CrashFact>(fact.body) && fact.origin != m_self.id
           && isSmallFleet();
}

bool FleetSystem::hasLargeBacklog() const
{
    double pendingSends = 0.0;
    for (const auto &[id, sends] : m_pendingMembers) {
        pendingSends += sends.remaining;
    }
    return pendingSends * memberBytes > m_options.bytesPerSecond * largeBacklogSeconds;
}

} // namespace citronpick::fleet
