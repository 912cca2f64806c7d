#ifndef CITRONPICK_FLEET_FLEETSHARES_H
#define CITRONPICK_FLEET_FLEETSHARES_H

#include <absl/container/flat_hash_map.h>

#include "admission/iaccountshare.h"
#include "fleet/fleetsystem.h"
#include "health/ireturnshare.h"

namespace citronpick::fleet
{

/*! Computes this daemon's share of fleet-wide limits (account limits, slots of returning upstreams)
 * from the facts that the daemons exchange. */
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

    //! Whether this daemon is one of those that send requests to the upstream while it returns.
    bool isReturnParticipant(const model::UpstreamId &upstream) const;

    //! Rebuilds the lookup tables of the queries above from the current facts, once per tick.
    void refresh();

    //! Sets the request rate that this daemon receives for an account.
    void setOwnDemand(const model::AccountId &account, double requestsPerSecond);
    void clearOwnDemands();

private:
    struct PeerReturnRow {
        model::DaemonId daemon;
        health::PeerReturn state;
    };

    //! Position of this daemon in the order in which an upstream's return slots are assigned.
    struct ReturnPosition {
        uint32_t participants = 1; //!< Daemons that have the upstream out of service.
        uint32_t rank = 0; //!< Number of participants before this daemon.
    };
    ReturnPosition returnPosition(const model::UpstreamId &upstream) const;

    const FleetSystem &m_fleet;
    absl::flat_hash_map<model::AccountId, double> m_ownDemand;
    absl::flat_hash_map<model::AccountId, double> m_peerDemand;
    absl::flat_hash_map<model::UpstreamId, std::vector<PeerReturnRow>> m_returns;
};

} // namespace citronpick::fleet

#endif // CITRONPICK_FLEET_FLEETSHARES_H
