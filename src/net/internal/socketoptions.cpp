#include "net/internal/socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronpick::net::internal
{

void prepareSocket(h2o_socket_t *socket)
{
    // Long enough for several retransmissions on a lossy link.
    constexpr unsigned unacknowledgedMs = 3000;
    constexpr int on = 1;
    // Probes find a peer that vanished while nothing is being sent to it.
    constexpr int probeIdleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    const int descriptor = h2o_socket_get_fd(socket);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs,
               sizeof(unacknowledgedMs));
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof(probeIdleSeconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds,
               sizeof(probeIntervalSeconds));
}

} // namespace citronpick::net::internal
