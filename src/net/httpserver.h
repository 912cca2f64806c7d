#ifndef CITRONPICK_NET_HTTPSERVER_H
#define CITRONPICK_NET_HTTPSERVER_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/http.h"
#include "net/listensocket.h"

struct st_h2o_req_t;

namespace citronpick::net
{

//! A request while its handler runs; nothing of it may be kept without a copy.
class HttpServerRequest
{
public:
    HttpServerRequest(st_h2o_req_t *request, uint64_t number);

    //! Names the request in later calls to the server.
    uint64_t number() const
    {
        return m_number;
    }
    std::string_view method() const;
    //! Without the query.
    std::string_view path() const;
    //! The value of a query parameter; empty when it is absent.
    std::string query(std::string_view name) const;
    //! The value of a header by its lower-case name; empty when it is absent.
    std::string_view header(std::string_view name) const;
    std::string_view body() const;

private:
    st_h2o_req_t *m_request;
    uint64_t m_number;
};

//! Takes what callers send.
class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    virtual void onRequest(const HttpServerRequest &request) = 0;
    //! The exchange has ended: answered in full, or the caller is gone.
    virtual void onClosed(uint64_t number, bool wasAnswered) = 0;
    //! A stream's buffer is empty again.
    virtual void onDrained(uint64_t number)
    {
        static_cast<void>(number);
    }
};

//! What listeners hold callers to.
struct HttpServerLimits {
    uint64_t maxBodyBytes = 1U << 20U;
    uint32_t maxConnections = 4096;
    model::Duration requestTimeout = model::seconds(10);
};

//! One listener for HTTP/1.1 and HTTP/2 without TLS.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, IHttpHandler &handler, HttpServerLimits limits);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Takes connections from a socket.
    void listen(ListenSocket socket);
    //! The port in use; zero before listen().
    uint16_t port() const;
    //! No new connections from here on; those open go on.
    void stopListening();

    //! Answers in full. Unknown numbers are ignored: the caller is gone.
    void respond(uint64_t number, uint16_t status, const Headers &headers, model::BodyPtr body);

    //! Answers piece by piece: begin, any number of writes, one end.
    void beginStream(uint64_t number, uint16_t status, const Headers &headers);
    void write(uint64_t number, std::string_view bytes);
    void endStream(uint64_t number);
    //! Bytes written that the caller has not taken yet.
    size_t buffered(uint64_t number) const;

    //! Ends exchanges whose caller has closed its connection; to be called now and then.
    void dropAbandoned();

    size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTPSERVER_H
