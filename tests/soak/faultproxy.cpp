#include "soak/faultproxy.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronpick::soak
{

namespace
{

//! Much longer than a hop on loopback and much shorter than the timeouts of the daemons.
constexpr model::Duration delay = model::milliseconds(150);

sockaddr_in addressOf(const config::Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

FaultProxy::FaultProxy(net::ListenSocket socket, config::Endpoint server)
    : m_listener(-1)
    , m_port(socket.port())
    , m_server(std::move(server))
{
    m_listener = socket.release();
    fcntl(m_listener, F_SETFL, O_NONBLOCK);
}

FaultProxy::~FaultProxy()
{
    for (const auto &connection : m_connections) {
        close(*connection, false);
    }
    ::close(m_listener);
}

config::Endpoint FaultProxy::address() const
{
    return {.host = "127.0.0.1", .port = m_port};
}

void FaultProxy::setFault(LinkFault fault)
{
    m_fault = fault;
    if (fault == LinkFault::Reset) {
        for (const auto &connection : m_connections) {
            connection->isBroken = true;
        }
    }
}

bool FaultProxy::isDropped(bool toServer) const
{
    return m_fault == (toServer ? LinkFault::CutToServer : LinkFault::CutToClient);
}

void FaultProxy::run(model::TimePoint now)
{
    accept();
    for (const auto &connection : m_connections) {
        if (m_fault != LinkFault::Silent) {
            forward(*connection, true, now);
            forward(*connection, false, now);
        }
        const bool isFinished
            = connection->toServer.isReceiverShutDown && connection->toClient.isReceiverShutDown;
        if (connection->isBroken || isFinished) {
            close(*connection, connection->isBroken);
        }
    }
    std::erase_if(m_connections, [](const auto &connection) { return connection->client < 0; });
}

void FaultProxy::accept()
{
    for (int client = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); client >= 0;
         client = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) {
        auto connection = std::make_unique<Connection>();
        connection->client = client;
        connection->server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const sockaddr_in to = addressOf(m_server);
        const int result
            = connect(connection->server, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        connection->isBroken = m_fault == LinkFault::Reset || (result != 0 && errno != EINPROGRESS);
        m_connections.push_back(std::move(connection));
    }
}

// Bytes dropped by a one-way cut stay lost, as in a partition that outlasts the sender.
void FaultProxy::forward(Connection &connection, bool toServer, model::TimePoint now) const
{
    const int from = toServer ? connection.client : connection.server;
    const int to = toServer ? connection.server : connection.client;
    Flow &flow = toServer ? connection.toServer : connection.toClient;
    std::array<char, 16384> bytes {};
    const ssize_t count = flow.isSenderClosed ? -1 : recv(from, bytes.data(), bytes.size(), 0);
    if (count > 0 && !isDropped(toServer)) {
        flow.pending.push_back({.due = m_fault == LinkFault::Delayed ? now + delay : now,
                                .bytes = std::string(bytes.data(), static_cast<size_t>(count))});
    }
    flow.isSenderClosed = flow.isSenderClosed || count == 0;
    const bool hasFailed
        = count < 0 && !flow.isSenderClosed && errno != EAGAIN && errno != ENOTCONN;
    connection.isBroken = connection.isBroken || hasFailed;
    while (!flow.pending.empty() && flow.pending.front().due <= now) {
        std::string &pending = flow.pending.front().bytes;
        const ssize_t sent = send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            connection.isBroken = connection.isBroken || (errno != EAGAIN && errno != ENOTCONN);
            return;
        }
        pending.erase(0, static_cast<size_t>(sent));
        if (!pending.empty()) {
            return;
        }
        flow.pending.erase(flow.pending.begin());
    }
    if (flow.isSenderClosed && flow.pending.empty() && !flow.isReceiverShutDown) {
        flow.isReceiverShutDown = true;
        shutdown(to, SHUT_WR);
    }
}

void FaultProxy::close(Connection &connection, bool isReset)
{
    for (const int descriptor : {connection.client, connection.server}) {
        if (isReset) {
            const linger now {.l_onoff = 1, .l_linger = 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        ::close(descriptor);
    }
    connection.client = -1;
}

} // namespace citronpick::soak
