#include "net/internal/exchangeserverimpl.h"

#include <algorithm>
#include <utility>

#include "net/internal/socketoptions.h"

// The part of ExchangeServer that accepts connections and reads requests.

namespace citronpick::net
{

namespace
{

//! A caller that reads a large answer slowly may read nothing for some seconds.
constexpr model::Duration unacknowledgedTimeout = model::seconds(8);
//! Requests up to this size, with their heads, are taken in any case.
constexpr size_t minRoomBytes = 4U << 10U;
//! A connection discards no more bytes than this.
constexpr size_t maxDiscardedBytes = 1U << 20U;

// Frees the memory of an empty buffer, because most connections stay open without traffic.
void releaseIfEmpty(h2o_buffer_t *&input)
{
    if (input->size == 0) {
        h2o_buffer_dispose(&input);
        h2o_buffer_init(&input, &h2o_socket_buffer_prototype);
    }
}

} // namespace

void ExchangeServer::Impl::pauseReading(Connection &connection)
{
    connection.isReadPaused = true;
    h2o_socket_read_stop(connection.socket);
}

void ExchangeServer::Impl::listen(ListenSocket socket)
{
    m_listener
        = h2o_evloop_socket_create(m_loop.handle(), socket.release(), H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, &Impl::onAccept);
}

// The system resets connections that were established but not accepted when their listener is
// closed, and their requests with them.
void ExchangeServer::Impl::stopListening()
{
    while (h2o_socket_t *socket = m_listener ? h2o_evloop_socket_accept(m_listener) : nullptr) {
        acceptConnection(socket);
    }
    closeListener();
}

void ExchangeServer::Impl::closeListener()
{
    if (m_listener) {
        h2o_socket_close(m_listener);
        m_listener = nullptr;
    }
}

void ExchangeServer::Impl::onAccept(h2o_socket_t *listener, const char *error)
{
    if (error) {
        return;
    }
    Impl &self = *static_cast<Impl *>(listener->data);
    constexpr int acceptsPerWakeup = 32;
    for (int i = 0; i < acceptsPerWakeup; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (!socket) {
            return;
        }
        self.acceptConnection(socket);
    }
}

void ExchangeServer::Impl::acceptConnection(h2o_socket_t *socket)
{
    if (!hasRoomForConnection() && !closeOldestIdle()) {
        ++m_roomCounters.unaccepted;
        h2o_socket_close(socket);
        return;
    }
    internal::setSocketOptions(socket, unacknowledgedTimeout);
    const uint64_t id = ++m_lastConnection;
    auto connection = std::make_unique<Connection>(*this, id, socket);
    connection->timeoutStart = EventLoop::now();
    socket->data = connection.get();
    h2o_socket_read_start(socket, &Impl::onRead);
    m_connections.emplace(id, std::move(connection));
    noteConnectionCount();
}

bool ExchangeServer::Impl::hasRoomForConnection() const
{
    return m_connections.size() < m_limits.maxConnections
           && (!m_connectionShare || m_connectionShare->hasRoomFor(1));
}

void ExchangeServer::Impl::noteConnectionCount()
{
    if (m_connectionShare) {
        m_connectionShare->setUsed(m_connections.size());
    }
}

void ExchangeServer::Impl::onRead(h2o_socket_t *socket, const char *error)
{
    Connection &connection = *static_cast<Connection *>(socket->data);
    Impl &self = connection.owner;
    self.handleReadable(connection, error != nullptr);
    // Each call looks at all connections.
    constexpr model::Duration roomInterval = model::milliseconds(1);
    if (self.m_heldBytes.isAboveLimit() && EventLoop::now() >= self.m_nextRoom) {
        self.m_nextRoom = EventLoop::now() + roomInterval;
        self.makeRoom(model::Duration::zero());
    }
}

void ExchangeServer::Impl::handleReadable(Connection &connection, bool hasEnded)
{
    if (connection.isLingering || connection.isRejected) {
        discardInput(connection);
        if (hasEnded || connection.discardedBytes > maxDiscardedBytes) {
            destroy(connection);
        }
        return;
    }
    if (hasEnded) {
        destroy(connection);
        return;
    }
    if (connection.exchange != 0) {
        receivePipelined(connection);
        return;
    }
    parseInput(connection);
}

void ExchangeServer::Impl::discardInput(Connection &connection)
{
    connection.discardedBytes += connection.socket->input->size;
    h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
    releaseIfEmpty(connection.socket->input);
    account(connection);
}

// The end of a connection becomes known only once all bytes before it have been read, so reading
// goes on while a request awaits its response.
void ExchangeServer::Impl::receivePipelined(Connection &connection)
{
    account(connection);
    const size_t maxPipelinedBytes = m_limits.maxHeadBytes + m_limits.maxBodyBytes;
    const bool isAboveShare
        = m_heldBytes.isAboveHighMark() && pipelinedBytes(connection) > m_heldBytes.smallShare();
    if (isAboveShare || pipelinedBytes(connection) > maxPipelinedBytes) {
        discardPipelined(connection);
    } else if (connection.discardsPipelined) {
        discardInput(connection);
    }
    if (connection.discardedBytes > maxDiscardedBytes) {
        pauseReading(connection);
    }
}

size_t ExchangeServer::Impl::pipelinedBytes(const Connection &connection)
{
    return connection.exchange != 0 && !connection.isRejected ? connection.socket->input->size : 0;
}

// The caller learns from the end of the connection that its later requests were not processed.
void ExchangeServer::Impl::discardPipelined(Connection &connection)
{
    const bool isFirst = !std::exchange(connection.discardsPipelined, true);
    if (isFirst) {
        ++m_roomCounters.refused;
        m_handler.onPipelinedDiscarded(connection.exchange, pipelinedBytes(connection));
    }
    connection.closesAfterWrite = true;
    discardInput(connection);
    if (isFirst) {
        connection.discardedBytes = 0;
    }
}

void ExchangeServer::Impl::parseInput(Connection &connection)
{
    h2o_buffer_t *&input = connection.socket->input;
    if (connection.exchange != 0 || input->size == 0) {
        return;
    }
    if (connection.parser.isAtStart()) {
        connection.timeoutStart = EventLoop::now();
        connection.request.startedAt = connection.timeoutStart;
        connection.parser.setMaxHeadBytes(m_limits.maxHeadBytes);
    }
    const size_t consumed = connection.parser.feed({input->bytes, input->size});
    h2o_buffer_consume(&input, consumed);
    releaseIfEmpty(input);
    account(connection);
    if (connection.parser.error() != ParseError::None) {
        constexpr uint16_t badRequest = 400;
        constexpr uint16_t headTooLarge = 431;
        reject(connection,
               connection.parser.error() == ParseError::HeadTooLarge ? headTooLarge : badRequest);
        return;
    }
    const MessageHead &head = connection.request.head;
    const size_t length
        = std::max<size_t>(head.contentLength.value_or(0), connection.request.body.size());
    if (connection.parser.isHeadComplete() && length > m_limits.maxBodyBytes) {
        constexpr uint16_t bodyTooLarge = 413;
        reject(connection, bodyTooLarge);
        return;
    }
    if (connection.parser.isComplete()) {
        dispatchRequest(connection);
    } else if (connection.parser.isHeadComplete() && !connection.hasSentContinue
               && headerValue(head.headers, "expect") == "100-continue") {
        connection.hasSentContinue = true;
        connection.queued += "HTTP/1.1 100 Continue\r\n\r\n";
        flush(connection);
    } else if (m_heldBytes.isAboveHighMark() && sumOf(connection.held) > m_heldBytes.smallShare()) {
        pauseReading(connection);
    }
}

void ExchangeServer::Impl::dispatchRequest(Connection &connection)
{
    // The event loop reports the end of a connection in the turn after its last bytes.
    if (internal::hasPeerClosed(connection.socket)) {
        m_handler.onRequestDropped(connection.request.head);
        destroy(connection);
        return;
    }
    const size_t bodyBytes = connection.request.body.size();
    const size_t bytes = bodyBytes + connection.headBytes;
    const bool isSmall = bytes <= m_heldBytes.smallShare();
    const bool hasRoom = isSmall ? bytes <= minRoomBytes || !m_heldBytes.isAboveLimit()
                                 : m_heldBytes.hasRoomFor(bytes);
    if (!hasRoom) {
        ++m_roomCounters.refused;
        rejectForRoom(connection);
        return;
    }
    connection.dispatchedBytes = bodyBytes;
    connection.exchange = ++m_lastExchange;
    connection.hadExchange = true;
    m_exchanges[connection.exchange] = &connection;
    connection.closesAfterWrite = !connection.request.head.isKeepAlive || m_closesAfterResponses;
    connection.isHeadRequest = connection.request.head.method == "HEAD";
    IncomingRequest request = std::move(connection.request);
    connection.request = {};
    connection.hasSentContinue = false;
    account(connection);
    m_handler.onRequest(connection.exchange, std::move(request));
}

void ExchangeServer::Impl::reject(Connection &connection, uint16_t status, const Headers &headers)
{
    connection.exchange = ++m_lastExchange;
    m_exchanges[connection.exchange] = &connection;
    connection.isHeadRequest = connection.request.head.method == "HEAD";
    connection.closesAfterWrite = true;
    connection.isRejected = true;
    // An assignment would keep the memory of the body.
    IncomingRequest released;
    std::swap(connection.request, released);
    connection.headBytes = 0;
    h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
    releaseIfEmpty(connection.socket->input);
    // What still arrives is discarded.
    resumeReading(connection);
    respond(connection.exchange, status, headers, {});
}

void ExchangeServer::Impl::resumeReading(Connection &connection)
{
    if (connection.isReadPaused) {
        connection.isReadPaused = false;
        h2o_socket_read_start(connection.socket, &Impl::onRead);
    }
}

} // namespace citronpick::net
