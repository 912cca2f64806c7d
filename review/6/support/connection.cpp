#include "world.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

sockaddr_in parse(const std::string &address)
{
    const size_t colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

} // namespace

std::string valueOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

Connection::~Connection()
{
    close(m_descriptor);
}

bool Connection::send(const std::string &bytes) const
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill()
{
    char bytes[16384];
    const ssize_t count = recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count < 0) {
        m_isReset = true;
    }
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line)
{
    size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string &out, size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            out.append(m_buffer);
            m_buffer.clear();
            return false;
        }
    }
    out.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readHeaders(Headers &headers)
{
    std::string line;
    while (readLine(line)) {
        if (line.empty()) {
            return true;
        }
        const size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        size_t start = colon + 1;
        while (start < line.size() && line[start] == ' ') {
            ++start;
        }
        headers.emplace_back(lower(line.substr(0, colon)), line.substr(start));
    }
    return false;
}

bool Connection::readBody(Message &message, bool isResponse)
{
    if (lower(valueOf(message.headers, "transfer-encoding")) == "chunked") {
        std::string line;
        while (readLine(line)) {
            const size_t size = std::stoul(line, nullptr, 16);
            if (size == 0) {
                return readLine(line);
            }
            if (!readBytes(message.body, size) || !readLine(line)) {
                return false;
            }
        }
        return false;
    }
    const std::string length = valueOf(message.headers, "content-length");
    if (!length.empty()) {
        return readBytes(message.body, std::stoul(length));
    }
    if (!isResponse) {
        return true;
    }
    while (fill()) { }
    message.body = m_buffer;
    m_buffer.clear();
    return !m_isReset;
}

bool Connection::readRequest(Message &message)
{
    std::string line;
    if (!readLine(line)) {
        return false;
    }
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string::npos || last <= first) {
        return false;
    }
    message = {};
    message.method = line.substr(0, first);
    message.target = line.substr(first + 1, last - first - 1);
    message.isComplete = readHeaders(message.headers) && readBody(message, false);
    return message.isComplete;
}

bool Connection::readResponse(Message &message)
{
    std::string line;
    message = {};
    if (!readLine(line) || line.size() < 12) {
        return false;
    }
    message.status = std::atoi(line.c_str() + 9);
    message.isComplete = readHeaders(message.headers) && readBody(message, true);
    return message.isComplete;
}

void Connection::setTimeout(std::chrono::milliseconds timeout) const
{
    const timeval value {.tv_sec = timeout.count() / 1000,
                         .tv_usec = timeout.count() % 1000 * 1000};
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Connection::reset()
{
    const linger immediately {.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

bool Connection::isClosedByPeer() const
{
    pollfd state {.fd = m_descriptor, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::unique_ptr<Connection> connectTo(const std::string &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const sockaddr_in to = parse(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        return nullptr;
    }
    constexpr int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

std::string response(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string &host, Handler handler, int port)
    : m_handler(std::move(handler))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = parse(host + ":" + std::to_string(port));
    constexpr int backlog = 4096;
    socklen_t size = sizeof(at);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&at), size) != 0
        || ::listen(m_listener, backlog) != 0) {
        std::perror("listen");
        std::_Exit(exitNotRun);
    }
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&at), &size);
    m_address = host + ":" + std::to_string(ntohs(at.sin_port));
    m_acceptor = std::thread([this] { accept(); });
}

void Server::stopListening()
{
    m_isEnding = true;
    shutdown(m_listener, SHUT_RDWR);
}

Server::~Server()
{
    stopListening();
    m_acceptor.join();
    close(m_listener);
}

void Server::accept()
{
    while (!m_isEnding) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        constexpr int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([handler = m_handler, descriptor] {
            Connection connection(descriptor);
            Message request;
            while (connection.readRequest(request) && handler(connection, request)) { }
        }).detach();
    }
}

Message call(const std::string &address, const std::string &method, const std::string &target,
             Headers headers, const std::string &body, std::chrono::milliseconds timeout)
{
    Message answer;
    const std::unique_ptr<Connection> connection = connectTo(address);
    if (!connection) {
        return answer;
    }
    connection->setTimeout(timeout);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (connection->send(text + "\r\n" + body)) {
        connection->readResponse(answer);
    }
    return answer;
}

} // namespace review
