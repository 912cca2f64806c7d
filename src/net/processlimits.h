#ifndef CITRONPICK_NET_PROCESSLIMITS_H
#define CITRONPICK_NET_PROCESSLIMITS_H

#include "net/sharedlimit.h"

namespace citronpick::net
{

//! The parts that one listener has of the limits of its process; null for no shared limit.
struct ListenerLimits {
    SharedLimit *heldBytes = nullptr;
    size_t heldBytesReserve = 0;
    SharedLimit *connections = nullptr;
    size_t connectionReserve = 0;
};

/*!
 * Limits on what all listeners of a process hold and accept together.
 *
 * The sum of their own limits may be larger: a listener may use what the others don't.
 */
class ProcessLimits
{
public:
    //! \a maxDescriptors is zero when unknown.
    ProcessLimits(size_t memoryMb, size_t maxDescriptors);

    ListenerLimits forCallers();
    //! For a listener that other daemons use.
    ListenerLimits forPeers();
    //! For readiness, lookups, metrics and administration.
    ListenerLimits forControl();

    const SharedLimit &heldBytes() const
    {
        return m_heldBytes;
    }
    const SharedLimit &connections() const
    {
        return m_connections;
    }

private:
    ListenerLimits parts(size_t bytesPart, size_t connectionsPart);

    size_t m_memoryBytes;
    size_t m_maxDescriptors;
    SharedLimit m_heldBytes;
    SharedLimit m_connections;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_PROCESSLIMITS_H
