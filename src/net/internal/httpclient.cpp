#include "net/httpclient.h"

#include <algorithm>
#include <array>
#include <map>
#include <sys/socket.h>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "net/internal/iovec.h"

namespace citronpick::net
{

using internal::toIovec;

namespace
{

// Calls have limits of their own; the library's timeout only bounds connections in the pool's care.
constexpr uint64_t libraryTimeoutMs = 700000;
// Shorter than servers commonly keep idle connections, so that few are closed under a request.
constexpr uint64_t idleConnectionMs = 4000;
constexpr size_t maxPooledConnections = 1024;

// The library takes all that a socket holds in one go, which the system would let grow to many
// megabytes while a stream is not read.
void boundReceiveBuffer(h2o_socket_t *socket)
{
    constexpr int receiveBufferBytes = 128 << 10;
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
               sizeof(receiveBufferBytes));
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(EventLoop &loop);
    ~Impl();

    uint64_t start(const HttpCall &call, HttpCallbacks callbacks);
    void cancel(uint64_t number);
    void setPaused(uint64_t number, bool isPaused);
    void expire(model::TimePoint now);

private:
    struct Call {
        Impl *owner = nullptr;
        uint64_t number = 0;
        h2o_http1client_t *client = nullptr;
        HttpCallbacks callbacks;
        std::string head;
        model::BodyPtr body;
        std::array<h2o_iovec_t, 2> buffers {};
        bool isStreamed = false;
        bool isSent = false;
        bool isHeadRequest = false;
        bool isInCallback = false;
        uint64_t maxBodyBytes = 0;
        uint64_t bodyBytes = 0;
        model::TimePoint connectBy;
        model::TimePoint endBy;
        HttpAnswer answer;
        std::string collected;
        h2o_socket_cb pausedRead = nullptr;
    };

    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **buffers, size_t *count, int *isHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error, int,
                                          int status, h2o_iovec_t, h2o_header_t *headers,
                                          size_t headerCount, int);
    static int onBody(h2o_http1client_t *client, const char *error);

    static void takeHead(Call &call, int status, const h2o_header_t *headers, size_t count);
    static bool takeBody(Call &call, h2o_socket_t *socket);
    static void resumeReading(Call &call);
    void finish(Call &call);
    void fail(Call &call, HttpError error);
    std::unique_ptr<Call> detach(uint64_t number);
    h2o_socketpool_t *poolFor(const config::Endpoint &endpoint);

    EventLoop &m_loop;
    h2o_multithread_queue_t *m_queue;
    h2o_multithread_receiver_t m_receiver {};
    h2o_timeout_t m_timeout {};
    h2o_http1client_ctx_t m_context {};
    std::map<config::Endpoint, std::unique_ptr<h2o_socketpool_t>> m_pools;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Call>> m_calls;
    uint64_t m_lastNumber = 0;
};

