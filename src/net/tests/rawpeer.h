#ifndef CITRONPICK_NET_TESTS_RAWPEER_H
#define CITRONPICK_NET_TESTS_RAWPEER_H

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "net/eventloop.h"

namespace citronpick::net::testing
{

//! Runs the event loop until \a condition holds. Returns false if it does not hold after
//! maxIterations, which is more than any test needs.
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    constexpr int maxIterations = 4000;
    for (int iteration = 0; iteration < maxIterations; ++iteration) {
        if (condition()) {
            return true;
        }
        loop.runOnce(model::milliseconds(1));
    }
    return condition();
}

//! One end of a TCP connection, which sends exactly the given bytes.
class RawPeer
{
public:
    RawPeer() = default;
    explicit RawPeer(int descriptor)
        : m_descriptor(descriptor)
    {
        fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
    }
    ~RawPeer()
    {
        close();
    }
    RawPeer(RawPeer &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_received(std::move(other.m_received))
        , m_hasEnded(std::exchange(other.m_hasEnded, false))
        , m_isRefused(std::exchange(other.m_isRefused, false))
        , m_wasReset(std::exchange(other.m_wasReset, false))
    {
    }
    RawPeer &operator=(RawPeer &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        std::swap(m_received, other.m_received);
        std::swap(m_hasEnded, other.m_hasEnded);
        std::swap(m_isRefused, other.m_isRefused);
        std::swap(m_wasReset, other.m_wasReset);
        return *this;
    }

    static RawPeer connectTo(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        return RawPeer(descriptor);
    }

    //! Does not wait until the connection is established.
    static RawPeer beginConnecting(uint16_t port, const std::string &host = "127.0.0.1")
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        return RawPeer(descriptor);
    }

    void send(std::string_view bytes)
    {
        static_cast<void>(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    //! Sends as many bytes as the connection takes at once, and returns their number.
    size_t sendSome(std::string_view bytes)
    {
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        m_isRefused = count < 0 && errno != EAGAIN;
        return count < 0 ? 0 : static_cast<size_t>(count);
    }
    //! Whether the other end no longer takes bytes, as the last call of sendSome() found.
    bool isRefused() const
    {
        return m_isRefused;
    }

    //! All bytes received so far.
    const std::string &received()
    {
        char buffer[4096];
        for (;;) {
            const ssize_t count = recv(m_descriptor, buffer, sizeof(buffer), 0);
            if (count == 0) {
                m_hasEnded = true;
            }
            m_wasReset = m_wasReset || (count < 0 && errno == ECONNRESET);
            if (count <= 0) {
                return m_received;
            }
            m_received.append(buffer, static_cast<size_t>(count));
        }
    }
    bool hasEnded()
    {
        received();
        return m_hasEnded;
    }
    bool wasReset()
    {
        received();
        return m_wasReset;
    }
    void clear()
    {
        m_received.clear();
    }

    void finishSending()
    {
        shutdown(m_descriptor, SHUT_WR);
    }
    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }
    //! Closes the connection with a TCP reset.
    void reset()
    {
        const linger immediately {.l_onoff = 1, .l_linger = 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        close();
    }

private:
    int m_descriptor = -1;
    std::string m_received;
    bool m_hasEnded = false;
    bool m_isRefused = false;
    bool m_wasReset = false;
};

//! Listening socket on a free port that accepts connections one by one.
class RawListener
{
public:
    RawListener()
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *genericAddress = reinterpret_cast<sockaddr *>(&address);
        bind(m_descriptor, genericAddress, sizeof(address));
        listen(m_descriptor, 16);
        socklen_t length = sizeof(address);
        getsockname(m_descriptor, genericAddress, &length);
        m_port = ntohs(address.sin_port);
    }
    ~RawListener()
    {
        ::close(m_descriptor);
    }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    uint16_t port() const
    {
        return m_port;
    }

    //! Assigns a pending connection to \a peer; false if there is none.
    bool accept(RawPeer &peer)
    {
        const int descriptor = ::accept(m_descriptor, nullptr, nullptr);
        if (descriptor < 0) {
            return false;
        }
        peer = RawPeer(descriptor);
        return true;
    }

private:
    int m_descriptor;
    uint16_t m_port = 0;
};

} // namespace citronpick::net::testing

#endif // CITRONPICK_NET_TESTS_RAWPEER_H
