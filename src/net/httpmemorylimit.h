#ifndef CITRONPICK_NET_HTTPMEMORYLIMIT_H
#define CITRONPICK_NET_HTTPMEMORYLIMIT_H

#include <cstddef>
#include <cstdint>
#include <memory>

#include "model/time.h"

namespace citronpick::net
{

namespace internal
{
class HttpConnections;
} // namespace internal

/*!
 * Bounds the memory that the callers of HttpServers make a process hold.
 *
 * H2O buffers requests until they are complete, and doesn't tell how much that is. The limit
 * therefore applies to the resident memory of the process; above it, the connections that hold most
 * for longest without progress are closed.
 */
class HttpMemoryLimit
{
public:
    //! \a memoryBytes is what the process may have.
    explicit HttpMemoryLimit(size_t memoryBytes);
    ~HttpMemoryLimit();
    HttpMemoryLimit(const HttpMemoryLimit &) = delete;
    HttpMemoryLimit &operator=(const HttpMemoryLimit &) = delete;

    //! Closes connections above the limit. Must be called in each iteration of the event loop,
    //! outside its callbacks.
    void run(model::TimePoint now);
    //! Whether a request with a body of this size can be taken without making others lose theirs.
    bool hasRoomFor(size_t bodyBytes) const;

    //! Greatest receive buffer of a connection.
    size_t receiveBufferBytes() const
    {
        return m_receiveBufferBytes;
    }
    size_t maxResidentBytes() const
    {
        return m_maxResidentBytes;
    }
    //! As of the last check.
    size_t residentBytes() const
    {
        return m_residentBytes;
    }
    //! Number of connections that were closed for room.
    uint64_t closedConnections() const
    {
        return m_closedConnections;
    }

    internal::HttpConnections &connections()
    {
        return *m_connections;
    }

private:
    void closeConnections(model::TimePoint now);

    size_t m_maxResidentBytes;
    size_t m_receiveBufferBytes;
    size_t m_residentBytes = 0;
    uint64_t m_closedConnections = 0;
    model::TimePoint m_nextTrim;
    model::TimePoint m_nextPass;
    std::unique_ptr<internal::HttpConnections> m_connections;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTPMEMORYLIMIT_H
