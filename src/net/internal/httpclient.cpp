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
#include "net/internal/socketoptions.h"
#include "net/messageparser.h"

namespace citronpick::net
{

using internal::toIovec;

namespace
{

// Shorter than the idle timeouts that servers commonly use, so that a server rarely closes a
// connection while a request is being sent on it.
constexpr uint64_t idleConnectionTimeoutMs = 4000;
constexpr size_t maxPooledConnections = 1024;

// H2O reads the whole receive buffer of a socket at once. Without a limit the kernel would let that
// buffer grow to many megabytes while reading a stream is paused.
constexpr size_t receiveBufferBytes = 128U << 10U;

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
    struct Call final : IMessageSink {
        Call()
            : parser(MessageParser::Kind::Response, *this)
        {
        }

        void onHead(MessageHead head) override;
        void onBody(std::string_view bytes) override;
        void onComplete() override
        {
        }
        void recordProgress(size_t newBodyBytes);

        uint64_t number = 0;
        Impl *owner = nullptr;
        h2o_socketpool_t *pool = nullptr;
        h2o_socketpool_connect_request_t *connectRequest = nullptr; //!< While connecting.
        h2o_socket_t *socket = nullptr;
        MessageParser parser;
        HttpCallbacks callbacks;
        std::string head;
        model::BodyPtr body;
        std::array<h2o_iovec_t, 2> buffers {};
        bool isStreamed = false;
        bool needsFreshConnection = false;
        bool isWriting = false;
        bool isPaused = false;
        bool isKeepAlive = false;
        bool isParsing = false;
        bool isEnded = false; //!< No callback may follow.
        uint64_t maxBodyBytes = 0;
        uint64_t bodyBytes = 0;
        model::TimePoint connectDeadline;
        model::TimePoint callDeadline;
        model::TimePoint partDeadline; //!< By when the next part of the response has to arrive.
        std::optional<model::Duration> stallTimeout;
        HttpResponse answer;
        std::string collectedBody; //!< Response body; not used for streamed calls.
    };
    //! A callback may end the call that is being read.
    using CallPtr = std::shared_ptr<Call>;
    using Pools = std::map<config::Endpoint, std::unique_ptr<h2o_socketpool_t>>;

    static std::string requestHead(const HttpCall &call);
    static void onConnect(h2o_socket_t *socket, const char *error, void *data);
    static void onWritten(h2o_socket_t *socket, const char *error);
    static void onRead(h2o_socket_t *socket, const char *error);

    void send(Call &call);
    void read(const CallPtr &call, const char *error);
    //! Returns false if the call has ended.
    bool parseInput(const CallPtr &call);
    static bool isCompleteAtEnd(Call &call, const char *error);
    void finish(const CallPtr &call);
    void fail(const CallPtr &call, HttpError error);
    CallPtr find(uint64_t number) const;
    CallPtr detach(uint64_t number);
    static void release(Call &call);
    static void close(Call &call);
    h2o_socketpool_t *poolFor(const config::Endpoint &endpoint, Pools &pools);

