#ifndef CITRONPICK_FLEET_FLEETOPTIONS_H
#define CITRONPICK_FLEET_FLEETOPTIONS_H

#include <compare>
#include <cstdint>
#include <vector>

#include "config/settings.h"
#include "model/time.h"

namespace citronpick::fleet
{

//! Timing, fan-out and traffic limits of the membership and gossip protocol.
struct FleetOptions {
    model::Duration period = model::seconds(1); //!< Time between periodic exchanges.
    model::Duration exchangeTimeout = model::milliseconds(500); //!< Timeout of a direct exchange.
    //! Timeout of an indirect probe.
    model::Duration indirectProbeTimeout = model::milliseconds(1000);
    uint32_t indirectProbeFanout = 2; //!< Members that are asked to probe an unresponsive one.
    //! A suspect member that does not refute the suspicion within this time is declared dead.
    model::Duration suspicionTimeout = model::seconds(3);
    //! Time before a dead member is removed from the table.
    model::Duration deadRetention = model::seconds(600);
    uint32_t exchangesPerCrossZone = 4; //!< One in this many exchanges goes to another zone.
    uint32_t urgentFanout = 3; //!< Number of receivers of an urgent update in larger fleets.
    uint32_t directFanout = 7; //!< Up to this many peers, an urgent update goes to all of them.
    //! Limit on exchanges in addition to the periodic ones.
    double urgentExchangesPerSecond = 10.0;
    double bytesPerSecond = 5000.0; //!< Limit on estimated traffic without full exchanges.
    double burstBytes = 16000.0; //!< Maximum burst under the limit \a bytesPerSecond.
    //! Minimum time between two full exchanges.
    model::Duration fullExchangeInterval = model::seconds(2);
    //! Limit on the traffic of full exchanges; lengthens their interval in large fleets.
    double fullExchangeBytesPerSecond = 7000.0;
    std::vector<config::Endpoint> seeds; //!< Contacts for joining the fleet and after partitions.

    friend bool operator==(const FleetOptions &, const FleetOptions &) = default;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETOPTIONS_H
