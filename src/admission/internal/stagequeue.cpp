#include "admission/stagequeue.h"

#include <algorithm>

#include "model/overloaded.h"

namespace citronpick::admission
{

namespace
{

//! Idle accounts are removed once this many accounts are stored.
constexpr size_t maxIdleAccounts = 1024;

} // namespace

StageQueue::StageQueue(QueueOptions options)
    : m_options(options)
{
}

bool StageQueue::hasRoomFor(size_t bytes) const
{
    return m_items.size() < m_options.maxEntries && m_bytes + bytes <= m_options.maxBytes;
}

QueueTicket StageQueue::add(const QueueItem &item, uint32_t slots, model::TimePoint now)
{
    const model::TimePoint score
        = std::visit(model::Overloaded {
                         [&](const FairOrder &order) { return scoreOf(order, item, slots, now); },
                         [&](const FifoOrder &) { return now; },
                     },
                     m_options.order);
    const QueueTicket ticket {.score = score, .sequence = ++m_lastSequence};
    const bool isQueuedSeparately
        = item.isLong && std::holds_alternative<FairOrder>(m_options.order);
    (isQueuedSeparately ? m_long : m_short).insert(ticket);
    m_items.emplace(ticket.sequence, item);
    m_bytes += item.bytes;
    queuedCostOf(item) += item.cost;
    return ticket;
}

void StageQueue::remove(const QueueTicket &ticket)
{
    const auto it = m_items.find(ticket.sequence);
    if (it == m_items.end()) {
        return;
    }
    m_bytes -= it->second.bytes;
    queuedCostOf(it->second) -= it->second.cost;
    const auto account = m_accounts.find(it->second.account);
    if (account != m_accounts.end() && --account->second.queuedItems == 0) {
        m_queuedWeight -= account->second.weight;
    }
    m_items.erase(it);
    if (m_short.erase(ticket) == 0) {
        m_long.erase(ticket);
    }
}

std::vector<QueueTicket> StageQueue::front(size_t count, bool includesLong) const
{
    std::vector<QueueTicket> tickets;
    tickets.reserve(count);
    auto shortIt = m_short.begin();
    auto longIt = includesLong ? m_long.begin() : m_long.end();
    while (tickets.size() < count) {
        const bool hasShort = shortIt != m_short.end();
        const bool hasLong = longIt != m_long.end();
        if (!hasShort && !hasLong) {
            break;
        }
        const bool isShortNext = hasShort && (!hasLong || *shortIt < *longIt);
        tickets.push_back(isShortNext ? *shortIt++ : *longIt++);
    }
    return tickets;
}

const QueueItem *StageQueue::item(const QueueTicket &ticket) const
{
    const auto it = m_items.find(ticket.sequence);
    return it == m_items.end() ? nullptr : &it->second;
}

model::Duration StageQueue::expectedWait(const QueueItem &item, uint32_t slots,
                                         model::TimePoint now) const
{
    model::Duration ahead {};
    const size_t lastRank = std::min<size_t>(item.priorityRank, rankCount - 1);
    for (size_t rank = 0; rank <= lastRank; ++rank) {
        ahead += m_queuedCost[0][rank];
        if (item.isLong) {
            ahead += m_queuedCost[1][rank];
        }
    }
    const model::Duration behindAll = ahead / std::max(1U, slots);
    const bool isFair = std::holds_alternative<FairOrder>(m_options.order);
    const auto clock = m_accounts.find(item.account);
    if (!isFair || m_queuedWeight <= 0.0) {
        return behindAll;
    }
    // The expected wait of an account depends on its own backlog, not on that of other accounts.
    if (clock == m_accounts.end() || clock->second.virtualTime <= now) {
        return model::Duration::zero();
    }
    return std::min(behindAll, model::Duration(clock->second.virtualTime - now));
}

model::Duration &StageQueue::queuedCostOf(const QueueItem &item)
{
    const size_t rank = std::min<size_t>(item.priorityRank, rankCount - 1);
    return m_queuedCost[item.isLong ? 1 : 0][rank];
}

model::TimePoint StageQueue::scoreOf(const FairOrder &order, const QueueItem &item, uint32_t slots,
                                     model::TimePoint now)
{
    removeIdleAccounts(now);
    AccountClock &clock = m_accounts[item.account];
    if (clock.queuedItems++ == 0) {
        clock.weight = item.weight;
        m_queuedWeight += item.weight;
    }
    // Weighted fair queueing by virtual time: the requests of an account are spaced as if its
    // weighted share of the pool were reserved for it. Scores are points in time, so later requests
    // can overtake a queued request only for a bounded time.
    const model::TimePoint start = std::max(now, clock.virtualTime);
    const double share = clock.weight / m_queuedWeight;
    clock.virtualTime = start + model::scaled(item.cost, 1.0 / (share * std::max(1U, slots)));
    const model::Duration later = order.waitPerRank * item.priorityRank
                                  + (item.isLong ? order.longWorkDelay : model::Duration());
    return start + later;
}

void StageQueue::removeIdleAccounts(model::TimePoint now)
{
    if (m_accounts.size() < maxIdleAccounts) {
        return;
    }
    absl::erase_if(m_accounts, [now](const auto &entry) {
        return entry.second.queuedItems == 0 && entry.second.virtualTime <= now;
    });
}

} // namespace citronpick::admission
