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

//! What a proxy does to the connections through it.
enum class LinkFault {
    None,
    Delayed, //!< Bytes pass after a fixed delay.
    Reset, //!< Connections are reset, new ones too.
    CutToServer, //!< What the client sends is lost on the way; answers pass.
    CutToClient, //!< What the server sends is lost on the way.
    Silent, //!< Nothing passes in either direction, and nothing is closed.
};

//! A TCP proxy on loopback between one client and one server, polled by the soak's loop.
class FaultProxy
{
public:
    FaultProxy(net::ListenSocket socket, config::Endpoint server);
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;
    ~FaultProxy();

    config::Endpoint address() const;
    void setFault(LinkFault fault);
    //! Moves what has come and is due.
    void run(model::TimePoint now);

private:
    struct Chunk {
        model::TimePoint due;
        std::string bytes;
    };
    //! One direction of a connection.
    struct Flow {
        std::vector<Chunk> held;
        bool hasEnded = false; //!< The sender has closed its side.
        bool isShut = false; //!< And the receiver has been told.
    };
    struct Connection {
        int client = -1;
        int server = -1;
        Flow toServer;
        Flow toClient;
        bool isBroken = false;
    };

    void accept();
    void move(Connection &connection, bool toServer, model::TimePoint now) const;
    bool isLost(bool toServer) const;
    static void close(Connection &connection, bool isReset);

    int m_listener;
    uint16_t m_port;
    config::Endpoint m_server;
    LinkFault m_fault = LinkFault::None;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_FAULTPROXY_H
