#include "net/internal/httpconnections.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>

// The C library's declaration of TCP_INFO has no byte counts.
#include <linux/tcp.h>

namespace citronpick::net::internal
{

void HttpConnection::update(model::TimePoint now)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return;
    }
    const bool hasProgress
        = info.tcpi_bytes_received > receivedBytes || info.tcpi_bytes_acked > sentBytes;
    receivedBytes = std::max<size_t>(receivedBytes, info.tcpi_bytes_received);
    sentBytes = info.tcpi_bytes_acked;
    progressAt = hasProgress ? now : progressAt;
}

void HttpConnection::noteRequest(std::optional<size_t> ownBytes, model::TimePoint now)
{
    update(now);
    hadRequest = true;
    isHttp2 = ownBytes.has_value();
    ++openExchanges;
    completeBytes = ownBytes ? std::min(receivedBytes, completeBytes + *ownBytes) : receivedBytes;
}

void HttpConnections::add(h2o_socket_t *socket, const void *server, std::function<void()> onClosed,
                          model::TimePoint now)
{
    auto entry = std::make_unique<Entry>();
    entry->owner = this;
    entry->connection
        = {.socket = socket, .server = server, .onClosed = std::move(onClosed), .progressAt = now};
    socket->on_close.cb = &HttpConnections::onClosed;
    socket->on_close.data = entry.get();
    m_entries[socket] = std::move(entry);
}

HttpConnection *HttpConnections::find(h2o_socket_t *socket)
{
    const auto it = m_entries.find(socket);
    return it == m_entries.end() ? nullptr : &it->second->connection;
}

void HttpConnections::onClosed(void *data)
{
    const Entry &entry = *static_cast<Entry *>(data);
    HttpConnections &owner = *entry.owner;
    const std::function<void()> notify = entry.connection.onClosed;
    owner.m_entries.erase(entry.connection.socket);
    notify();
}

void HttpConnections::forEach(const std::function<void(HttpConnection &)> &visit)
{
    for (const auto &[socket, entry] : m_entries) {
        visit(entry->connection);
    }
}

bool HttpConnections::closeOldestSilent(const void *server)
{
    HttpConnection *oldest = nullptr;
    forEach([&](HttpConnection &connection) {
        const bool isSilent
            = connection.server == server && !connection.hadRequest && !connection.isClosing;
        if (isSilent && (!oldest || connection.progressAt < oldest->progressAt)) {
            oldest = &connection;
        }
    });
    if (oldest) {
        reset(*oldest);
    }
    return oldest != nullptr;
}

// After shutdown(), the system would go on receiving, so that H2O saw no end while the caller
// sends.
void HttpConnections::reset(HttpConnection &connection)
{
    connection.isClosing = true;
    const sockaddr nowhere {.sa_family = AF_UNSPEC, .sa_data = {}};
    static_cast<void>(connect(h2o_socket_get_fd(connection.socket), &nowhere, sizeof(nowhere)));
}

} // namespace citronpick::net::internal
