// Minimal HTTP relay that forwards every request to a single upstream and makes no decisions. Its
// overhead is the lower bound with which speed.sh compares the daemon.
#include <cstdlib>
#include <string>

#include "net/internal/h2o.h"
#include "net/listensocket.h"

namespace
{

h2o_globalconf_t config;
h2o_context_t context;
h2o_accept_ctx_t acceptContext;
h2o_http1client_ctx_t clientContext;
h2o_socketpool_t pool;
h2o_timeout_t ioTimeout;

struct Exchange {
    h2o_generator_t generator;
    h2o_req_t *request;
    h2o_iovec_t head;
    h2o_iovec_t buffers[2];
};

int onBody(h2o_http1client_t *client, const char *error)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    h2o_iovec_t body = h2o_strdup(&exchange->request->pool, client->sock->input->bytes,
                                  client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    h2o_send(exchange->request, &body, 1,
             error ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
    return 0;
}

h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *, int, int status,
                               h2o_iovec_t, h2o_header_t *, size_t, int)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    exchange->request->res.status = status;
    exchange->request->res.reason = "OK";
    h2o_start_response(exchange->request, &exchange->generator);
    return &onBody;
}

h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *, h2o_iovec_t **buffers,
                                  size_t *count, int *)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    *buffers = exchange->buffers;
    *count = 2;
    return &onHead;
}

int onRequest(h2o_handler_t *, h2o_req_t *request)
{
    auto *exchange = static_cast<Exchange *>(h2o_mem_alloc_pool(&request->pool, sizeof(Exchange)));
    *exchange = Exchange {};
    exchange->request = request;
    const std::string head = "POST /call HTTP/1.1\r\nhost: relay\r\nx-citronpick-request: r\r\n"
                             "content-length: "
                             + std::to_string(request->entity.len) + "\r\n\r\n";
    exchange->buffers[0] = h2o_strdup(&request->pool, head.data(), head.size());
    exchange->buffers[1] = request->entity;
    h2o_http1client_connect_with_pool(nullptr, exchange, &clientContext, &pool, &onConnect);
    return 0;
}

void onAccept(h2o_socket_t *listener, const char *)
{
    if (h2o_socket_t *socket = h2o_evloop_socket_accept(listener)) {
        h2o_accept(&acceptContext, socket);
    }
}

} // namespace

// Usage: relay PORT UPSTREAM_PORT
int main(int, char **argv)
{
    constexpr uint64_t timeoutMs = 10000;
    const auto port = static_cast<uint16_t>(std::atoi(argv[1]));
    const auto upstreamPort = static_cast<uint16_t>(std::atoi(argv[2]));
    h2o_loop_t *loop = h2o_evloop_create();
    h2o_config_init(&config);
    h2o_hostconf_t *host
        = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), UINT16_MAX);
    h2o_create_handler(h2o_config_register_path(host, "/", 0), sizeof(h2o_handler_t))->on_req
        = &onRequest;
    h2o_context_init(&context, loop, &config);
    acceptContext.ctx = &context;
    acceptContext.hosts = config.hosts;
    h2o_timeout_init(loop, &ioTimeout, timeoutMs);
    clientContext.loop = loop;
    clientContext.getaddr_receiver = &context.receivers.hostinfo_getaddr;
    clientContext.io_timeout = &ioTimeout;
    h2o_socketpool_init_by_hostport(&pool, h2o_iovec_init(H2O_STRLIT("127.0.0.1")), upstreamPort, 0,
                                    1024);
    h2o_socketpool_set_timeout(&pool, loop, timeoutMs);
    auto socket = citronpick::net::ListenSocket::bind({.host = "127.0.0.1", .port = port});
    h2o_socket_t *listener
        = h2o_evloop_socket_create(loop, socket->release(), H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_read_start(listener, &onAccept);
    while (h2o_evloop_run(loop, INT32_MAX) == 0) { }
    return 0;
}