HttpClient::Impl::Impl(EventLoop &loop)
    : m_loop(loop)
    , m_queue(h2o_multithread_create_queue(loop.handle()))
{
    h2o_multithread_register_receiver(m_queue, &m_receiver, h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(loop.handle(), &m_timeout, libraryTimeoutMs);
    m_context.loop = loop.handle();
    m_context.getaddr_receiver = &m_receiver;
    m_context.io_timeout = &m_timeout;
}

HttpClient::Impl::~Impl()
{
    std::vector<uint64_t> numbers;
    for (const auto &[number, call] : m_calls) {
        numbers.push_back(number);
    }
    for (const uint64_t number : numbers) {
        cancel(number);
    }
}

h2o_socketpool_t *HttpClient::Impl::poolFor(const config::Endpoint &endpoint)
{
    auto &pool = m_pools[endpoint];
    if (!pool) {
        pool = std::make_unique<h2o_socketpool_t>();
        h2o_socketpool_init_by_hostport(pool.get(), toIovec(m_pools.find(endpoint)->first.host),
                                        endpoint.port, 0, maxPooledConnections);
        h2o_socketpool_set_timeout(pool.get(), m_loop.handle(), idleConnectionMs);
    }
    return pool.get();
}

uint64_t HttpClient::Impl::start(const HttpCall &call, HttpCallbacks callbacks)
{
    auto owned = std::make_unique<Call>();
    Call &row = *owned;
    row.owner = this;
    row.number = ++m_lastNumber;
    row.callbacks = std::move(callbacks);
    row.body = call.body;
    row.isStreamed = call.isStreamed;
    row.isHeadRequest = call.method == "HEAD";
    row.maxBodyBytes = call.maxBodyBytes;
    const model::TimePoint now = EventLoop::now();
    row.connectBy = now + call.connectTimeout;
    row.endBy = now + call.timeout;
    const size_t length = call.body ? call.body->size() : 0;
    row.head = absl::StrCat(call.method, " ", call.path, " HTTP/1.1\r\nhost: ", call.to.host, ":",
                            call.to.port, "\r\ncontent-length: ", length,
                            call.needsFreshConnection ? "\r\nconnection: close\r\n" : "\r\n");
    for (const Header &header : call.headers) {
        absl::StrAppend(&row.head, header.name, ": ", header.value, "\r\n");
    }
    row.head += "\r\n";
    m_calls.emplace(row.number, std::move(owned));
    if (call.needsFreshConnection) {
        h2o_http1client_connect(&row.client, &row, &m_context, toIovec(call.to.host), call.to.port,
                                0, &Impl::onConnect);
    } else {
        h2o_http1client_connect_with_pool(&row.client, &row, &m_context, poolFor(call.to),
                                          &Impl::onConnect);
    }
    return row.number;
}

h2o_http1client_head_cb HttpClient::Impl::onConnect(h2o_http1client_t *client, const char *error,
                                                    h2o_iovec_t **buffers, size_t *count,
                                                    int *isHead)
{
    Call &call = *static_cast<Call *>(client->data);
    if (error) {
        call.client = nullptr;
        call.owner->fail(call, HttpError::ConnectFailed);
        return nullptr;
    }
    call.client = client;
    call.isSent = true;
    if (call.isStreamed) {
        boundReceiveBuffer(client->sock);
    }
    call.buffers[0] = toIovec(call.head);
    call.buffers[1] = call.body ? toIovec(*call.body) : h2o_iovec_init(nullptr, 0);
    *buffers = call.buffers.data();
    *count = call.body && !call.body->empty() ? 2 : 1;
    *isHead = call.isHeadRequest ? 1 : 0;
    return &Impl::onHead;
}

h2o_http1client_body_cb HttpClient::Impl::onHead(h2o_http1client_t *client, const char *error, int,
                                                 int status, h2o_iovec_t, h2o_header_t *headers,
                                                 size_t headerCount, int)
{
    Call &call = *static_cast<Call *>(client->data);
    Impl &owner = *call.owner;
    const uint64_t number = call.number;
    const bool isEnd = error == h2o_http1client_error_is_eos;
    if (error && !isEnd) {
        call.client = nullptr;
        owner.fail(call, HttpError::ConnectionLost);
        return nullptr;
    }
    call.isInCallback = true;
    owner.takeHead(call, status, headers, headerCount);
    if (!owner.m_calls.contains(number)) {
        return nullptr;
    }
    call.isInCallback = false;
    if (isEnd) {
        call.client = nullptr;
        owner.finish(call);
        return nullptr;
    }
    return &Impl::onBody;
}

// Returning other than zero makes the library close the connection.
int HttpClient::Impl::onBody(h2o_http1client_t *client, const char *error)
{
    constexpr int closeConnection = -1;
    Call &call = *static_cast<Call *>(client->data);
    Impl &owner = *call.owner;
    const uint64_t number = call.number;
    const bool isEnd = error == h2o_http1client_error_is_eos;
    if (error && !isEnd) {
        call.client = nullptr;
        owner.fail(call, HttpError::ConnectionLost);
        return closeConnection;
    }
    call.isInCallback = true;
    const bool isWithinLimit = owner.takeBody(call, client->sock);
    if (!owner.m_calls.contains(number)) {
        return closeConnection;
    }
    call.isInCallback = false;
    if (!isWithinLimit) {
        call.client = nullptr;
        owner.fail(call, HttpError::TooLarge);
        return closeConnection;
    }
    if (isEnd) {
        call.client = nullptr;
        owner.finish(call);
    }
    return 0;
}

void HttpClient::Impl::takeHead(Call &call, int status, const h2o_header_t *headers, size_t count)
{
    call.answer.status = static_cast<uint16_t>(status);
    call.answer.headers.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        call.answer.headers.push_back(
            {.name = std::string(headers[i].name->base, headers[i].name->len),
             .value = std::string(headers[i].value.base, headers[i].value.len)});
    }
    if (call.isStreamed && call.callbacks.onHead) {
        call.callbacks.onHead(call.answer);
    }
}

