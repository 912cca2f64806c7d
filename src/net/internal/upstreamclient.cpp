#include "net/upstreamclient.h"

#include <arpa/inet.h>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "net/internal/socketoptions.h"

namespace citronpick::net
{

namespace
{

//! Used if the server announces no keep-alive timeout, and as an upper limit. Shorter than the idle
//! timeouts that servers commonly use.
constexpr model::Duration defaultIdleTimeout = model::seconds(4);
//! Subtracted from an announced keep-alive timeout to allow for network latency and late timers.
constexpr model::Duration idleTimeoutMargin = model::milliseconds(700);
//! Enough for the concurrent calls of one daemon to one upstream.
constexpr size_t maxIdleConnectionsPerEndpoint = 8;
//! Long enough for several retransmissions on a link with packet loss.
constexpr model::Duration unacknowledgedTimeout = model::seconds(3);
//! Responses to earlier requests are discarded up to this size, so that one without an end cannot
//! occupy a call until its timeout.
constexpr uint64_t maxStaleBytes = 1U << 20U;
//! Upper bound of the incomplete heads of all calls together. Beyond it, a head
//! ends its call if it is larger than those of sound responses.
constexpr size_t maxOpenHeadBytes = 4U << 20U;
constexpr size_t usualHeadBytes = 4U << 10U;

model::Duration idleTimeoutOf(const Headers &headers)
{
    const std::string value = headerValue(headers, "keep-alive");
    const size_t at = value.find("timeout=");
    if (at == std::string::npos) {
        return defaultIdleTimeout;
    }
    constexpr size_t nameLength = 8;
    int64_t announcedSeconds = 0;
    const char *begin = value.data() + at + nameLength;
    const auto result = std::from_chars(begin, value.data() + value.size(), announcedSeconds);
    if (result.ec != std::errc() || announcedSeconds < 0) {
        return defaultIdleTimeout;
    }
    constexpr int64_t maxAnnouncedSeconds = 3600;
    return std::min(defaultIdleTimeout,
                    model::seconds(std::min(announcedSeconds, maxAnnouncedSeconds))
                        - idleTimeoutMargin);
}

} // namespace

std::string_view toString(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NotSent:
        return "not-sent";
    case CallFailure::ConnectionLost:
        return "broken";
    case CallFailure::Malformed:
        return "malformed";
    case CallFailure::TimedOut:
        return "timed-out";
    case CallFailure::TooLarge:
        return "too-large";
    }
    return "broken";
}

class UpstreamClient::Impl
{
public:
    explicit Impl(EventLoop &loop)
        : m_loop(loop)
    {
    }

    ~Impl()
    {
        while (!m_connections.empty()) {
            close(*m_connections.begin()->second);
        }
    }

    struct Connection final : IMessageSink {
        Connection(Impl &client, uint64_t number, config::Endpoint endpoint)
            : owner(client)
            , id(number)
            , to(std::move(endpoint))
            , parser(MessageParser::Kind::Response, *this)
        {
        }

        void onHead(MessageHead head) override
        {
            isKeepAlive = head.isKeepAlive;
            idleTimeout = idleTimeoutOf(head.headers);
            if (!correlationHeader.empty()) {
                const std::string named = headerValue(head.headers, correlationHeader);
                isStaleResponse = !named.empty() && named != correlationValue;
                isUnattributable = named.empty() && isReused;
            }
            if (!isStaleResponse && !isUnattributable) {
                handler->onHead(call, head);
            }
        }
        void onBody(std::string_view bytes) override
        {
            if (isStaleResponse) {
                staleBytes += bytes.size();
                return;
            }
            bodyBytes += bytes.size();
            if (call != 0 && !isUnattributable && bodyBytes <= maxBodyBytes) {
                handler->onBody(call, bytes);
            }
        }
        void onComplete() override
        {
        }

        Impl &owner;
        uint64_t id;
        config::Endpoint to;
        h2o_socket_t *socket = nullptr;
        MessageParser parser;
        uint64_t call = 0; //!< Zero while idle.
        IUpstreamHandler *handler = nullptr;
        std::string correlationHeader;
        std::string correlationValue;
        std::string requestBytes;
        uint64_t maxBodyBytes = 0;
        uint64_t bodyBytes = 0;
        uint64_t staleBytes = 0;
        size_t openHeadBytes = 0; //!< Of the response head, until it is complete.
        bool isConnected = false;
        bool isWriting = false;
        bool isStaleResponse = false; //!< The current response belongs to an earlier request.
        bool isReused = false; //!< Had a call before the current one.
        //! The current response names no request, and may belong to any that the connection had.
        bool isUnattributable = false;
        bool hadStaleResponse = false; //!< A response to an earlier request was discarded.
        bool isKeepAlive = false;
        ConnectionGroup group = ConnectionGroup::Default;
        bool isInCallback = false;
        bool isCancelled = false; //!< The call was cancelled by its own callback.
        bool isPaused = false;
        model::Duration idleTimeout {};
        model::TimePoint connectDeadline;
        model::TimePoint callDeadline;
        model::TimePoint idleDeadline;
    };

