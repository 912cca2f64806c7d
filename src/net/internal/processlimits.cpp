#include "net/processlimits.h"

namespace citronpick::net
{

namespace
{

//! The rest of the memory is for the program, its tables and what the allocator does not give back.
constexpr size_t heldBytesPart = 2;
//! Of the descriptors, callers alone may have 24 of 32. The rest is for files and for connections
//! to upstreams, peers and the registry.
constexpr size_t connectionParts = 27;
constexpr size_t descriptorParts = 32;
//! Reserves, as parts of the memory and of the descriptors.
constexpr size_t callerBytesPart = 8;
constexpr size_t callerConnectionsPart = 4;
constexpr size_t peerBytesPart = 32;
constexpr size_t peerConnectionsPart = 32;
constexpr size_t controlBytesPart = 128;
constexpr size_t controlConnectionsPart = 128;

size_t connectionLimit(size_t maxDescriptors)
{
    return maxDescriptors == 0 ? std::numeric_limits<size_t>::max()
                               : maxDescriptors * connectionParts / descriptorParts;
}

} // namespace

ProcessLimits::ProcessLimits(size_t memoryMb, size_t maxDescriptors)
    : m_memoryBytes(memoryMb << 20U)
    , m_maxDescriptors(maxDescriptors)
    , m_heldBytes(m_memoryBytes / heldBytesPart)
    , m_connections(connectionLimit(maxDescriptors))
{
}

ListenerLimits ProcessLimits::parts(size_t bytesPart, size_t connectionsPart)
{
    return {.heldBytes = &m_heldBytes,
            .heldBytesReserve = m_memoryBytes / bytesPart,
            .connections = &m_connections,
            .connectionReserve = m_maxDescriptors / connectionsPart};
}

ListenerLimits ProcessLimits::forCallers()
{
    return parts(callerBytesPart, callerConnectionsPart);
}

ListenerLimits ProcessLimits::forPeers()
{
    return parts(peerBytesPart, peerConnectionsPart);
}

ListenerLimits ProcessLimits::forControl()
{
    return parts(controlBytesPart, controlConnectionsPart);
}

} // namespace citronpick::net
