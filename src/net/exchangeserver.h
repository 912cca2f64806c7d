#ifndef CITRONPICK_NET_EXCHANGESERVER_H
#define CITRONPICK_NET_EXCHANGESERVER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/heldbytes.h"
#include "net/listensocket.h"
#include "net/messageparser.h"
#include "net/processlimits.h"

namespace citronpick::net
{

//! Completely received request.
struct IncomingRequest {
    MessageHead head;
    std::string body;
    model::TimePoint startedAt; //!< Time at which its first byte was read.
};

//! Why a connection was closed on this side.
enum class CloseReason {
    WriteFailed,
    TimedOut,
    NoRoom,
    ProcessEnds,
};

std::string_view toString(CloseReason reason);

//! A connection that was closed although its caller may still have expected something.
struct CutConnection {
    std::string request; //!< As set by nameRequest() for its last request; empty without one.
    CloseReason reason = CloseReason::TimedOut;
    bool isResponseOpen = false; //!< The handler had not ended the response.
    size_t unsentBytes = 0; //!< Of responses, not passed to the system.
    size_t unacknowledgedBytes = 0; //!< Passed to the system, and not confirmed by the caller.
    size_t unreadBytes = 0; //!< Received and not read; they turn the close into a reset.

    friend bool operator==(const CutConnection &, const CutConnection &) = default;
};

//! Receives the requests and connection events of an ExchangeServer. An exchange is one request
//! with its response; exchange numbers are never reused.
class IExchangeHandler
{
public:
    virtual ~IExchangeHandler() = default;

    virtual void onRequest(uint64_t exchange, IncomingRequest request) = 0;
    //! The connection of the caller ended before the response was complete.
    virtual void onCallerDisconnected(uint64_t exchange) = 0;
    //! A request was dropped because its caller had disconnected before it was read.
    virtual void onRequestDropped(const MessageHead &head)
    {
        static_cast<void>(head);
    }
    //! Buffered bytes of a streamed response have been sent.
    virtual void onDrained(uint64_t exchange)
    {
        static_cast<void>(exchange);
    }
    //! What the caller sends behind the open request is discarded from now on.
    virtual void onPipelinedDiscarded(uint64_t exchange, size_t bytes)
    {
        static_cast<void>(exchange);
        static_cast<void>(bytes);
    }
    //! A connection is closed for a reason of this side. Not called for abort().
    virtual void onConnectionCut(const CutConnection &cut)
    {
        static_cast<void>(cut);
    }
};

//! Limits that an ExchangeServer enforces on its callers.
struct ExchangeLimits {
    size_t maxHeadBytes = 16U << 10U;
    size_t maxBodyBytes = 4U << 20U;
    //! From the first byte of a request to the end of its head.
    model::Duration headTimeout = model::seconds(3);
    //! Between requests; also from the first byte of a request to the end of its body.
    model::Duration idleTimeout = model::seconds(15);
    size_t maxConnections = 3000;
    size_t maxHeldBytes = 128U << 20U; //!< For all connections together.

    friend bool operator==(const ExchangeLimits &, const ExchangeLimits &) = default;
};

//! Connections that an ExchangeServer refused or closed to make room for others.
struct RoomCounters {
    uint64_t refused = 0; //!< Requests that had not run.
    uint64_t slowReaders = 0;
    uint64_t silent = 0; //!< Connections that had not sent a request.
    uint64_t unaccepted = 0; //!< Connections beyond their greatest number.

    friend bool operator==(const RoomCounters &, const RoomCounters &) = default;
};

/*!
 * HTTP/1.1 server that exposes the connection events of each exchange to its handler.
 *
 * Responses are sent byte for byte as the handler writes them. The handler decides whether a
 * response ends as complete or is aborted by closing its connection, and it is notified as soon as
 * a caller disconnects.
 */
class ExchangeServer
{
public:
    ExchangeServer(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits,
                   const ListenerLimits &shared = {});
    ~ExchangeServer();

    ExchangeServer(const ExchangeServer &) = delete;
    ExchangeServer &operator=(const ExchangeServer &) = delete;

    void listen(ListenSocket socket);
    void stopListening();
    void setLimits(const ExchangeLimits &limits);
    //! From now on, closes each connection after its next response.
    void closeAfterResponses();

    //! Sends a complete response. Unknown exchanges are ignored, because the caller may have
    //! disconnected.
    void respond(uint64_t exchange, uint16_t status, const Headers &headers, std::string_view body);
    //! Sends a streamed response: begin(), any number of write(), one end(). Without \a length the
    //! body is sent with chunked transfer encoding.
    void begin(uint64_t exchange, uint16_t status, const Headers &headers,
               std::optional<uint64_t> length);
    void write(uint64_t exchange, std::string_view bytes);
    void end(uint64_t exchange);
    //! Closes the connection without ending the response, so that the caller sees it as incomplete.
    void abort(uint64_t exchange);
    //! Ends an open exchange whose caller has closed the connection, even if the event loop has not
    //! reported that yet. Returns whether it did.
    bool endIfCallerLeft(uint64_t exchange);
    //! Ends all open exchanges whose callers have closed their connections, even if the event loop
    //! has not reported that yet.
    void endDeparted();
    //! Bytes of a response that were written but not yet sent to the caller.
    size_t buffered(uint64_t exchange) const;
    //! Number of the connection on which the request of an open exchange arrived; numbers are not
    //! reused. Zero if the exchange has ended.
    uint64_t connectionOf(uint64_t exchange) const;

    //! Sets the name under which onConnectionCut() reports the request of an open exchange.
    void nameRequest(uint64_t exchange, std::string name);
    //! Reports each connection that the end of the process will cut.
    void reportUnfinished();

    //! Ends connections that have exceeded their timeout. Must be called a few times per second.
    void sweep(model::TimePoint now);

    //! Whether bytes of a complete response have not been passed to the network yet.
    bool hasUnsentResponses() const;

    //! Bytes buffered for this server's callers; the handler adds what it buffers itself.
    HeldBytesBudget &heldBytes();
    const RoomCounters &roomCounters() const;

    size_t connectionCount() const;
    size_t exchangeCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_EXCHANGESERVER_H