    uint64_t start(UpstreamCall call, IUpstreamHandler &handler)
    {
        const uint64_t number = ++m_lastCall;
        const model::TimePoint now = EventLoop::now();
        Connection *connection
            = call.needsFreshConnection ? nullptr : acquireIdle({call.to, call.group}, now);
        const bool isNew = connection == nullptr;
        if (isNew) {
            auto created = std::make_unique<Connection>(*this, ++m_lastConnection, call.to);
            connection = created.get();
            m_connections.emplace(connection->id, std::move(created));
        }
        connection->isReused = !isNew;
        connection->call = number;
        connection->handler = &handler;
        connection->correlationHeader = std::move(call.correlationHeader);
        connection->correlationValue = std::move(call.correlationValue);
        connection->group = call.group;
        connection->maxBodyBytes = call.maxBodyBytes;
        connection->bodyBytes = 0;
        connection->connectDeadline = now + call.connectTimeout;
        connection->callDeadline = now + call.timeout;
        connection->parser.reset();
        connection->parser.setExpectsNoBody(call.method == "HEAD");
        connection->requestBytes = serialize(call);
        m_calls[number] = connection;
        if (isNew) {
            connect(*connection);
        } else {
            send(*connection);
        }
        return number;
    }

    static std::string serialize(const UpstreamCall &call)
    {
        std::string text;
        constexpr size_t headEstimate = 512;
        text.reserve(headEstimate + call.body.size());
        absl::StrAppend(&text, call.method, " ", call.target, " HTTP/1.1\r\n");
        bool hasHost = false;
        for (const Header &header : call.headers) {
            hasHost = hasHost || header.name == "host";
            appendHeader(text, header.name, header.value);
        }
        if (!hasHost) {
            absl::StrAppend(&text, "host: ", call.to.host, ":", call.to.port, "\r\n");
        }
        if (call.hasBody) {
            absl::StrAppend(&text, "content-length: ", call.body.size(), "\r\n");
        }
        text += "\r\n";
        text += call.body;
        return text;
    }

    using IdleKey = std::pair<config::Endpoint, ConnectionGroup>;

    Connection *acquireIdle(const IdleKey &key, model::TimePoint now)
    {
        const auto it = m_idle.find(key);
        if (it == m_idle.end()) {
            return nullptr;
        }
        while (!it->second.empty()) {
            Connection *connection = it->second.back();
            it->second.pop_back();
            --m_idleCount;
            if (now < connection->idleDeadline) {
                return connection;
            }
            close(*connection);
        }
        return nullptr;
    }

    void connect(Connection &connection)
    {
        ++m_connectsStarted;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(connection.to.port);
        const bool isIpv4Address
            = inet_pton(AF_INET, connection.to.host.c_str(), &address.sin_addr) == 1;
        if (isIpv4Address) {
            connection.socket
                = h2o_socket_connect(m_loop.handle(), reinterpret_cast<sockaddr *>(&address),
                                     sizeof(address), &Impl::onConnect);
        }
        if (!connection.socket) {
            // The next sweep() reports the failure, as callbacks are never called from start().
            connection.connectDeadline = model::TimePoint::min();
            return;
        }
        connection.socket->data = &connection;
    }

    static void onConnect(h2o_socket_t *socket, const char *error)
    {
        Connection &connection = *static_cast<Connection *>(socket->data);
        if (error) {
            connection.owner.fail(connection, CallFailure::NotSent);
            return;
        }
        connection.isInCallback = true;
        connection.handler->onConnected(connection.call);
        connection.isInCallback = false;
        if (connection.isCancelled) {
            connection.owner.close(connection);
            return;
        }
        connection.isConnected = true;
        internal::setSocketOptions(socket, unacknowledgedTimeout);
        connection.owner.send(connection);
        if (!connection.isPaused) {
            h2o_socket_read_start(socket, &Impl::onRead);
        }
    }

    void send(Connection &connection)
    {
        connection.isWriting = true;
        h2o_iovec_t buffer
            = h2o_iovec_init(connection.requestBytes.data(), connection.requestBytes.size());
        h2o_socket_write(connection.socket, &buffer, 1, &Impl::onWritten);
    }

    static void onWritten(h2o_socket_t *socket, const char *error)
    {
        Connection &connection = *static_cast<Connection *>(socket->data);
        connection.isWriting = false;
        if (error) {
            connection.owner.fail(connection, CallFailure::ConnectionLost);
            return;
        }
        // Releases the memory as well, because the answer may take long.
        std::string().swap(connection.requestBytes);
    }

