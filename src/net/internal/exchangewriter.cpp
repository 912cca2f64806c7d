#include "net/internal/exchangeserverimpl.h"

#include <sys/socket.h>

#include <absl/strings/str_cat.h>

#include "net/statustext.h"

// The part of ExchangeServer that sends responses.

namespace citronpick::net
{

ExchangeServer::Impl::Connection *ExchangeServer::Impl::find(uint64_t exchange) const
{
    const auto it = m_exchanges.find(exchange);
    return it == m_exchanges.end() ? nullptr : it->second;
}

void ExchangeServer::Impl::appendHead(Connection &connection, uint16_t status,
                                      const Headers &headers, std::optional<uint64_t> length)
{
    connection.closesAfterWrite = connection.closesAfterWrite || m_closesAfterResponses;
    absl::StrAppend(&connection.queued, "HTTP/1.1 ", status, " ", std::string(statusText(status)),
                    "\r\n");
    for (const Header &header : headers) {
        appendHeader(connection.queued, header.name, header.value);
    }
    constexpr uint16_t noContent = 204;
    constexpr uint16_t notModified = 304;
    connection.hasBody = !connection.isHeadRequest && status != noContent && status != notModified;
    connection.isChunked = connection.hasBody && !length;
    if (connection.isChunked) {
        connection.queued += "transfer-encoding: chunked\r\n";
    } else if (connection.hasBody) {
        absl::StrAppend(&connection.queued, "content-length: ", *length, "\r\n");
    }
    if (connection.closesAfterWrite) {
        connection.queued += "connection: close\r\n";
    }
    connection.queued += "\r\n";
}

void ExchangeServer::Impl::respond(uint64_t exchange, uint16_t status, const Headers &headers,
                                   std::string_view body)
{
    Connection *connection = find(exchange);
    if (!connection) {
        return;
    }
    appendHead(*connection, status, headers, body.size());
    if (connection->hasBody) {
        connection->queued.append(body);
    }
    finish(*connection);
}

void ExchangeServer::Impl::begin(uint64_t exchange, uint16_t status, const Headers &headers,
                                 std::optional<uint64_t> length)
{
    if (Connection *connection = find(exchange)) {
        appendHead(*connection, status, headers, length);
        flush(*connection);
    }
}

void ExchangeServer::Impl::write(uint64_t exchange, std::string_view bytes)
{
    Connection *connection = find(exchange);
    if (!connection || !connection->hasBody || bytes.empty()) {
        return;
    }
    if (connection->isChunked) {
        absl::StrAppend(&connection->queued, absl::Hex(bytes.size()), "\r\n");
        connection->queued.append(bytes).append("\r\n");
    } else {
        connection->queued.append(bytes);
    }
    flush(*connection);
}

void ExchangeServer::Impl::end(uint64_t exchange)
{
    if (Connection *connection = find(exchange)) {
        if (connection->isChunked) {
            connection->queued += "0\r\n\r\n";
        }
        finish(*connection);
    }
}

void ExchangeServer::Impl::abort(uint64_t exchange)
{
    if (Connection *connection = find(exchange)) {
        m_exchanges.erase(exchange);
        connection->exchange = 0;
        destroy(*connection);
    }
}

void ExchangeServer::Impl::finish(Connection &connection)
{
    m_exchanges.erase(connection.exchange);
    connection.exchange = 0;
    connection.dispatchedBytes = 0;
    connection.headBytes = 0;
    connection.parser.reset();
    connection.timeoutStart = EventLoop::now();
    flush(connection);
}

void ExchangeServer::Impl::flush(Connection &connection)
{
    account(connection);
    if (connection.isWriting) {
        return;
    }
    if (connection.queued.empty()) {
        afterWrite(connection);
        return;
    }
    connection.sending.swap(connection.queued);
    connection.queued.clear();
    connection.isWriting = true;
    connection.takenAt = EventLoop::now();
    h2o_iovec_t buffer = h2o_iovec_init(connection.sending.data(), connection.sending.size());
    h2o_socket_write(connection.socket, &buffer, 1, &Impl::onWritten);
}

void ExchangeServer::Impl::onWritten(h2o_socket_t *socket, const char *error)
{
    Connection &connection = *static_cast<Connection *>(socket->data);
    connection.isWriting = false;
    if (error) {
        connection.owner.cut(connection, CloseReason::WriteFailed);
        return;
    }
    // Releases the memory as well, because most connections stay open without traffic.
    std::string().swap(connection.sending);
    connection.takenAt = EventLoop::now();
    Impl &self = connection.owner;
    const uint64_t exchange = connection.exchange;
    self.flush(connection);
    if (exchange != 0 && self.m_exchanges.contains(exchange)) {
        self.m_handler.onDrained(exchange);
    }
}

// Called when all queued bytes have been sent.
void ExchangeServer::Impl::afterWrite(Connection &connection)
{
    if (connection.exchange != 0 || connection.isLingering) {
        return;
    }
    if (connection.closesAfterWrite) {
        // Closing a socket that holds unread bytes would reset the connection before the
        // caller has received the response.
        connection.isLingering = true;
        connection.discardedBytes = 0;
        connection.timeoutStart = EventLoop::now();
        h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
        shutdown(h2o_socket_get_fd(connection.socket), SHUT_WR);
        resumeReading(connection);
        return;
    }
    resumeReading(connection);
    parseInput(connection);
}

} // namespace citronpick::net
