#include "net/exchangeserver.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <vector>

#include <linux/sockios.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "net/internal/socketoptions.h"
#include "net/statustext.h"

namespace citronpick::net
{

namespace
{

//! Limit on buffered bytes of pipelined requests; beyond it, reading from the connection pauses.
constexpr size_t maxPipelinedBytes = 64U << 10U;
//! Time for which a connection lingers after its last response, so that the caller can read the
//! response before the socket is closed.
constexpr model::Duration lingerTimeout = model::seconds(2);
//! A caller that reads a large answer slowly may read nothing for some seconds.
constexpr model::Duration unacknowledgedTimeout = model::seconds(8);
//! A lingering connection discards no more bytes than this.
constexpr size_t maxLingerBytes = 1U << 20U;
//! Above the high mark, a connection without progress for this long is refused or closed.
constexpr model::Duration stalledPeriod = model::seconds(1);
//! A request and its copy for the upstream.
constexpr size_t copiesOfBody = 2;

// Frees the memory of an empty buffer, because most connections stay open without traffic.
void releaseIfEmpty(h2o_buffer_t *&input)
{
    if (input->size == 0) {
        h2o_buffer_dispose(&input);
        h2o_buffer_init(&input, &h2o_socket_buffer_prototype);
    }
}

// Short texts need no memory of their own.
size_t heapBytes(const std::string &text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

size_t queueBytes(h2o_socket_t *socket, unsigned long request)
{
    int bytes = 0;
    const int result = ioctl(h2o_socket_get_fd(socket), request, &bytes);
    return result == 0 && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

size_t unreadBytes(h2o_socket_t *socket)
{
    return queueBytes(socket, FIONREAD);
}

} // namespace

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

class ExchangeServer::Impl
{
public:
    Impl(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits,
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

    ~Impl()
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

    struct Connection final : IMessageSink {
        Connection(Impl &server, uint64_t number, h2o_socket_t *acceptedSocket)
            : owner(server)
            , id(number)
            , socket(acceptedSocket)
            , parser(MessageParser::Kind::Request, *this)
        {
        }

        void onHead(MessageHead head) override
        {
            request.head = std::move(head);
        }
        void onBody(std::string_view bytes) override
        {
            request.body.append(bytes);
        }
        void onComplete() override
        {
        }

        Impl &owner;
        uint64_t id;
        h2o_socket_t *socket;
        MessageParser parser;
        IncomingRequest request;
        uint64_t exchange = 0; //!< Zero while no request awaits its response.
        std::string requestName; //!< Of the last request.
        std::string sending; //!< Passed to the socket.
        std::string queued; //!< To be sent once the current write has completed.
        bool isHeadRequest = false;
        bool hasBody = true; //!< The current response may have a body.
        bool isChunked = false;
        bool isWriting = false;
        bool isReadPaused = false;
        bool closesAfterWrite = false;
        bool isLingering = false;
        bool isRejected = false; //!< What follows is discarded.
        size_t lingerBytes = 0; //!< Bytes discarded after a rejection or while lingering.
        size_t dispatchedBytes = 0; //!< Body of the request that awaits its response.
        HeldBytes held {}; //!< As reported to the budget.
        bool hasSentContinue = false;
        bool hadExchange = false;
        //! When the current timeout began: at the accept, the first byte of a request, the end of a
        //! response, or the start of lingering.
        model::TimePoint timeoutStart;
        model::TimePoint takenAt; //!< When the caller last took bytes, or a write began.

        bool isReceiving() const
        {
            return exchange == 0 && !isLingering && !isRejected && !parser.isAtStart();
        }
        bool isSilent() const
        {
            return !hadExchange && exchange == 0 && !isWriting && !parser.isHeadComplete();
        }
    };

    // Must be called after each change of what the connection holds.
    void account(Connection &connection)
    {
        const h2o_buffer_t *input = connection.socket->input;
        const size_t unread = connection.isReadPaused ? unreadBytes(connection.socket) : 0;
        const size_t inputBytes = input->size == 0 ? 0 : input->capacity;
        m_heldBytes.update(
            connection.held,
            {inputBytes + unread, connection.parser.headBytes(),
             heapBytes(connection.request.body) + copiesOfBody * connection.dispatchedBytes,
             heapBytes(connection.queued) + heapBytes(connection.sending)});
    }

    void pauseReading(Connection &connection)
    {
        connection.isReadPaused = true;
        h2o_socket_read_stop(connection.socket);
    }

    // Refuses or closes the connections that hold most for longest, but none that waits for its
    // response.
    void makeRoom(model::Duration minAge)
    {
        const model::TimePoint now = EventLoop::now();
        std::vector<RoomCandidate> candidates;
        for (const auto &[id, connection] : m_connections) {
            const bool isReceiving = connection->isReceiving();
            const model::Duration age
                = now - (isReceiving ? connection->timeoutStart : connection->takenAt);
            const size_t bytes = sumOf(connection->held);
            if ((isReceiving || connection->isWriting) && age >= minAge
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

    void closeForRoom(uint64_t id)
    {
        const auto it = m_connections.find(id);
        if (it == m_connections.end()) {
            return;
        }
        Connection &connection = *it->second;
        if (connection.isReceiving()) {
            ++m_roomCounters.refused;
            rejectForRoom(connection);
        } else if (connection.isWriting) {
            ++m_roomCounters.slowReaders;
            cut(connection, CloseReason::NoRoom);
        }
    }

    void rejectForRoom(Connection &connection)
    {
        constexpr uint16_t unavailable = 503;
        reject(connection, unavailable, {{.name = "retry-after", .value = "1"}});
    }

    // At the maximum number of connections, closes the oldest one that never sent a request.
    bool closeOldestSilent()
    {
        Connection *oldest = nullptr;
        for (const auto &[id, connection] : m_connections) {
            if (connection->isSilent()
                && (!oldest || connection->timeoutStart < oldest->timeoutStart)) {
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

    void listen(ListenSocket socket)
    {
        m_listener = h2o_evloop_socket_create(m_loop.handle(), socket.release(),
                                              H2O_SOCKET_FLAG_DONT_READ);
        m_listener->data = this;
        h2o_socket_read_start(m_listener, &Impl::onAccept);
    }

    // The system resets connections that were established but not accepted when their listener is
    // closed, and their requests with them.
    void stopListening()
    {
        while (h2o_socket_t *socket = m_listener ? h2o_evloop_socket_accept(m_listener) : nullptr) {
            acceptConnection(socket);
        }
        closeListener();
    }

    void closeListener()
    {
        if (m_listener) {
            h2o_socket_close(m_listener);
            m_listener = nullptr;
        }
    }

    static void onAccept(h2o_socket_t *listener, const char *error)
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

    void acceptConnection(h2o_socket_t *socket)
    {
        if (!hasRoomForConnection() && !closeOldestSilent()) {
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

    bool hasRoomForConnection() const
    {
        return m_connections.size() < m_limits.maxConnections
               && (!m_connectionShare || m_connectionShare->hasRoomFor(1));
    }

    void noteConnectionCount()
    {
        if (m_connectionShare) {
            m_connectionShare->setUsed(m_connections.size());
        }
    }

    static void onRead(h2o_socket_t *socket, const char *error)
    {
        Connection &connection = *static_cast<Connection *>(socket->data);
        Impl &self = connection.owner;
        self.handleReadable(connection, error != nullptr);
        if (self.m_heldBytes.isAboveLimit()) {
            self.makeRoom(model::Duration::zero());
        }
    }

    void handleReadable(Connection &connection, bool hasEnded)
    {
        if (connection.isLingering || connection.isRejected) {
            connection.lingerBytes += connection.socket->input->size;
            h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
            releaseIfEmpty(connection.socket->input);
            account(connection);
            if (hasEnded || connection.lingerBytes > maxLingerBytes) {
                destroy(connection);
            }
            return;
        }
        if (hasEnded) {
            destroy(connection);
            return;
        }
        if (connection.exchange != 0) {
            if (connection.socket->input->size > maxPipelinedBytes) {
                pauseReading(connection);
            }
            account(connection);
            return;
        }
        parseInput(connection);
    }

    void parseInput(Connection &connection)
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
            reject(connection, connection.parser.error() == ParseError::HeadTooLarge ? headTooLarge
                                                                                     : badRequest);
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
        } else if (m_heldBytes.isAboveHighMark()
                   && sumOf(connection.held) > m_heldBytes.smallShare()) {
            pauseReading(connection);
        }
    }

    void dispatchRequest(Connection &connection)
    {
        const size_t bodyBytes = connection.request.body.size();
        const bool isSmall = bodyBytes <= m_heldBytes.smallShare();
        if (!isSmall && !m_heldBytes.hasRoomFor(bodyBytes)) {
            ++m_roomCounters.refused;
            rejectForRoom(connection);
            return;
        }
        connection.dispatchedBytes = bodyBytes;
        connection.exchange = ++m_lastExchange;
        connection.hadExchange = true;
        m_exchanges[connection.exchange] = &connection;
        connection.closesAfterWrite
            = !connection.request.head.isKeepAlive || m_closesAfterResponses;
        connection.isHeadRequest = connection.request.head.method == "HEAD";
        IncomingRequest request = std::move(connection.request);
        connection.request = {};
        connection.hasSentContinue = false;
        if (connection.socket->input->size > maxPipelinedBytes) {
            pauseReading(connection);
        }
        account(connection);
        m_handler.onRequest(connection.exchange, std::move(request));
    }

    void reject(Connection &connection, uint16_t status, const Headers &headers = {})
    {
        connection.exchange = ++m_lastExchange;
        m_exchanges[connection.exchange] = &connection;
        connection.isHeadRequest = connection.request.head.method == "HEAD";
        connection.closesAfterWrite = true;
        connection.isRejected = true;
        // An assignment would keep the memory of the body.
        IncomingRequest released;
        std::swap(connection.request, released);
        h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
        releaseIfEmpty(connection.socket->input);
        // What still arrives is discarded.
        resumeReading(connection);
        respond(connection.exchange, status, headers, {});
    }

    Connection *find(uint64_t exchange) const
    {
        const auto it = m_exchanges.find(exchange);
        return it == m_exchanges.end() ? nullptr : it->second;
    }

    void appendHead(Connection &connection, uint16_t status, const Headers &headers,
                    std::optional<uint64_t> length)
    {
        connection.closesAfterWrite = connection.closesAfterWrite || m_closesAfterResponses;
        absl::StrAppend(&connection.queued, "HTTP/1.1 ", status, " ",
                        std::string(statusText(status)), "\r\n");
        for (const Header &header : headers) {
            appendHeader(connection.queued, header.name, header.value);
        }
        constexpr uint16_t noContent = 204;
        constexpr uint16_t notModified = 304;
        connection.hasBody
            = !connection.isHeadRequest && status != noContent && status != notModified;
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

    void respond(uint64_t exchange, uint16_t status, const Headers &headers, std::string_view body)
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

    void begin(uint64_t exchange, uint16_t status, const Headers &headers,
               std::optional<uint64_t> length)
    {
        if (Connection *connection = find(exchange)) {
            appendHead(*connection, status, headers, length);
            flush(*connection);
        }
    }

    void write(uint64_t exchange, std::string_view bytes)
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

    void end(uint64_t exchange)
    {
        if (Connection *connection = find(exchange)) {
            if (connection->isChunked) {
                connection->queued += "0\r\n\r\n";
            }
            finish(*connection);
        }
    }

    void abort(uint64_t exchange)
    {
        if (Connection *connection = find(exchange)) {
            m_exchanges.erase(exchange);
            connection->exchange = 0;
            destroy(*connection);
        }
    }

    void finish(Connection &connection)
    {
        m_exchanges.erase(connection.exchange);
        connection.exchange = 0;
        connection.dispatchedBytes = 0;
        connection.parser.reset();
        connection.timeoutStart = EventLoop::now();
        flush(connection);
    }

    void flush(Connection &connection)
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

    static void onWritten(h2o_socket_t *socket, const char *error)
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
    void afterWrite(Connection &connection)
    {
        if (connection.exchange != 0 || connection.isLingering) {
            return;
        }
        if (connection.closesAfterWrite) {
            // Closing a socket that holds unread bytes would reset the connection before the
            // caller has received the response.
            connection.isLingering = true;
            connection.timeoutStart = EventLoop::now();
            h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
            shutdown(h2o_socket_get_fd(connection.socket), SHUT_WR);
            resumeReading(connection);
            return;
        }
        resumeReading(connection);
        parseInput(connection);
    }

    void resumeReading(Connection &connection)
    {
        if (connection.isReadPaused) {
            connection.isReadPaused = false;
            h2o_socket_read_start(connection.socket, &Impl::onRead);
        }
    }

    void reportCut(const Connection &connection, CloseReason reason)
    {
        const CutConnection cut {
            .request = connection.requestName,
            .reason = reason,
            .isResponseOpen = connection.exchange != 0,
            .unsentBytes = connection.queued.size() + connection.sending.size(),
            .unacknowledgedBytes = queueBytes(connection.socket, SIOCOUTQ),
            .unreadBytes = connection.isLingering ? 0 : unreadBytes(connection.socket)};
        // Callers acknowledge late, so that unacknowledged bytes alone show nothing.
        if (cut.isResponseOpen || cut.unsentBytes + cut.unreadBytes > 0) {
            m_handler.onConnectionCut(cut);
        }
    }

    void reportUnfinished()
    {
        for (const auto &[id, connection] : m_connections) {
            reportCut(*connection, CloseReason::ProcessEnds);
        }
    }

    void cut(Connection &connection, CloseReason reason)
    {
        reportCut(connection, reason);
        destroy(connection);
    }

    void destroy(Connection &connection)
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

    void sweep(model::TimePoint now)
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
    static bool hasUnreadRequest(const Connection &connection)
    {
        return connection.exchange == 0 && !connection.isLingering && connection.parser.isAtStart()
               && unreadBytes(connection.socket) > 0;
    }

    // Bytes that arrive while reading is paused are counted here.
    void controlReading()
    {
        std::vector<Connection *> resumed;
        for (const auto &[id, connection] : m_connections) {
            if (connection->isReadPaused) {
                account(*connection);
                if (connection->exchange == 0 && !m_heldBytes.isAboveHighMark()) {
                    resumed.push_back(connection.get());
                }
            }
        }
        for (Connection *connection : resumed) {
            resumeReading(*connection);
        }
    }

    model::Duration timeoutOf(const Connection &connection) const
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

    EventLoop &m_loop;
    IExchangeHandler &m_handler;
    ExchangeLimits m_limits;
    HeldBytesBudget m_heldBytes;
    std::optional<SharedLimit::Share> m_connectionShare;
    RoomCounters m_roomCounters;
    h2o_socket_t *m_listener = nullptr;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Connection>> m_connections;
    absl::flat_hash_map<uint64_t, Connection *> m_exchanges;
    uint64_t m_lastConnection = 0;
    uint64_t m_lastExchange = 0;
    bool m_closesAfterResponses = false;
};

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