    static void onRead(h2o_socket_t *socket, const char *error)
    {
        Connection &connection = *static_cast<Connection *>(socket->data);
        connection.owner.handleReadable(connection, error);
    }

    void handleReadable(Connection &connection, const char *error)
    {
        if (connection.call == 0) {
            // The upstream closed the idle connection or sent bytes without a request.
            closeIdle(connection);
            return;
        }
        if (!parseInput(connection)) {
            return;
        }
        if (connection.parser.isComplete()) {
            // An upstream that answers early may read the rest of the request late or never.
            complete(connection);
            return;
        }
        if (error) {
            handleConnectionEnd(connection, error);
        }
    }

    //! Returns false if the connection was closed and destroyed.
    bool parseInput(Connection &connection)
    {
        h2o_buffer_t *&input = connection.socket->input;
        while (input->size != 0 && !connection.parser.isComplete()) {
            connection.isInCallback = true;
            const size_t consumed = connection.parser.feed({input->bytes, input->size});
            connection.isInCallback = false;
            if (connection.isCancelled) {
                close(connection);
                return false;
            }
            h2o_buffer_consume(&input, consumed);
            updateOpenHead(connection, connection.parser.headBytes());
            if (connection.parser.error() != ParseError::None || connection.isUnattributable
                || connection.staleBytes > maxStaleBytes || holdsTooMuchHead(connection)) {
                fail(connection, CallFailure::Malformed);
                return false;
            }
            if (connection.bodyBytes > connection.maxBodyBytes) {
                fail(connection, CallFailure::TooLarge);
                return false;
            }
            if (connection.parser.isComplete() && connection.isStaleResponse) {
                connection.parser.reset();
                connection.isStaleResponse = false;
                connection.hadStaleResponse = true;
            } else if (consumed == 0) {
                break;
            }
        }
        return true;
    }

    void updateOpenHead(Connection &connection, size_t bytes)
    {
        m_openHeadBytes += bytes;
        m_openHeadBytes -= std::exchange(connection.openHeadBytes, bytes);
    }

    bool holdsTooMuchHead(const Connection &connection) const
    {
        return m_openHeadBytes > maxOpenHeadBytes && connection.openHeadBytes > usualHeadBytes;
    }

    void handleConnectionEnd(Connection &connection, const char *error)
    {
        const bool isOrderly = internal::hasEndedInOrder(connection.socket, error);
        const bool isResponseComplete = isOrderly && connection.parser.isHeadComplete()
                                        && !connection.isStaleResponse && finishParser(connection);
        if (connection.isCancelled) {
            close(connection);
            return;
        }
        if (!isResponseComplete) {
            fail(connection, CallFailure::ConnectionLost);
            return;
        }
        connection.isKeepAlive = false;
        complete(connection);
    }

    static bool finishParser(Connection &connection)
    {
        connection.isInCallback = true;
        const bool isResponseComplete = connection.parser.finish();
        connection.isInCallback = false;
        return isResponseComplete;
    }

    void complete(Connection &connection)
    {
        const uint64_t call = connection.call;
        IUpstreamHandler *handler = connection.handler;
        m_calls.erase(call);
        connection.call = 0;
        const bool isReusable = connection.isKeepAlive && !connection.hadStaleResponse
                                && !connection.isWriting && connection.socket->input->size == 0
                                && connection.idleTimeout > model::Duration::zero();
        if (isReusable) {
            releaseToPool(connection);
        } else {
            close(connection);
        }
        handler->onEnd(call);
    }

    void releaseToPool(Connection &connection)
    {
        std::vector<Connection *> &idle = m_idle[{connection.to, connection.group}];
        if (idle.size() >= maxIdleConnectionsPerEndpoint) {
            close(connection);
            return;
        }
        connection.idleDeadline = EventLoop::now() + connection.idleTimeout;
        if (connection.isPaused) {
            connection.isPaused = false;
            h2o_socket_read_start(connection.socket, &Impl::onRead);
        }
        idle.push_back(&connection);
        ++m_idleCount;
    }

    void closeIdle(Connection &connection)
    {
        const auto it = m_idle.find({connection.to, connection.group});
        if (it != m_idle.end()) {
            m_idleCount -= std::erase(it->second, &connection);
            if (it->second.empty()) {
                m_idle.erase(it);
            }
        }
        close(connection);
    }

    void closeIdleConnections(const IdleKey &key)
    {
        const auto it = m_idle.find(key);
        if (it == m_idle.end()) {
            return;
        }
        const std::vector<Connection *> connections = it->second;
        for (Connection *connection : connections) {
            closeIdle(*connection);
        }
    }

