#ifndef CITRONPICK_ADMISSION_STAGEQUEUE_H
#define CITRONPICK_ADMISSION_STAGEQUEUE_H

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "model/ids.h"
#include "model/time.h"

namespace citronpick::admission
{

//! Orders requests by priority, expected cost and fair shares of accounts, with ageing.
struct FairOrder {
    //! Delay added for each priority rank. A request that has waited this much longer than one of
    //! the next higher priority is served before it.
    model::Duration waitPerRank = model::seconds(2);
    model::Duration longWorkDelay = model::milliseconds(500); //!< Delay added for long work.

    friend auto operator<=>(const FairOrder &, const FairOrder &) = default;
};

//! Serves requests in order of arrival (first in, first out); this is the baseline.
struct FifoOrder {
    friend auto operator<=>(const FifoOrder &, const FifoOrder &) = default;
};

using QueueOrder = std::variant<FairOrder, FifoOrder>;

struct QueueOptions {
    QueueOrder order = FairOrder {};
    size_t maxEntries = 4096;
    size_t maxBytes = 16U << 20U;
};

//! A request that is queued for an upstream.
struct QueueItem {
    model::RequestId request;
    model::AccountId account;
    double weight = 1.0; //!< Weight of the account.
    uint32_t priorityRank = 0;
    model::Duration cost {}; //!< Expected upstream time.
    bool isLong = false;
    size_t bytes = 0;
};

//! Identifies one queued item.
struct QueueTicket {
    model::TimePoint score; //!< Position in the queue; the lowest is served first.
    uint64_t sequence = 0;

    friend auto operator<=>(const QueueTicket &, const QueueTicket &) = default;
};

//! Queue of the requests for one pool. With FairOrder, long work is queued separately.
class StageQueue
{
public:
    explicit StageQueue(QueueOptions options);

    bool hasRoomFor(size_t bytes) const;

    //! \a slots is the number of requests that the pool serves concurrently.
    QueueTicket add(const QueueItem &item, uint32_t slots, model::TimePoint now);

    void remove(const QueueTicket &ticket);

    //! The first items in order, at most \a count. Includes long work only if \a includesLong is
    //! set.
    std::vector<QueueTicket> front(size_t count, bool includesLong) const;

    const QueueItem *item(const QueueTicket &ticket) const;

    //! Expected wait of \a item if it were added now.
    model::Duration expectedWait(const QueueItem &item, uint32_t slots, model::TimePoint now) const;

    size_t size() const
    {
        return m_items.size();
    }
    //! Number of queued items without long work that is queued separately.
    size_t shortSize() const
    {
        return m_short.size();
    }
    bool isEmpty() const
    {
        return m_items.empty();
    }

private:
    static constexpr size_t rankCount = 16;

    struct AccountClock {
        //! Time up to which the account has used its share of the pool.
        model::TimePoint virtualTime;
        uint32_t queuedItems = 0;
        double weight = 1.0;
    };

    model::TimePoint scoreOf(const FairOrder &order, const QueueItem &item, uint32_t slots,
                             model::TimePoint now);
    model::Duration &queuedCostOf(const QueueItem &item);
    void removeIdleAccounts(model::TimePoint now);

    QueueOptions m_options;
    std::set<QueueTicket> m_short;
    std::set<QueueTicket> m_long;
    absl::flat_hash_map<uint64_t, QueueItem> m_items; //!< By sequence number of the ticket.
    absl::flat_hash_map<model::AccountId, AccountClock> m_accounts;
    double m_queuedWeight = 0.0; //!< Sum over accounts with queued items.
    size_t m_bytes = 0;
    //! Expected upstream time of queued items by priority rank: short work first, then long work.
    std::array<std::array<model::Duration, rankCount>, 2> m_queuedCost {};
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_STAGEQUEUE_H