    EventLoop &m_loop;
    h2o_multithread_queue_t *m_queue;
    h2o_multithread_receiver_t m_receiver {};
    Pools m_pools;
    Pools m_freshPools; //!< No connection is returned to them.
    absl::flat_hash_map<uint64_t, CallPtr> m_calls;
    uint64_t m_lastNumber = 0;
};

HttpClient::Impl::Impl(EventLoop &loop)
    : m_loop(loop)
    , m_queue(h2o_multithread_create_queue(loop.handle()))
{
    h2o_multithread_register_receiver(m_queue, &m_receiver, h2o_hostinfo_getaddr_receiver);
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

h2o_socketpool_t *HttpClient::Impl::poolFor(const config::Endpoint &endpoint, Pools &pools)
{
    auto &pool = pools[endpoint];
    if (!pool) {
        pool = std::make_unique<h2o_socketpool_t>();
        h2o_socketpool_init_by_hostport(pool.get(), toIovec(pools.find(endpoint)->first.host),
                                        endpoint.port, 0, maxPooledConnections);
        h2o_socketpool_set_timeout(pool.get(), m_loop.handle(), idleConnectionTimeoutMs);
    }
    return pool.get();
}

std::string HttpClient::Impl::requestHead(const HttpCall &call)
{
    const size_t length = call.body ? call.body->size() : 0;
    std::string head
        = absl::StrCat(call.method, " ", call.path, " HTTP/1.1\r\nhost: ", call.to.host, ":",
                       call.to.port, "\r\ncontent-length: ", length,
                       call.needsFreshConnection ? "\r\nconnection: close\r\n" : "\r\n");
    for (const Header &header : call.headers) {
        appendHeader(head, header.name, header.value);
    }
    head += "\r\n";
    return head;
}

uint64_t HttpClient::Impl::start(const HttpCall &call, HttpCallbacks callbacks)
{
    const uint64_t number = ++m_lastNumber;
    const auto started = std::make_shared<Call>();
    started->owner = this;
    started->number = number;
    started->callbacks = std::move(callbacks);
    started->head = requestHead(call);
    started->body = call.body;
    started->isStreamed = call.isStreamed;
    started->needsFreshConnection = call.needsFreshConnection;
    started->parser.setExpectsNoBody(call.method == "HEAD");
    started->maxBodyBytes = call.maxBodyBytes;
    const model::TimePoint now = EventLoop::now();
    started->connectDeadline = now + call.connectTimeout;
    started->callDeadline = now + call.timeout;
    started->partDeadline = now + call.headTimeout.value_or(call.timeout);
    started->stallTimeout = call.stallTimeout;
    started->pool = poolFor(call.to, call.needsFreshConnection ? m_freshPools : m_pools);
    m_calls.emplace(number, started);
    h2o_socketpool_connect(&started->connectRequest, started->pool, m_loop.handle(), &m_receiver,
                           &Impl::onConnect, started.get());
    return number;
}

void HttpClient::Impl::onConnect(h2o_socket_t *socket, const char *error, void *data)
{
    Call &call = *static_cast<Call *>(data);
    call.connectRequest = nullptr;
    if (error) {
        call.owner->fail(call.owner->find(call.number), HttpError::ConnectFailed);
        return;
    }
    call.socket = socket;
    socket->data = &call;
    if (call.isStreamed) {
        internal::limitReceiveBuffer(socket, receiveBufferBytes);
    }
    call.owner->send(call);
    if (!call.isPaused) {
        h2o_socket_read_start(socket, &Impl::onRead);
    }
}

void HttpClient::Impl::send(Call &call)
{
    const bool hasBody = call.body && !call.body->empty();
    call.buffers[0] = toIovec(call.head);
    call.buffers[1] = hasBody ? toIovec(*call.body) : h2o_iovec_init(nullptr, 0);
    call.isWriting = true;
    h2o_socket_write(call.socket, call.buffers.data(), hasBody ? 2 : 1, &Impl::onWritten);
}

void HttpClient::Impl::onWritten(h2o_socket_t *socket, const char *error)
{
    Call &call = *static_cast<Call *>(socket->data);
    call.isWriting = false;
    if (error) {
        call.owner->fail(call.owner->find(call.number), HttpError::ConnectionLost);
    }
}

void HttpClient::Impl::onRead(h2o_socket_t *socket, const char *error)
{
    const Call &call = *static_cast<Call *>(socket->data);
    call.owner->read(call.owner->find(call.number), error);
}

void HttpClient::Impl::read(const CallPtr &call, const char *error)
{
    if (!parseInput(call)) {
        return;
    }
    if (call->parser.isComplete()) {
        finish(call);
        return;
    }
    if (!error) {
        return;
    }
    call->isKeepAlive = false;
    if (isCompleteAtEnd(*call, error)) {
        finish(call);
    } else {
        fail(call, HttpError::ConnectionLost);
    }
}

bool HttpClient::Impl::parseInput(const CallPtr &call)
{
    while (!call->parser.isComplete() && call->socket->input->size != 0) {
        const h2o_buffer_t &input = *call->socket->input;
        call->isParsing = true;
        const size_t consumed = call->parser.feed({input.bytes, input.size});
        call->isParsing = false;
        if (call->isEnded) {
            close(*call);
            return false;
        }
        h2o_buffer_consume(&call->socket->input, consumed);
        if (call->parser.error() != ParseError::None) {
            fail(call, call->parser.error() == ParseError::HeadTooLarge
                           ? HttpError::TooLarge
                           : HttpError::MalformedResponse);
            return false;
        }
        if (call->bodyBytes > call->maxBodyBytes) {
            fail(call, HttpError::TooLarge);
            return false;
        }
        if (consumed == 0) {
            break;
        }
    }
    return true;
}

bool HttpClient::Impl::isCompleteAtEnd(Call &call, const char *error)
{
    return internal::hasEndedInOrder(call.socket, error) && call.parser.isHeadComplete()
           && call.parser.finish();
}

void HttpClient::Impl::Call::recordProgress(size_t newBodyBytes)
{
    partDeadline = stallTimeout ? EventLoop::now() + *stallTimeout : callDeadline;
    if (callbacks.onProgress) {
        callbacks.onProgress(newBodyBytes);
    }
}

void HttpClient::Impl::Call::onHead(MessageHead messageHead)
{
    isKeepAlive = messageHead.isKeepAlive;
    answer.status = messageHead.status;
    answer.headers = std::move(messageHead.headers);
    recordProgress(0);
    if (isStreamed && callbacks.onHead) {
        callbacks.onHead(answer);
    }
}

void HttpClient::Impl::Call::onBody(std::string_view bytes)
{
    if (isEnded) {
        return;
    }
    bodyBytes += bytes.size();
    recordProgress(bytes.size());
    if (bodyBytes > maxBodyBytes) {
        return;
    }
    if (isStreamed) {
        callbacks.onData(bytes);
    } else {
        collectedBody.append(bytes);
    }
}

HttpClient::Impl::CallPtr HttpClient::Impl::find(uint64_t number) const
{
    const auto it = m_calls.find(number);
    return it == m_calls.end() ? nullptr : it->second;
}

HttpClient::Impl::CallPtr HttpClient::Impl::detach(uint64_t number)
{
    CallPtr call = find(number);
    if (call) {
        call->isEnded = true;
        m_calls.erase(number);
    }
    return call;
}

// Only a connection on which nothing is left to send or to read can carry another call.
void HttpClient::Impl::release(Call &call)
{
    h2o_socket_t *socket = std::exchange(call.socket, nullptr);
    const bool isReusable = call.isKeepAlive && !call.needsFreshConnection && !call.isWriting
                            && socket->input->size == 0;
    if (!isReusable) {
        h2o_socket_close(socket);
        return;
    }
    h2o_socket_read_stop(socket);
    h2o_socketpool_return(call.pool, socket);
}

void HttpClient::Impl::close(Call &call)
{
    if (call.connectRequest) {
        h2o_socketpool_cancel_connect(std::exchange(call.connectRequest, nullptr));
    }
    if (!call.socket) {
        return;
    }
    if (internal::unacknowledgedBytes(call.socket) > 0) {
        // After an ordinary close the system would go on sending the request.
        internal::discardUnsentAtClose(call.socket);
    }
    h2o_socket_close(std::exchange(call.socket, nullptr));
}

void HttpClient::Impl::finish(const CallPtr &call)
{
    detach(call->number);
    release(*call);
    call->answer.body = model::makeBody(std::move(call->collectedBody));
    call->callbacks.onResponse(std::move(call->answer));
}

void HttpClient::Impl::fail(const CallPtr &call, HttpError error)
{
    detach(call->number);
    close(*call);
    call->callbacks.onError(error);
}

void HttpClient::Impl::cancel(uint64_t number)
{
    const CallPtr call = detach(number);
    // Closing frees the bytes that are being parsed.
    if (call && !call->isParsing) {
        close(*call);
    }
}

void HttpClient::Impl::setPaused(uint64_t number, bool isPaused)
{
    const CallPtr call = find(number);
    if (!call || call->isPaused == isPaused) {
        return;
    }
    call->isPaused = isPaused;
    if (!call->socket) {
        return;
    }
    if (isPaused) {
        h2o_socket_read_stop(call->socket);
    } else {
        h2o_socket_read_start(call->socket, &Impl::onRead);
    }
}

void HttpClient::Impl::expire(model::TimePoint now)
{
    std::vector<CallPtr> expired;
    for (const auto &[number, call] : m_calls) {
        const model::TimePoint deadline = call->socket
                                              ? std::min(call->partDeadline, call->callDeadline)
                                              : std::min(call->connectDeadline, call->callDeadline);
        if (now >= deadline) {
            expired.push_back(call);
        }
    }
    for (const CallPtr &call : expired) {
        if (!call->isEnded) {
            fail(call, call->socket ? HttpError::TimedOut : HttpError::ConnectFailed);
        }
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
