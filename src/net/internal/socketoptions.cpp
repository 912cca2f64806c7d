#include "net/internal/socketoptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

namespace citronpick::net::internal
{

namespace
{

size_t queueBytes(h2o_socket_t *socket, unsigned long request)
{
    int bytes = 0;
    const int result = ioctl(h2o_socket_get_fd(socket), request, &bytes);
    return result == 0 && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

} // namespace

size_t unreadBytes(h2o_socket_t *socket)
{
    return queueBytes(socket, FIONREAD);
}

size_t unacknowledgedBytes(h2o_socket_t *socket)
{
    return queueBytes(socket, SIOCOUTQ);
}

void setSocketOptions(h2o_socket_t *socket, model::Duration unacknowledgedTimeout)
{
    const auto unacknowledgedTimeoutMs
        = static_cast<unsigned>(model::toMilliseconds(unacknowledgedTimeout));
    constexpr int on = 1;
    // Keep-alive probes detect a peer that became unreachable while the connection was idle.
    constexpr int probeIdleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr size_t receiveBufferBytes = 64U << 10U;
    limitReceiveBuffer(socket, receiveBufferBytes);
    const int descriptor = h2o_socket_get_fd(socket);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs,
               sizeof(unacknowledgedTimeoutMs));
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof(probeIdleSeconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds,
               sizeof(probeIntervalSeconds));
}

void limitReceiveBuffer(h2o_socket_t *socket, size_t bytes)
{
    // Such bytes count towards the memory of the process.
    const int size = static_cast<int>(bytes);
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void discardUnsentAtClose(h2o_socket_t *socket)
{
    const linger immediately {.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

bool hasPeerClosed(h2o_socket_t *socket)
{
    return havePeersClosed({socket}).front();
}

std::vector<bool> havePeersClosed(const std::vector<h2o_socket_t *> &sockets)
{
    std::vector<pollfd> states;
    states.reserve(sockets.size());
    for (h2o_socket_t *socket : sockets) {
        states.push_back({.fd = h2o_socket_get_fd(socket), .events = POLLRDHUP, .revents = 0});
    }
    poll(states.data(), states.size(), 0);
    std::vector<bool> haveClosed(sockets.size());
    std::transform(states.begin(), states.end(), haveClosed.begin(), [](const pollfd &state) {
        return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    });
    return haveClosed;
}

namespace
{

bool wasReset(h2o_socket_t *socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    const int result = getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &size);
    return result == 0 && info.tcpi_state == TCP_CLOSE;
}

} // namespace

// The system reports the error of a reset once. If a write was under way, it has taken the error,
// and reading reports an ordinary end; the state of the connection is the same in both cases.
bool hasEndedInOrder(h2o_socket_t *socket, const char *error)
{
    return error == h2o_socket_error_closed && !wasReset(socket);
}

} // namespace citronpick::net::internal
