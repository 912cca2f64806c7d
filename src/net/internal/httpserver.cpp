#include "net/httpserver.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "net/internal/h2o.h"
#include "net/internal/httpconnections.h"
#include "net/internal/socketoptions.h"

namespace citronpick::net
{

namespace
{

//! HTTP/2 in H2O's notation of protocol versions.
constexpr int http2Version = 0x200;

void addHeader(h2o_req_t *request, const Header &header)
{
    const h2o_iovec_t name = h2o_strdup(&request->pool, header.name.data(), header.name.size());
    const h2o_iovec_t value = h2o_strdup(&request->pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1, nullptr,
                          value.base, value.len);
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(EventLoop &loop, IHttpHandler &handler, HttpServerLimits limits);
    ~Impl();

    void listen(ListenSocket socket);
    uint16_t port() const
    {
        return m_port;
    }
    void stopListening();
    void respond(uint64_t number, uint16_t status, const Headers &headers, model::BodyPtr body);
    void beginStream(uint64_t number, uint16_t status, const Headers &headers);
    void write(uint64_t number, std::string_view bytes);
    void endStream(uint64_t number);
    size_t buffered(uint64_t number) const;
    void closeAbandonedExchanges();

    size_t openConnections() const
    {
        return m_connectionCount;
    }

private:
    internal::HttpConnections &connections()
    {
        return m_limits.memory ? m_limits.memory->connections() : m_ownConnections;
    }

    struct Handler {
        h2o_handler_t base;
        Impl *owner;
    };

    //! Allocated in the memory pool of the request, which calls onDispose() at its end.
    struct Exchange {
        h2o_generator_t generator; //!< Must be first: H2O's pointer to it is cast to Exchange.
        Impl *owner;
        h2o_req_t *request;
        uint64_t number;
        model::BodyPtr *body; //!< Must outlive the sending of the response.
        std::string *queued; //!< Bytes of a streamed response not yet passed to H2O.
        std::string *sending; //!< Bytes of a streamed response passed to H2O.
        bool isResponseStarted;
        bool isSending;
        bool isEnding;
        bool isComplete; //!< The handler has provided the whole response.
        bool isReportedClosed; //!< The handler knows that the exchange has ended.
        size_t reportedBytes; //!< Last reported size of the buffered response.
    };

    static bool hasPeerDisconnected(h2o_conn_t *connection);
    static int onRequest(h2o_handler_t *handler, h2o_req_t *request);
    static void onAccept(h2o_socket_t *listener, const char *error);
    static h2o_socket_t *socketOf(const h2o_req_t *request);
    void noteRequest(const h2o_req_t *request);
    //! Must be called whenever the size of the buffered response changes.
    static void account(Exchange &exchange);
    static void onProceed(h2o_generator_t *generator, h2o_req_t *request);
    static void onStop(h2o_generator_t *generator, h2o_req_t *request);
    static void onDispose(void *data);

    Exchange *find(uint64_t number) const;
    static void begin(Exchange &exchange, uint16_t status, const Headers &headers);
    static void flush(Exchange &exchange);

    EventLoop &m_loop;
    IHttpHandler &m_handler;
    HttpServerLimits m_limits;
    h2o_globalconf_t m_config {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_accept {};
    h2o_socket_t *m_listener = nullptr;
    uint16_t m_port = 0;
    size_t m_connectionCount = 0;
    internal::HttpConnections m_ownConnections; //!< Used without a limit on memory.
    absl::flat_hash_map<uint64_t, Exchange *> m_exchanges;
    uint64_t m_lastNumber = 0;
};

HttpServer::Impl::Impl(EventLoop &loop, IHttpHandler &handler, HttpServerLimits limits)
    : m_loop(loop)
    , m_handler(handler)
    , m_limits(limits)
{
    h2o_config_init(&m_config);
    m_config.max_request_entity_size = limits.maxBodyBytes;
    m_config.http1.req_timeout
        = static_cast<uint64_t>(model::toMilliseconds(limits.requestTimeout));
    m_config.http2.idle_timeout = m_config.http1.req_timeout;
    m_config.server_name = h2o_iovec_init(H2O_STRLIT("citronpick"));
    h2o_hostconf_t *host
        = h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), UINT16_MAX);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *base = reinterpret_cast<Handler *>(h2o_create_handler(path, sizeof(Handler)));
    base->base.on_req = &Impl::onRequest;
    base->owner = this;
    h2o_context_init(&m_context, loop.handle(), &m_config);
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
}

// H2O keeps open connections until they end; this is acceptable because a process destroys a server
// only when it is about to exit.
HttpServer::Impl::~Impl()
{
    stopListening();
}

void HttpServer::Impl::listen(ListenSocket socket)
{
    m_port = socket.port();
    m_listener
        = h2o_evloop_socket_create(m_loop.handle(), socket.release(), H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, &Impl::onAccept);
}

void HttpServer::Impl::stopListening()
{
    if (m_listener) {
        h2o_socket_read_stop(m_listener);
        h2o_socket_close(m_listener);
        m_listener = nullptr;
    }
}

void HttpServer::Impl::onAccept(h2o_socket_t *listener, const char *error)
{
    if (error) {
        return;
    }
    Impl &owner = *static_cast<Impl *>(listener->data);
    h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
    if (!socket) {
        return;
    }
    if (owner.m_connectionCount >= owner.m_limits.maxConnections
        && !owner.connections().closeOldestSilent(&owner)) {
        h2o_socket_close(socket);
        return;
    }
    ++owner.m_connectionCount;
    if (owner.m_limits.memory) {
        internal::limitReceiveBuffer(socket, owner.m_limits.memory->receiveBufferBytes());
    }
    owner.connections().add(
        socket, &owner, [&owner] { --owner.m_connectionCount; }, EventLoop::now());
    h2o_accept(&owner.m_accept, socket);
}

h2o_socket_t *HttpServer::Impl::socketOf(const h2o_req_t *request)
{
    return request->conn->callbacks->get_socket(request->conn);
}

// With HTTP/2, frames of other requests may have arrived as well.
void HttpServer::Impl::noteRequest(const h2o_req_t *request)
{
    if (internal::HttpConnection *connection = connections().find(socketOf(request))) {
        constexpr size_t frameHeadBytes = 9;
        const std::optional<size_t> ownBytes
            = request->version < http2Version
                  ? std::nullopt
                  : std::optional<size_t>(request->entity.len + 2 * frameHeadBytes);
        connection->noteRequest(ownBytes, EventLoop::now());
    }
}

void HttpServer::Impl::account(Exchange &exchange)
{
    internal::HttpConnection *connection
        = exchange.owner->connections().find(socketOf(exchange.request));
    if (!connection) {
        return;
    }
    const size_t bytes = (exchange.body && *exchange.body ? (*exchange.body)->size() : 0)
                         + (exchange.queued ? exchange.queued->size() : 0)
                         + (exchange.sending ? exchange.sending->size() : 0);
    connection->responseBytes += bytes;
    connection->responseBytes -= std::exchange(exchange.reportedBytes, bytes);
}

int HttpServer::Impl::onRequest(h2o_handler_t *handler, h2o_req_t *request)
{
    Impl &owner = *reinterpret_cast<Handler *>(handler)->owner;
    auto *exchange = static_cast<Exchange *>(
        h2o_mem_alloc_shared(&request->pool, sizeof(Exchange), &Impl::onDispose));
    *exchange = Exchange {};
    exchange->generator.proceed = &Impl::onProceed;
    exchange->generator.stop = &Impl::onStop;
    exchange->owner = &owner;
    exchange->request = request;
    exchange->number = ++owner.m_lastNumber;
    owner.m_exchanges.emplace(exchange->number, exchange);
    owner.noteRequest(request);
    owner.m_handler.onRequest(HttpServerRequest(request, exchange->number));
    return 0;
}

void HttpServer::Impl::onDispose(void *data)
{
    auto &exchange = *static_cast<Exchange *>(data);
    delete std::exchange(exchange.body, nullptr);
    delete std::exchange(exchange.queued, nullptr);
    delete std::exchange(exchange.sending, nullptr);
    account(exchange);
    Impl &owner = *exchange.owner;
    if (internal::HttpConnection *connection
        = owner.connections().find(socketOf(exchange.request))) {
        --connection->openExchanges;
    }
    const uint64_t number = exchange.number;
    const bool wasAnswered = exchange.isComplete;
    const bool wasReported = exchange.isReportedClosed;
    owner.m_exchanges.erase(number);
    if (!wasReported) {
        owner.m_handler.onClosed(number, wasAnswered);
    }
}

HttpServer::Impl::Exchange *HttpServer::Impl::find(uint64_t number) const
{
    const auto it = m_exchanges.find(number);
    return it == m_exchanges.end() ? nullptr : it->second;
}

void HttpServer::Impl::begin(Exchange &exchange, uint16_t status, const Headers &headers)
{
    h2o_req_t *request = exchange.request;
    request->res.status = status;
    request->res.reason = status < 400 ? "OK" : "Error";
    for (const Header &header : headers) {
        addHeader(request, header);
    }
    h2o_start_response(request, &exchange.generator);
}

void HttpServer::Impl::respond(uint64_t number, uint16_t status, const Headers &headers,
                               model::BodyPtr body)
{
    Exchange *exchange = find(number);
    if (!exchange || exchange->isResponseStarted) {
        return;
    }
    exchange->isResponseStarted = true;
    exchange->isComplete = true;
    exchange->body = new model::BodyPtr(std::move(body));
    account(*exchange);
    const size_t length = *exchange->body ? (*exchange->body)->size() : 0;
    exchange->request->res.content_length = length;
    begin(*exchange, status, headers);
    h2o_iovec_t bytes = length == 0 ? h2o_iovec_init(nullptr, 0)
                                    : h2o_iovec_init((*exchange->body)->data(), length);
    h2o_send(exchange->request, &bytes, length == 0 ? 0 : 1, H2O_SEND_STATE_FINAL);
}

void HttpServer::Impl::beginStream(uint64_t number, uint16_t status, const Headers &headers)
{
    Exchange *exchange = find(number);
    if (!exchange || exchange->isResponseStarted) {
        return;
    }
    exchange->isResponseStarted = true;
    exchange->queued = new std::string;
    exchange->sending = new std::string;
    begin(*exchange, status, headers);
}

void HttpServer::Impl::write(uint64_t number, std::string_view bytes)
{
    Exchange *exchange = find(number);
    if (!exchange || !exchange->queued) {
        return;
    }
    exchange->queued->append(bytes);
    account(*exchange);
    flush(*exchange);
}

void HttpServer::Impl::endStream(uint64_t number)
{
    Exchange *exchange = find(number);
    if (!exchange || !exchange->queued) {
        return;
    }
    exchange->isEnding = true;
    exchange->isComplete = true;
    flush(*exchange);
}

// H2O accepts one piece at a time and calls "proceed" when that piece has been sent.
void HttpServer::Impl::flush(Exchange &exchange)
{
    if (exchange.isSending || (exchange.queued->empty() && !exchange.isEnding)) {
        return;
    }
    std::swap(*exchange.sending, *exchange.queued);
    exchange.queued->clear();
    exchange.isSending = !exchange.isEnding;
    h2o_iovec_t bytes = h2o_iovec_init(exchange.sending->data(), exchange.sending->size());
    h2o_send(exchange.request, &bytes, exchange.sending->empty() ? 0 : 1,
             exchange.isEnding ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void HttpServer::Impl::onProceed(h2o_generator_t *generator, h2o_req_t *)
{
    auto &exchange = *reinterpret_cast<Exchange *>(generator);
    if (!exchange.queued) {
        return;
    }
    exchange.isSending = false;
    // Releases the memory as well, because a caller may stay without taking more.
    std::string().swap(*exchange.sending);
    account(exchange);
    const bool isDrained = exchange.queued->empty();
    Impl &owner = *exchange.owner;
    const uint64_t number = exchange.number;
    flush(exchange);
    if (isDrained) {
        owner.m_handler.onDrained(number);
    }
}

// H2O does not read from an HTTP/1 connection while a request waits for its response and so does
// not notice that the caller closes it. The socket is asked instead.
void HttpServer::Impl::closeAbandonedExchanges()
{
    std::vector<uint64_t> abandoned;
    for (const auto &[number, exchange] : m_exchanges) {
        const bool isHttp1 = exchange->request->version < http2Version;
        if (isHttp1 && !exchange->isComplete && !exchange->isReportedClosed
            && hasPeerDisconnected(exchange->request->conn)) {
            abandoned.push_back(number);
        }
    }
    for (const uint64_t number : abandoned) {
        m_exchanges[number]->isReportedClosed = true;
        m_handler.onClosed(number, false);
        // H2O releases the closed connection only after a write to it.
        constexpr uint16_t clientClosedRequest = 499;
        respond(number, clientClosedRequest, {}, nullptr);
        endStream(number);
    }
}

bool HttpServer::Impl::hasPeerDisconnected(h2o_conn_t *connection)
{
    return internal::hasPeerClosed(connection->callbacks->get_socket(connection));
}

// Called when the caller has disconnected. Nothing to do: H2O disposes of the request's memory
// pool, and the exchange with it.
void HttpServer::Impl::onStop(h2o_generator_t *, h2o_req_t *)
{
}

size_t HttpServer::Impl::buffered(uint64_t number) const
{
    const Exchange *exchange = find(number);
    const bool isStream = exchange && exchange->queued;
    return isStream ? exchange->queued->size() + exchange->sending->size() : 0;
}

HttpServer::HttpServer(EventLoop &loop, IHttpHandler &handler, HttpServerLimits limits)
    : m_impl(std::make_unique<Impl>(loop, handler, limits))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::listen(ListenSocket socket)
{
    m_impl->listen(std::move(socket));
}

uint16_t HttpServer::port() const
{
    return m_impl->port();
}

void HttpServer::stopListening()
{
    m_impl->stopListening();
}

void HttpServer::respond(uint64_t number, uint16_t status, const Headers &headers,
                         model::BodyPtr body)
{
    m_impl->respond(number, status, headers, std::move(body));
}

void HttpServer::beginStream(uint64_t number, uint16_t status, const Headers &headers)
{
    m_impl->beginStream(number, status, headers);
}

void HttpServer::write(uint64_t number, std::string_view bytes)
{
    m_impl->write(number, bytes);
}

void HttpServer::endStream(uint64_t number)
{
    m_impl->endStream(number);
}

size_t HttpServer::buffered(uint64_t number) const
{
    return m_impl->buffered(number);
}

void HttpServer::closeAbandonedExchanges()
{
    m_impl->closeAbandonedExchanges();
}

size_t HttpServer::openConnections() const
{
    return m_impl->openConnections();
}

} // namespace citronpick::net
