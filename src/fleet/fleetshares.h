#ifndef CITRONPICK_FLEET_FLEETSHARES_H
#define CITRONPICK_FLEET_FLEETSHARES_H

#include <absl/container/flat_hash_map.h>

#include "admission/iaccountshare.h"
#include "fleet/fleetsystem.h"
#include "health/ireturnshare.h"

namespace citronpick::fleet
{

//! Divides what is limited over all daemons, from the facts that they tell each other.
class FleetShares : public admission::IAccountShare, public health::IReturnShare
{
public:
    explicit FleetShares(const FleetSystem &fleet);

    double share(const model::AccountId &account) const override;

    uint32_t slots(const model::UpstreamId &upstream, uint32_t total) const override;
    std::optional<health::PeerReturn>
    furthestPeer(const model::UpstreamId &upstream) const override;
    bool isSuspectedByPeer(const model::UpstreamId &upstream) const override;
    uint32_t peerRelapses(const model::UpstreamId &upstream) const override;

    //! Whether this daemon is early enough in line for an upstream's return to get slots.
    bool isAmongFirst(const model::UpstreamId &upstream) const;

    //! Works the facts up into what the queries above look up; once a tick.
    void refresh();

    //! Sets what this daemon itself offers for an account.
    void setOwnDemand(const model::AccountId &account, double requestsPerSecond);
    void clearOwnDemands();

private:
    struct PeerReturnRow {
        model::DaemonId daemon;
        health::PeerReturn state;
    };

    struct Place {
        uint32_t participants = 1;
        uint32_t rank = 0;
    };
    Place placeOf(const model::UpstreamId &upstream) const;

    const FleetSystem &m_fleet;
    absl::flat_hash_map<model::AccountId, double> m_ownDemand;
    absl::flat_hash_map<model::AccountId, double> m_peerDemand;
    absl::flat_hash_map<model::UpstreamId, std::vector<PeerReturnRow>> m_returns;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETSHARES_H
