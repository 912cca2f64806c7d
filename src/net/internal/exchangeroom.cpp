#include "net/internal/exchangeserverimpl.h"

#include <algorithm>
#include <vector>

#include "net/internal/socketoptions.h"

// The part of ExchangeServer that counts what connections hold, and ends those that hold too much
// or take too long.

namespace citronpick::net
{

namespace
{

//! Time for which a connection lingers after its last response, so that the caller can read the
//! response before the socket is closed.
constexpr model::Duration lingerTimeout = model::seconds(2);
//! Above the high mark, a connection without progress for this long is refused or closed.
constexpr model::Duration stalledPeriod = model::seconds(1);
//! A request and its copy for the upstream.
constexpr size_t copiesOfBody = 2;

// Short texts need no memory of their own.
size_t heapBytes(const std::string &text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

} // namespace

// Must be called after each change of what the connection holds.
void ExchangeServer::Impl::account(Connection &connection)
{
    const h2o_buffer_t *input = connection.socket->input;
    const size_t unread = connection.isReadPaused ? internal::unreadBytes(connection.socket) : 0;
    const size_t inputBytes = input->size == 0 ? 0 : input->capacity;
    m_heldBytes.update(
        connection.held,
        {inputBytes + unread, connection.parser.headBytes() + connection.headBytes,
         heapBytes(connection.request.body) + copiesOfBody * connection.dispatchedBytes,
         heapBytes(connection.queued) + heapBytes(connection.sending)});
}

// Refuses or closes the connections that hold most for longest, but none that waits for its
// response: of these, later requests are discarded.
void ExchangeServer::Impl::makeRoom(model::Duration minAge)
{
    const model::TimePoint now = EventLoop::now();
    std::vector<RoomCandidate> candidates;
    for (const auto &[id, connection] : m_connections) {
        const bool isReceiving = connection->isReceiving();
        const bool isPipelining = pipelinedBytes(*connection) > m_heldBytes.smallShare();
        const model::Duration age
            = now - (isReceiving ? connection->timeoutStart : connection->takenAt);
        const size_t bytes = sumOf(connection->held);
        if ((isReceiving || isPipelining || connection->isWriting) && age >= minAge
            && bytes > m_heldBytes.smallShare()) {
            candidates.push_back({.id = id, .bytes = bytes, .age = age});
        }
    }
    std::sort(candidates.begin(), candidates.end(), holdsMore);
    for (const RoomCandidate &candidate : candidates) {
        if (!m_heldBytes.isAboveHighMark()) {
            return;
        }
        closeForRoom(candidate.id);
    }
}

void ExchangeServer::Impl::closeForRoom(uint64_t id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end()) {
        return;
    }
    Connection &connection = *it->second;
    if (pipelinedBytes(connection) > m_heldBytes.smallShare()) {
        discardPipelined(connection);
    } else if (connection.isReceiving()) {
        ++m_roomCounters.refused;
        rejectForRoom(connection);
    } else if (connection.isWriting) {
        ++m_roomCounters.slowReaders;
        cut(connection, CloseReason::NoRoom);
    }
}

void ExchangeServer::Impl::rejectForRoom(Connection &connection)
{
    constexpr uint16_t unavailable = 503;
    reject(connection, unavailable, {{.name = "retry-after", .value = "1"}});
}

// At the maximum number of connections, closes the oldest one that never sent a request, or else
// the one that has been idle for longest.
bool ExchangeServer::Impl::closeOldestIdle()
{
    return closeOldest([](const Connection &connection) { return connection.isSilent(); })
           || closeOldest([](const Connection &connection) { return connection.isIdle(); });
}

bool ExchangeServer::Impl::closeOldest(const std::function<bool(const Connection &)> &isEligible)
{
    Connection *oldest = nullptr;
    for (const auto &[id, connection] : m_connections) {
        if ((!oldest || connection->timeoutStart < oldest->timeoutStart) && isEligible(*connection)
            && !hasUnreadRequest(*connection)) {
            oldest = connection.get();
        }
    }
    if (!oldest) {
        return false;
    }
    ++m_roomCounters.silent;
    cut(*oldest, CloseReason::NoRoom);
    return true;
}

void ExchangeServer::Impl::sweep(model::TimePoint now)
{
    controlReading();
    if (m_heldBytes.isAboveHighMark()) {
        makeRoom(m_heldBytes.isAboveLimit() ? model::Duration::zero() : stalledPeriod);
    }
    std::vector<Connection *> expired;
    for (const auto &[id, connection] : m_connections) {
        if (now >= connection->timeoutStart + timeoutOf(*connection)
            && !hasUnreadRequest(*connection)) {
            expired.push_back(connection.get());
        }
    }
    for (Connection *connection : expired) {
        const bool isReading = !connection->isLingering && connection->exchange == 0
                               && !connection->parser.isAtStart();
        if (isReading) {
            constexpr uint16_t requestTimeout = 408;
            reject(*connection, requestTimeout);
        } else {
            cut(*connection, CloseReason::TimedOut);
        }
    }
}

// Closing the connection would reset it, and the caller could not tell whether its request ran.
bool ExchangeServer::Impl::hasUnreadRequest(const Connection &connection)
{
    return connection.exchange == 0 && !connection.isLingering && connection.parser.isAtStart()
           && internal::unreadBytes(connection.socket) > 0;
}

std::vector<uint64_t> ExchangeServer::Impl::departedExchanges() const
{
    std::vector<uint64_t> exchanges;
    std::vector<h2o_socket_t *> sockets;
    for (const auto &[exchange, connection] : m_exchanges) {
        exchanges.push_back(exchange);
        sockets.push_back(connection->socket);
    }
    const std::vector<bool> haveClosed = internal::havePeersClosed(sockets);
    std::vector<uint64_t> departed;
    for (size_t i = 0; i < exchanges.size(); ++i) {
        if (haveClosed[i]) {
            departed.push_back(exchanges[i]);
        }
    }
    return departed;
}

// Bytes that arrive while reading is paused are counted here, and callers that leave are noticed.
void ExchangeServer::Impl::controlReading()
{
    std::vector<Connection *> resumed;
    std::vector<uint64_t> left;
    for (const auto &[id, connection] : m_connections) {
        if (connection->isReadPaused) {
            account(*connection);
            if (connection->exchange == 0 && !m_heldBytes.isAboveHighMark()) {
                resumed.push_back(connection.get());
            } else if (connection->exchange != 0 && internal::hasPeerClosed(connection->socket)) {
                left.push_back(connection->exchange);
            }
        }
    }
    for (Connection *connection : resumed) {
        resumeReading(*connection);
    }
    for (const uint64_t exchange : left) {
        if (Connection *connection = find(exchange)) {
            destroy(*connection);
        }
    }
}

model::Duration ExchangeServer::Impl::timeoutOf(const Connection &connection) const
{
    // In effect no timeout, while a request awaits its response or bytes are being sent.
    constexpr model::Duration unlimited = model::seconds(86400);
    if (connection.isLingering) {
        return lingerTimeout;
    }
    if (connection.exchange != 0 || connection.isWriting) {
        return unlimited;
    }
    if (connection.parser.isAtStart()) {
        return m_limits.idleTimeout;
    }
    // Receiving a request body is bounded by the idle timeout.
    return connection.parser.isHeadComplete() ? m_limits.idleTimeout : m_limits.headTimeout;
}

} // namespace citronpick::net
