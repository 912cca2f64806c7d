#include "net/exchangeserver.h"

#include <algorithm>

#include "net/internal/exchangeserverimpl.h"
#include "net/internal/socketoptions.h"

namespace citronpick::net
{

std::string_view toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::WriteFailed:
        return "write-failed";
    case CloseReason::TimedOut:
        return "timed-out";
    case CloseReason::NoRoom:
        return "no-room";
    case CloseReason::ProcessEnds:
        return "process-ends";
    }
    return "timed-out";
}

ExchangeServer::Impl::Impl(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits,
                           const ListenerLimits &shared)
    : m_loop(loop)
    , m_handler(handler)
    , m_limits(limits)
    , m_heldBytes(limits.maxHeldBytes, shared.heldBytes, shared.heldBytesReserve)
{
    if (shared.connections) {
        m_connectionShare.emplace(*shared.connections, shared.connectionReserve);
    }
}

ExchangeServer::Impl::~Impl()
{
    closeListener();
    // The handler is being destroyed as well and must not be notified.
    for (const auto &[id, connection] : m_connections) {
        connection->exchange = 0;
    }
    while (!m_connections.empty()) {
        destroy(*m_connections.begin()->second);
    }
}

void ExchangeServer::Impl::reportCut(const Connection &connection, CloseReason reason)
{
    const CutConnection cut {
        .request = connection.requestName,
        .reason = reason,
        .isResponseOpen = connection.exchange != 0,
        .unsentBytes = connection.queued.size() + connection.sending.size(),
        .unacknowledgedBytes = internal::unacknowledgedBytes(connection.socket),
        .unreadBytes = connection.isLingering ? 0 : internal::unreadBytes(connection.socket)};
    // Callers acknowledge late, so that unacknowledged bytes alone show nothing.
    if (cut.isResponseOpen || cut.unsentBytes + cut.unreadBytes > 0) {
        m_handler.onConnectionCut(cut);
    }
}

void ExchangeServer::Impl::reportUnfinished()
{
    for (const auto &[id, connection] : m_connections) {
        reportCut(*connection, CloseReason::ProcessEnds);
    }
}

void ExchangeServer::Impl::cut(Connection &connection, CloseReason reason)
{
    reportCut(connection, reason);
    destroy(connection);
}

void ExchangeServer::Impl::destroy(Connection &connection)
{
    const uint64_t exchange = connection.exchange;
    m_exchanges.erase(exchange);
    const auto it = m_connections.find(connection.id);
    const std::unique_ptr<Connection> owned = std::move(it->second);
    m_connections.erase(it);
    noteConnectionCount();
    m_heldBytes.update(owned->held, {});
    h2o_socket_close(owned->socket);
    if (exchange != 0) {
        m_handler.onCallerDisconnected(exchange);
    }
}

ExchangeServer::ExchangeServer(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits,
                               const ListenerLimits &shared)
    : m_impl(std::make_unique<Impl>(loop, handler, limits, shared))
{
}

ExchangeServer::~ExchangeServer() = default;

void ExchangeServer::listen(ListenSocket socket)
{
    m_impl->listen(std::move(socket));
}

void ExchangeServer::stopListening()
{
    m_impl->stopListening();
}

void ExchangeServer::setLimits(const ExchangeLimits &limits)
{
    m_impl->m_limits = limits;
    m_impl->m_heldBytes.setLimit(limits.maxHeldBytes);
}

void ExchangeServer::closeAfterResponses()
{
    m_impl->m_closesAfterResponses = true;
}

void ExchangeServer::respond(uint64_t exchange, uint16_t status, const Headers &headers,
                             std::string_view body)
{
    m_impl->respond(exchange, status, headers, body);
}

void ExchangeServer::begin(uint64_t exchange, uint16_t status, const Headers &headers,
                           std::optional<uint64_t> length)
{
    m_impl->begin(exchange, status, headers, length);
}

void ExchangeServer::write(uint64_t exchange, std::string_view bytes)
{
    m_impl->write(exchange, bytes);
}

void ExchangeServer::end(uint64_t exchange)
{
    m_impl->end(exchange);
}

void ExchangeServer::abort(uint64_t exchange)
{
    m_impl->abort(exchange);
}

bool ExchangeServer::endIfCallerLeft(uint64_t exchange)
{
    Impl::Connection *connection = m_impl->find(exchange);
    if (!connection || !internal::hasPeerClosed(connection->socket)) {
        return false;
    }
    m_impl->destroy(*connection);
    return true;
}

void ExchangeServer::endDeparted()
{
    for (const uint64_t exchange : m_impl->departedExchanges()) {
        if (Impl::Connection *connection = m_impl->find(exchange)) {
            m_impl->destroy(*connection);
        }
    }
}

void ExchangeServer::nameRequest(uint64_t exchange, std::string name)
{
    if (Impl::Connection *connection = m_impl->find(exchange)) {
        connection->requestName = std::move(name);
    }
}

void ExchangeServer::reportUnfinished()
{
    m_impl->reportUnfinished();
}

uint64_t ExchangeServer::connectionOf(uint64_t exchange) const
{
    const auto it = m_impl->m_exchanges.find(exchange);
    return it == m_impl->m_exchanges.end() ? 0 : it->second->id;
}

size_t ExchangeServer::buffered(uint64_t exchange) const
{
    const Impl::Connection *connection = m_impl->find(exchange);
    return connection ? connection->queued.size() + connection->sending.size() : 0;
}

void ExchangeServer::sweep(model::TimePoint now)
{
    m_impl->sweep(now);
}

bool ExchangeServer::hasUnsentResponses() const
{
    return std::any_of(m_impl->m_connections.begin(), m_impl->m_connections.end(),
                       [](const auto &entry) { return entry.second->isWriting; });
}

HeldBytesBudget &ExchangeServer::heldBytes()
{
    return m_impl->m_heldBytes;
}

const RoomCounters &ExchangeServer::roomCounters() const
{
    return m_impl->m_roomCounters;
}

size_t ExchangeServer::connectionCount() const
{
    return m_impl->m_connections.size();
}

size_t ExchangeServer::exchangeCount() const
{
    return m_impl->m_exchanges.size();
}

} // namespace citronpick::net
