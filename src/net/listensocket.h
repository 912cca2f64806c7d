#ifndef CITRONPICK_NET_LISTENSOCKET_H
#define CITRONPICK_NET_LISTENSOCKET_H

#include <absl/status/statusor.h>

#include "config/settings.h"

namespace citronpick::net
{

//! Bound and listening socket, to be passed to a server.
class ListenSocket
{
public:
    //! Port zero selects any free port. Returns InvalidArgument if the host is not an IPv4 address
    //! and Unavailable if the address cannot be bound.
    static absl::StatusOr<ListenSocket> bind(const config::Endpoint &endpoint);

    ListenSocket(ListenSocket &&other) noexcept;
    ListenSocket &operator=(ListenSocket &&other) noexcept;
    ListenSocket(const ListenSocket &) = delete;
    ListenSocket &operator=(const ListenSocket &) = delete;
    ~ListenSocket();

    uint16_t port() const
    {
        return m_port;
    }

    //! Transfers ownership of the file descriptor to the caller, which must close it.
    int release();

private:
    ListenSocket(int descriptor, uint16_t port);

    int m_descriptor;
    uint16_t m_port;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_LISTENSOCKET_H
