#ifndef CITRONPICK_FLEET_FLEETOPTIONS_H
#define CITRONPICK_FLEET_FLEETOPTIONS_H

#include <compare>
#include <cstdint>
#include <vector>

#include "config/settings.h"
#include "model/time.h"

namespace citronpick::fleet
{

struct FleetOptions {
    model::Duration period = model::seconds(1); //!< Between regular exchanges.
    model::Duration exchangeTimeout = model::milliseconds(500);
    model::Duration indirectTimeout = model::milliseconds(1000);
    uint32_t indirectHelpers = 2;
    model::Duration suspicionTime = model::seconds(3);
    model::Duration deadMemory = model::seconds(600); //!< A dead member is remembered for this.
    uint32_t farEvery = 4; //!< One exchange in so many goes to another zone.
    uint32_t urgentFanout = 3;
    uint32_t directFanout = 7; //!< A fleet with no more peers than this is told directly.
    double urgentPerSecond = 10.0; //!< Exchanges beyond the regular ones.
    double bytesPerSecond = 5000.0; //!< Of members and facts sent, estimated.
    double burstBytes = 16000.0;
    model::Duration fullExchangeInterval = model::seconds(2); //!< Least time between two.
    double fullExchangeBytesPerSecond = 7000.0; //!< Spreads them further in large fleets.
    std::vector<config::Endpoint> seeds;

    friend bool operator==(const FleetOptions &, const FleetOptions &) = default;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETOPTIONS_H
