#ifndef CITRONPICK_NET_LISTENSOCKET_H
#define CITRONPICK_NET_LISTENSOCKET_H

#include <absl/status/statusor.h>

#include "config/settings.h"

namespace citronpick::net
{

//! A bound and listening socket that no server has taken over yet.
class ListenSocket
{
public:
    //! Port zero takes any free one. Unavailable when the address cannot be had.
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

    //! Hands the descriptor over; the caller closes it.
    int release();

private:
    ListenSocket(int descriptor, uint16_t port);

    int m_descriptor;
    uint16_t m_port;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_LISTENSOCKET_H
