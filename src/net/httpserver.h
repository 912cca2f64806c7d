#ifndef CITRONPICK_NET_HTTPSERVER_H
#define CITRONPICK_NET_HTTPSERVER_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/http.h"
#include "net/httpmemorylimit.h"
#include "net/listensocket.h"

struct st_h2o_req_t;

namespace citronpick::net
{

//! Request passed to IHttpHandler::onRequest(). It and the views it returns are valid only during
//! that call.
class HttpServerRequest
{
public:
    HttpServerRequest(st_h2o_req_t *request, uint64_t number);

    //! Identifies the request in later calls to the server.
    uint64_t number() const
    {
        return m_number;
    }
    std::string_view method() const;
    //! Path of the request target, without the query.
    std::string_view path() const;
    //! Decoded value of a query parameter; empty if it is absent.
    std::string query(std::string_view name) const;
    //! Value of the header with a lower-case \a name; empty if it is absent.
    std::string_view header(std::string_view name) const;
    std::string_view body() const;

private:
    st_h2o_req_t *m_request;
    uint64_t m_number;
};

//! Receives the requests and connection events of an HttpServer.
class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    virtual void onRequest(const HttpServerRequest &request) = 0;
    //! The exchange has ended: the response was sent completely, or the caller disconnected.
    virtual void onClosed(uint64_t number, bool wasAnswered) = 0;
    //! The send buffer of a streamed response is empty again.
    virtual void onDrained(uint64_t number)
    {
        static_cast<void>(number);
    }
};

//! Limits that an HttpServer enforces on its callers.
struct HttpServerLimits {
    uint64_t maxBodyBytes = 1U << 20U;
    uint32_t maxConnections = 4096;
    model::Duration requestTimeout = model::seconds(10);
    HttpMemoryLimit *memory = nullptr; //!< Must outlive the server; null for no limit.
};

//! HTTP/1.1 and HTTP/2 server on one listening socket, without TLS.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, IHttpHandler &handler, HttpServerLimits limits);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Starts to accept connections on \a socket.
    void listen(ListenSocket socket);
    //! Port of the listening socket; zero before listen().
    uint16_t port() const;
    //! Stops accepting connections. Open connections are not affected.
    void stopListening();

    //! Sends a complete response. Unknown numbers are ignored, because the caller may have
    //! disconnected.
    void respond(uint64_t number, uint16_t status, const Headers &headers, model::BodyPtr body);

    //! Sends a streamed response: beginStream(), any number of write(), one endStream().
    void beginStream(uint64_t number, uint16_t status, const Headers &headers);
    void write(uint64_t number, std::string_view bytes);
    void endStream(uint64_t number);
    //! Bytes of a streamed response that were written but not yet sent to the caller.
    size_t buffered(uint64_t number) const;

    //! Ends exchanges whose caller has closed its connection. Must be called periodically.
    void closeAbandonedExchanges();

    size_t openConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_HTTPSERVER_H
