#include <algorithm>

#include <absl/strings/str_cat.h>

#include "platform/names.h"
#include "soak/soakrun.h"

// The part of SoakRun that gives orders to empty zones and checks them.

namespace citronpick::soak
{

namespace
{

//! An order is in force at all daemons this long after it was given and nothing was disrupted.
constexpr model::Duration forceLimit = model::milliseconds(2500);
//! A disruption may have effects for this long after its end.
constexpr model::Duration disruptionGrace = model::seconds(3);

std::string zoneOf(const PlannedFault &fault)
{
    return absl::StrCat("z", 1 + fault.target % 2);
}

} // namespace

// Some orders are taken back and given again at once.
void SoakRun::beginEvacuation(const PlannedFault &fault)
{
    constexpr uint32_t repeatInterval = 3;
    const std::string zone = zoneOf(fault);
    const std::string key = platform::names::evacuationKeyPrefix + zone;
    Order &order = m_orders[zone];
    if (++order.faults > 1) {
        return;
    }
    order.givenAt = m_now;
    m_store.put(key, "");
    if (fault.variant % repeatInterval == 0) {
        m_store.remove(key);
        m_store.put(key, "again");
    }
}

void SoakRun::endEvacuation(const PlannedFault &fault)
{
    const std::string zone = zoneOf(fault);
    if (--m_orders[zone].faults == 0) {
        m_orders.erase(zone);
        m_store.remove(platform::names::evacuationKeyPrefix + zone);
    }
}

// An order that has come into force while nothing was disrupted holds whatever happens to daemons
// and the store after that.
void SoakRun::checkOrders()
{
    for (auto &[zone, order] : m_orders) {
        const model::TimePoint knownAt
            = std::max(order.givenAt, m_disruptedUntil + disruptionGrace) + forceLimit;
        const bool isNew = !order.isInForce && m_now >= knownAt;
        order.isInForce = order.isInForce || isNew;
        m_ordersInForce += isNew ? 1 : 0;
        for (Replica &replica : m_replicas) {
            if (!order.isInForce || replica.standIn->zone() != zone) {
                continue;
            }
            const uint64_t arrivals = replica.standIn->arrivals();
            if (!isNew && arrivals > replica.arrivalsInOrder) {
                m_ledger.recordViolation("work was sent to an emptied zone: "
                                         + replica.standIn->id());
            }
            replica.arrivalsInOrder = arrivals;
        }
    }
}

} // namespace citronpick::soak
