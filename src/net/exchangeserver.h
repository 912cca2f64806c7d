#ifndef CITRONPICK_NET_EXCHANGESERVER_H
#define CITRONPICK_NET_EXCHANGESERVER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/listensocket.h"
#include "net/messageparser.h"

namespace citronpick::net
{

//! A request read to its end.
struct IncomingRequest {
    MessageHead head;
    std::string body;
    model::TimePoint startedAt; //!< When its first byte was read.
};

//! Takes what callers of an ExchangeServer send. Numbers name exchanges and are never used twice.
class IExchangeHandler
{
public:
    virtual ~IExchangeHandler() = default;

    virtual void onRequest(uint64_t exchange, IncomingRequest request) = 0;
    //! The caller closed its connection before the answer was complete.
    virtual void onCallerGone(uint64_t exchange) = 0;
    //! What was written to a slow caller has left.
    virtual void onDrained(uint64_t exchange)
    {
        static_cast<void>(exchange);
    }
};

//! What callers are held to.
struct ExchangeLimits {
    size_t maxHeadBytes = 16U << 10U;
    size_t maxBodyBytes = 4U << 20U;
    model::Duration headTimeout = model::seconds(3); //!< From the first byte to the last.
    model::Duration idleTimeout = model::seconds(15); //!< Between requests.
    size_t maxConnections = 3000;

    friend bool operator==(const ExchangeLimits &, const ExchangeLimits &) = default;
};

/*!
 * HTTP/1.1 server whose exchanges show every event of their connection.
 *
 * Answers go out byte for byte: whether an answer ends as complete, is broken off, or its
 * connection is reset is the handler's choice, and a caller that leaves is told at once.
 */
class ExchangeServer
{
public:
    ExchangeServer(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits);
    ~ExchangeServer();

    ExchangeServer(const ExchangeServer &) = delete;
    ExchangeServer &operator=(const ExchangeServer &) = delete;

    void listen(ListenSocket socket);
    void stopListening();
    void setLimits(const ExchangeLimits &limits);
    //! Answers from here on end their connection.
    void closeAfterAnswers();

    //! Answers in full. Unknown exchanges are ignored: the caller is gone.
    void respond(uint64_t exchange, uint16_t status, const Headers &headers, std::string_view body);
    //! Answers piece by piece; without a length the body is chunked.
    void begin(uint64_t exchange, uint16_t status, const Headers &headers,
               std::optional<uint64_t> length);
    void write(uint64_t exchange, std::string_view bytes);
    void end(uint64_t exchange);
    //! Ends the connection so that the answer cannot look complete.
    void abort(uint64_t exchange);
    //! Bytes written that have not left yet.
    size_t buffered(uint64_t exchange) const;

    //! Ends connections that are past their time; to be called a few times a second.
    void sweep(model::TimePoint now);

    size_t connectionCount() const;
    size_t exchangeCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_EXCHANGESERVER_H
