#ifndef CITRONPICK_NET_INTERNAL_EXCHANGESERVERIMPL_H
#define CITRONPICK_NET_INTERNAL_EXCHANGESERVERIMPL_H

#include <functional>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "net/exchangeserver.h"
#include "net/internal/h2o.h"

namespace citronpick::net
{

//! Connections and exchanges of an ExchangeServer.
class ExchangeServer::Impl
{
public:
    Impl(EventLoop &loop, IExchangeHandler &handler, ExchangeLimits limits,
         const ListenerLimits &shared);
    ~Impl();

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
            headBytes = memoryOf(head.headers);
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
        bool discardsPipelined = false; //!< What follows the open request is discarded.
        //! Since discarding or lingering began, without what was held then.
        size_t discardedBytes = 0;
        size_t headBytes = 0; //!< Memory of the request's head once it is complete.
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
        bool isIdle() const
        {
            return exchange == 0 && !isWriting && !isLingering && parser.isAtStart();
        }
        bool isSilent() const
        {
            return !hadExchange && exchange == 0 && !isWriting && !parser.isHeadComplete();
        }
    };

    // Connections and requests
    void pauseReading(Connection &connection);
    void listen(ListenSocket socket);
    void stopListening();
    void closeListener();
    static void onAccept(h2o_socket_t *listener, const char *error);
    void acceptConnection(h2o_socket_t *socket);
    bool hasRoomForConnection() const;
    void noteConnectionCount();
    static void onRead(h2o_socket_t *socket, const char *error);
    void handleReadable(Connection &connection, bool hasEnded);
    void discardInput(Connection &connection);
    void receivePipelined(Connection &connection);
    //! Bytes that follow the request that awaits its response.
    static size_t pipelinedBytes(const Connection &connection);
    void discardPipelined(Connection &connection);
    void parseInput(Connection &connection);
    void dispatchRequest(Connection &connection);
    void reject(Connection &connection, uint16_t status, const Headers &headers = {});
    void resumeReading(Connection &connection);

    // Responses
    Connection *find(uint64_t exchange) const;
    void appendHead(Connection &connection, uint16_t status, const Headers &headers,
                    std::optional<uint64_t> length);
    void respond(uint64_t exchange, uint16_t status, const Headers &headers, std::string_view body);
    void begin(uint64_t exchange, uint16_t status, const Headers &headers,
               std::optional<uint64_t> length);
    void write(uint64_t exchange, std::string_view bytes);
    void end(uint64_t exchange);
    void abort(uint64_t exchange);
    void finish(Connection &connection);
    void flush(Connection &connection);
    static void onWritten(h2o_socket_t *socket, const char *error);
    void afterWrite(Connection &connection);

    // Room and time limits
    void account(Connection &connection);
    void makeRoom(model::Duration minAge);
    void closeForRoom(uint64_t id);
    void rejectForRoom(Connection &connection);
    bool closeOldestIdle();
    bool closeOldest(const std::function<bool(const Connection &)> &isEligible);
    void sweep(model::TimePoint now);
    static bool hasUnreadRequest(const Connection &connection);
    void controlReading();
    //! Open exchanges whose callers have closed their connections.
    std::vector<uint64_t> departedExchanges() const;
    model::Duration timeoutOf(const Connection &connection) const;

    // End of connections
    void reportCut(const Connection &connection, CloseReason reason);
    void reportUnfinished();
    void cut(Connection &connection, CloseReason reason);
    void destroy(Connection &connection);

    EventLoop &m_loop;
    IExchangeHandler &m_handler;
    ExchangeLimits m_limits;
    HeldBytesBudget m_heldBytes;
    std::optional<SharedLimit::Share> m_connectionShare;
    RoomCounters m_roomCounters;
    model::TimePoint m_nextRoom; //!< Room is made at most once in each millisecond.
    h2o_socket_t *m_listener = nullptr;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Connection>> m_connections;
    absl::flat_hash_map<uint64_t, Connection *> m_exchanges;
    uint64_t m_lastConnection = 0;
    uint64_t m_lastExchange = 0;
    bool m_closesAfterResponses = false;
};

} // namespace citronpick::net

#endif // CITRONPICK_NET_INTERNAL_EXCHANGESERVERIMPL_H
