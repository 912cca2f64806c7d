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

//! Order by priority, expected cost and account, with ageing.
struct FairOrder {
    model::Duration perRank = model::seconds(2); //!< Wait by which one priority outranks the next.
    model::Duration forLong = model::milliseconds(500); //!< Wait added to work that costs much.

    friend auto operator<=>(const FairOrder &, const FairOrder &) = default;
};

//! Baseline: first come, first served.
struct ArrivalOrder {
    friend auto operator<=>(const ArrivalOrder &, const ArrivalOrder &) = default;
};

using QueueOrder = std::variant<FairOrder, ArrivalOrder>;

struct QueueOptions {
    QueueOrder order = FairOrder {};
    size_t maxEntries = 4096;
    size_t maxBytes = 16U << 20U;
};

//! What waits for an upstream.
struct QueueItem {
    model::RequestId request;
    model::AccountId account;
    double weight = 1.0; //!< Of the account.
    uint32_t priorityRank = 0;
    model::Duration cost {}; //!< Expected time at an upstream.
    bool isLong = false;
    size_t bytes = 0;
};

//! Names one waiting item.
struct QueueTicket {
    model::TimePoint score; //!< Place in the order; the lowest is served first.
    uint64_t sequence = 0;

    friend auto operator<=>(const QueueTicket &, const QueueTicket &) = default;
};

//! Requests that wait for one pool, short and long work apart.
class StageQueue
{
public:
    explicit StageQueue(QueueOptions options);

    bool hasRoomFor(size_t bytes) const;

    //! \a slots is how many requests the pool serves at a time.
    QueueTicket add(const QueueItem &item, uint32_t slots, model::TimePoint now);

    void remove(const QueueTicket &ticket);

    //! The first items in order, at most \a count; long work only if \a takesLong.
    std::vector<QueueTicket> front(size_t count, bool takesLong) const;

    const QueueItem *item(const QueueTicket &ticket) const;

    //! Expected wait of an item that would be added now.
    model::Duration expectedWait(const QueueItem &item, uint32_t slots, model::TimePoint now) const;

    size_t size() const
    {
        return m_items.size();
    }
    //! Without long work that waits apart.
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
        model::TimePoint virtualTime; //!< Until when the account has used up its share.
        uint32_t waiting = 0;
        double weight = 1.0;
    };

    model::TimePoint scoreOf(const FairOrder &order, const QueueItem &item, uint32_t slots,
                             model::TimePoint now);
    model::Duration &waitingCostOf(const QueueItem &item);
    void forgetIdleAccounts(model::TimePoint now);

    QueueOptions m_options;
    std::set<QueueTicket> m_short;
    std::set<QueueTicket> m_long;
    absl::flat_hash_map<uint64_t, QueueItem> m_items; //!< By sequence.
    absl::flat_hash_map<model::AccountId, AccountClock> m_accounts;
    double m_waitingWeight = 0.0; //!< Of accounts with something waiting.
    size_t m_bytes = 0;
    //! Expected upstream time of what waits, by priority rank; short work, then long.
    std::array<std::array<model::Duration, rankCount>, 2> m_waitingCost {};
    uint64_t m_lastSequence = 0;
};

} // namespace citronpick::admission

#endif // CITRONPICK_ADMISSION_STAGEQUEUE_H
