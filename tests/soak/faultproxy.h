#ifndef CITRONPICK_SOAK_FAULTPROXY_H
#define CITRONPICK_SOAK_FAULTPROXY_H

#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "model/time.h"
#include "net/listensocket.h"

namespace citronpick::soak
{

//! Fault that a proxy applies to its connections.
enum class LinkFault {
    None,
    Delayed, //!< Bytes are forwarded after a fixed delay.
    Reset, //!< Open and new connections are reset.
    CutToServer, //!< Bytes from the client are dropped; bytes from the server are forwarded.
    CutToClient, //!< Bytes from the server are dropped; bytes from the client are forwarded.
    Silent, //!< Nothing is forwarded in either direction; connections stay open.
};

//! TCP proxy on loopback that injects link faults; polled by the event loop of the soak test.
class FaultProxy
{
public:
    FaultProxy(net::ListenSocket socket, config::Endpoint server);
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;
    ~FaultProxy();

    config::Endpoint address() const;
    void setFault(LinkFault fault);
    //! Accepts connections and forwards received bytes that are due.
    void run(model::TimePoint now);

private:
    struct Chunk {
        model::TimePoint due;
        std::string bytes;
    };
    //! One direction of a connection.
    struct Flow {
        std::vector<Chunk> pending;
        bool isSenderClosed = false; //!< The sender has shut down its side.
        bool isReceiverShutDown = false; //!< The shutdown was passed on to the receiver.
    };
    struct Connection {
        int client = -1;
        int server = -1;
        Flow toServer;
        Flow toClient;
        bool isBroken = false;
    };

    void accept();
    void forward(Connection &connection, bool toServer, model::TimePoint now) const;
    bool isDropped(bool toServer) const;
    static void close(Connection &connection, bool isReset);

    int m_listener;
    uint16_t m_port;
    config::Endpoint m_server;
    LinkFault m_fault = LinkFault::None;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_FAULTPROXY_H
