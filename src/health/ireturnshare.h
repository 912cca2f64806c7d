#ifndef CITRONPICK_HEALTH_IRETURNSHARE_H
#define CITRONPICK_HEALTH_IRETURNSHARE_H

#include <cstdint>
#include <optional>

#include "health/healthstate.h"
#include "model/ids.h"

namespace citronpick::health
{

//! State of a returning upstream as reported by another daemon.
struct PeerReturn {
    HealthState state = HealthState::Ejected;
    uint32_t rampStep = 0;
    uint32_t relapses = 0;

    friend auto operator<=>(const PeerReturn &, const PeerReturn &) = default;
};

//! Divides the slots of a returning upstream among the daemons that ejected it.
class IReturnShare
{
public:
    virtual ~IReturnShare() = default;

    //! Number of the \a total slots at an upstream that this daemon may use; may be zero.
    virtual uint32_t slots(const model::UpstreamId &upstream, uint32_t total) const = 0;

    //! The most advanced return state that a peer reports; empty if no peer reports one.
    virtual std::optional<PeerReturn> furthestPeer(const model::UpstreamId &upstream) const = 0;

    //! Whether a peer reports the upstream in any state other than active.
    virtual bool isSuspectedByPeer(const model::UpstreamId &upstream) const = 0;

    //! Highest relapse count that a peer reports while the upstream is out of service there.
    virtual uint32_t peerRelapses(const model::UpstreamId &upstream) const = 0;
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_IRETURNSHARE_H