bool HttpClient::Impl::takeBody(Call &call, h2o_socket_t *socket)
{
    const std::string_view bytes(socket->input->bytes, socket->input->size);
    call.bodyBytes += bytes.size();
    if (call.bodyBytes > call.maxBodyBytes) {
        return false;
    }
    if (!call.isStreamed) {
        call.collected.append(bytes);
        h2o_buffer_consume(&socket->input, socket->input->size);
        return true;
    }
    // The taker may cancel the call, after which neither the call nor the socket may be touched.
    const std::string copy(bytes);
    h2o_buffer_consume(&socket->input, socket->input->size);
    if (!copy.empty()) {
        call.callbacks.onData(copy);
    }
    return true;
}

std::unique_ptr<HttpClient::Impl::Call> HttpClient::Impl::detach(uint64_t number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return nullptr;
    }
    std::unique_ptr<Call> call = std::move(it->second);
    m_calls.erase(it);
    return call;
}

void HttpClient::Impl::finish(Call &call)
{
    const std::unique_ptr<Call> owned = detach(call.number);
    owned->answer.body = model::makeBody(std::move(owned->collected));
    owned->callbacks.onAnswer(std::move(owned->answer));
}

void HttpClient::Impl::fail(Call &call, HttpError error)
{
    const std::unique_ptr<Call> owned = detach(call.number);
    owned->callbacks.onError(error);
}

void HttpClient::Impl::cancel(uint64_t number)
{
    const std::unique_ptr<Call> call = detach(number);
    // From within its own callback the call ends by what the callback returns.
    if (!call || !call->client || call->isInCallback) {
        return;
    }
    resumeReading(*call);
    h2o_http1client_cancel(call->client);
}

void HttpClient::Impl::setPaused(uint64_t number, bool isPaused)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end() || !it->second->client || !it->second->client->sock) {
        return;
    }
    Call &call = *it->second;
    if (!isPaused) {
        resumeReading(call);
        return;
    }
    if (!call.pausedRead) {
        call.pausedRead = call.client->sock->_cb.read;
        h2o_socket_read_stop(call.client->sock);
    }
}

void HttpClient::Impl::resumeReading(Call &call)
{
    if (!call.pausedRead) {
        return;
    }
    h2o_socket_read_start(call.client->sock, call.pausedRead);
    call.pausedRead = nullptr;
}

void HttpClient::Impl::expire(model::TimePoint now)
{
    std::vector<uint64_t> overdue;
    for (const auto &[number, call] : m_calls) {
        const model::TimePoint limit
            = call->isSent ? call->endBy : std::min(call->connectBy, call->endBy);
        if (now >= limit) {
            overdue.push_back(number);
        }
    }
    for (const uint64_t number : overdue) {
        const auto it = m_calls.find(number);
        if (it == m_calls.end()) {
            continue;
        }
        const HttpError error = it->second->isSent ? HttpError::TimedOut : HttpError::ConnectFailed;
        const HttpCallbacks callbacks = it->second->callbacks;
        cancel(number);
        callbacks.onError(error);
    }
}

HttpClient::HttpClient(EventLoop &loop)
    : m_impl(std::make_unique<Impl>(loop))
{
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::start(const HttpCall &call, HttpCallbacks callbacks)
{
    return m_impl->start(call, std::move(callbacks));
}

void HttpClient::cancel(uint64_t number)
{
    m_impl->cancel(number);
}

void HttpClient::setPaused(uint64_t number, bool isPaused)
{
    m_impl->setPaused(number, isPaused);
}

void HttpClient::expire(model::TimePoint now)
{
    m_impl->expire(now);
}

} // namespace citronpick::net