    void fail(Connection &connection, CallFailure failure)
    {
        const uint64_t call = connection.call;
        IUpstreamHandler *handler = connection.handler;
        if (call == 0) {
            closeIdle(connection);
            return;
        }
        m_calls.erase(call);
        withdrawRequest(connection);
        close(connection);
        handler->onFailure(call, failure);
    }

    void close(Connection &connection)
    {
        const auto it = m_connections.find(connection.id);
        const std::unique_ptr<Connection> owned = std::move(it->second);
        m_connections.erase(it);
        updateOpenHead(*owned, 0);
        if (owned->socket) {
            h2o_socket_close(owned->socket);
        }
    }

    // After an ordinary close the system would go on sending the request. Returns how many of its
    // bytes were not acknowledged.
    static size_t withdrawRequest(const Connection &connection)
    {
        const size_t unacknowledged
            = connection.isConnected ? internal::unacknowledgedBytes(connection.socket) : 0;
        if (unacknowledged > 0) {
            internal::discardUnsentAtClose(connection.socket);
        }
        return unacknowledged;
    }

    size_t cancel(uint64_t call)
    {
        const auto it = m_calls.find(call);
        if (it == m_calls.end()) {
            return 0;
        }
        Connection &connection = *it->second;
        m_calls.erase(it);
        connection.call = 0;
        const size_t unacknowledged = withdrawRequest(connection);
        if (connection.isInCallback) {
            connection.isCancelled = true;
        } else {
            close(connection);
        }
        return unacknowledged;
    }

    void setPaused(uint64_t call, bool isPaused)
    {
        const auto it = m_calls.find(call);
        if (it == m_calls.end() || it->second->isPaused == isPaused) {
            return;
        }
        Connection &connection = *it->second;
        connection.isPaused = isPaused;
        if (!connection.isConnected) {
            return;
        }
        if (isPaused) {
            h2o_socket_read_stop(connection.socket);
        } else {
            h2o_socket_read_start(connection.socket, &Impl::onRead);
        }
    }

    void sweep(model::TimePoint now)
    {
        std::vector<uint64_t> expiredCalls;
        for (const auto &[call, connection] : m_calls) {
            const bool isExpired
                = now >= connection->callDeadline
                  || (!connection->isConnected && now >= connection->connectDeadline);
            if (isExpired) {
                expiredCalls.push_back(call);
            }
        }
        for (const uint64_t call : expiredCalls) {
            const auto it = m_calls.find(call);
            if (it != m_calls.end()) {
                fail(*it->second,
                     it->second->isConnected ? CallFailure::TimedOut : CallFailure::NotSent);
            }
        }
        std::vector<Connection *> expiredIdle;
        for (const auto &[key, connections] : m_idle) {
            for (Connection *connection : connections) {
                if (now >= connection->idleDeadline) {
                    expiredIdle.push_back(connection);
                }
            }
        }
        for (Connection *connection : expiredIdle) {
            closeIdle(*connection);
        }
    }

    EventLoop &m_loop;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Connection>> m_connections;
    absl::flat_hash_map<uint64_t, Connection *> m_calls;
    std::map<IdleKey, std::vector<Connection *>> m_idle;
    size_t m_idleCount = 0;
    size_t m_openHeadBytes = 0;
    uint64_t m_connectsStarted = 0;
    uint64_t m_lastConnection = 0;
    uint64_t m_lastCall = 0;
};

UpstreamClient::UpstreamClient(EventLoop &loop)
    : m_impl(std::make_unique<Impl>(loop))
{
}

UpstreamClient::~UpstreamClient() = default;

uint64_t UpstreamClient::start(UpstreamCall call, IUpstreamHandler &handler)
{
    return m_impl->start(std::move(call), handler);
}

size_t UpstreamClient::cancel(uint64_t call)
{
    return m_impl->cancel(call);
}

bool UpstreamClient::isSent(uint64_t call) const
{
    const auto it = m_impl->m_calls.find(call);
    return it != m_impl->m_calls.end() && it->second->isConnected;
}

void UpstreamClient::closeIdleConnections(const config::Endpoint &to, ConnectionGroup group)
{
    m_impl->closeIdleConnections({to, group});
}

void UpstreamClient::setPaused(uint64_t call, bool isPaused)
{
    m_impl->setPaused(call, isPaused);
}

void UpstreamClient::sweep(model::TimePoint now)
{
    m_impl->sweep(now);
}

size_t UpstreamClient::callCount() const
{
    return m_impl->m_calls.size();
}

size_t UpstreamClient::idleCount() const
{
    return m_impl->m_idleCount;
}

uint64_t UpstreamClient::connectsStarted() const
{
    return m_impl->m_connectsStarted;
}

} // namespace citronpick::net
