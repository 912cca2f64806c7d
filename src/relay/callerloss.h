#ifndef CITRONPICK_RELAY_CALLERLOSS_H
#define CITRONPICK_RELAY_CALLERLOSS_H

#include <compare>
#include <cstdint>
#include <optional>

#include "model/time.h"

namespace citronpick::relay
{

//! What a caller loses if its request is displaced by others in the queue of a pool.
struct CallerStake {
    uint32_t priority = 0; //!< Of the account, else of the route; zero is the most urgent.
    bool isLate = false; //!< The request no longer meets its latency target.
    model::TimePoint deadline; //!< The result is useless after this time.
    model::Duration work {}; //!< Upstream time that the request still needs in the pool.
    model::Duration workSpent {}; //!< Upstream time of its earlier stages, which would be wasted.

    friend auto operator<=>(const CallerStake &, const CallerStake &) = default;
};

//! Loss per second of the pool's work if a request is refused, in requests of the same priority.
double lossPerWork(const CallerStake &stake);

//! Whether \a left loses its place among the requests that meet their target before \a right.
bool givesWayBefore(const CallerStake &left, const CallerStake &right);

//! Order in which the requests that wait in a pool are served.
struct ServiceOrder {
    uint32_t group = 0; //!< See serviceOrder().
    bool isUnbegun = false; //!< Late requests whose earlier stages are done come first.

    friend auto operator<=>(const ServiceOrder &, const ServiceOrder &) = default;
};

//! The place of a request; \a mostUrgentLate is the most urgent priority of the late requests that
//! wait, nullopt if none does.
ServiceOrder serviceOrder(const CallerStake &stake, std::optional<uint32_t> mostUrgentLate);

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_CALLERLOSS_H
