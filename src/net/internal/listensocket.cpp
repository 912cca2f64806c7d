#include "net/listensocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <absl/strings/str_cat.h>

namespace citronpick::net
{

namespace
{

constexpr int noDescriptor = -1;

} // namespace

absl::StatusOr<ListenSocket> ListenSocket::bind(const config::Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
        return absl::InvalidArgumentError(absl::StrCat("not an IPv4 address: ", endpoint.host));
    }
    ListenSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), 0);
    const int on = 1;
    setsockopt(result.m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto *genericAddress = reinterpret_cast<sockaddr *>(&address);
    const bool isBound = ::bind(result.m_descriptor, genericAddress, sizeof(address)) == 0
                         && ::listen(result.m_descriptor, SOMAXCONN) == 0;
    if (!isBound) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", endpoint.host, ":",
                                                   endpoint.port, ": ", std::strerror(errno)));
    }
    socklen_t length = sizeof(address);
    getsockname(result.m_descriptor, genericAddress, &length);
    result.m_port = ntohs(address.sin_port);
    return result;
}

ListenSocket::ListenSocket(int descriptor, uint16_t port)
    : m_descriptor(descriptor)
    , m_port(port)
{
}

ListenSocket::ListenSocket(ListenSocket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, noDescriptor))
    , m_port(other.m_port)
{
}

ListenSocket &ListenSocket::operator=(ListenSocket &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    m_port = other.m_port;
    return *this;
}

ListenSocket::~ListenSocket()
{
    if (m_descriptor != noDescriptor) {
        close(m_descriptor);
    }
}

int ListenSocket::release()
{
    return std::exchange(m_descriptor, noDescriptor);
}

} // namespace citronpick::net
