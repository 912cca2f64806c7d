#include "relay/callerloss.h"

#include <algorithm>

namespace citronpick::relay
{

namespace
{

//! Keeps the loss finite for pools whose configuration contains no times.
constexpr model::Duration minWork = model::milliseconds(1);

} // namespace

// A refused request costs its caller the answer and the pools what they have spent on it. Both are
// compared with what the pool gains, which is the work that the request still needs.
double lossPerWork(const CallerStake &stake)
{
    const double work = model::toSeconds(std::max(minWork, stake.work));
    const double spent = model::toSeconds(stake.workSpent);
    return (1.0 + spent / (spent + work)) / work;
}

bool givesWayBefore(const CallerStake &left, const CallerStake &right)
{
    if (left.priority != right.priority) {
        return left.priority > right.priority;
    }
    return lossPerWork(left) < lossPerWork(right);
}

// Requests that meet their target are served before late ones of the same priority, because a late
// request loses little by a further delay. A late request is served before less urgent ones:
// otherwise a longer chain, which becomes late earlier, would undo the priority. While no more
// urgent request is late, those that meet their targets form one group that is ordered by due time.
ServiceOrder serviceOrder(const CallerStake &stake, std::optional<uint32_t> mostUrgentLate)
{
    if (stake.isLate) {
        return {.group = 2 * stake.priority + 1,
                .isUnbegun = stake.workSpent == model::Duration::zero()};
    }
    const uint32_t shared = mostUrgentLate.value_or(stake.priority);
    return {.group = mostUrgentLate ? 2 * std::max(stake.priority, shared) : 0};
}

} // namespace citronpick::relay
