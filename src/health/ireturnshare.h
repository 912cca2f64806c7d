#ifndef CITRONPICK_HEALTH_IRETURNSHARE_H
#define CITRONPICK_HEALTH_IRETURNSHARE_H

#include <cstdint>
#include <optional>

#include "health/healthstate.h"
#include "model/ids.h"

namespace citronpick::health
{

//! What other daemons report of a returning upstream.
struct PeerReturn {
    HealthState state = HealthState::Ejected;
    uint32_t rampStep = 0;
    uint32_t relapses = 0;

    friend auto operator<=>(const PeerReturn &, const PeerReturn &) = default;
};

//! Divides the return of an upstream over the daemons that took it out of service.
class IReturnShare
{
public:
    virtual ~IReturnShare() = default;

    //! This daemon's part of \a total slots at an upstream; zero when it is not its turn.
    virtual uint32_t slots(const model::UpstreamId &upstream, uint32_t total) const = 0;

    //! The furthest return that a peer reports; empty when no peer reports any.
    virtual std::optional<PeerReturn> furthestPeer(const model::UpstreamId &upstream) const = 0;

    //! Whether a peer suspects the upstream of being slow.
    virtual bool isSuspectedByPeer(const model::UpstreamId &upstream) const = 0;

    //! The most relapses that any peer reports.
    virtual uint32_t peerRelapses(const model::UpstreamId &upstream) const = 0;
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_IRETURNSHARE_H
