#ifndef CITRONPICK_REVIEW_HARNESS_H
#define CITRONPICK_REVIEW_HARNESS_H

// Parts shared by the stand-ins of the review: HTTP over blocking sockets, the platform's registry,
// daemons started with the command of the deploy file, and the record of a run.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronpick::review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(int64_t milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
}

//! Whether the disruption is to be left out.
inline bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

//! What was sent, answered and run, one line each with the milliseconds since the start.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }

    bool open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
        return m_file != nullptr;
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_file) {
            return;
        }
        std::fprintf(m_file, "%7lld ", static_cast<long long>(nowMs()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};

#define RECORD(...) ::citronpick::review::Record::instance().line(__VA_ARGS__)

struct Message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key.size() == name.size()
                && std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
                       return std::tolower(static_cast<unsigned char>(a))
                              == std::tolower(static_cast<unsigned char>(b));
                   })) {
                return value;
            }
        }
        return {};
    }
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const size_t at = target.find('?');
        if (at == std::string::npos) {
            return {};
        }
        std::stringstream fields(target.substr(at + 1));
        std::string field;
        while (std::getline(fields, field, '&')) {
            if (field.rfind(name + "=", 0) == 0) {
                return unescape(field.substr(name.size() + 1));
            }
        }
        return {};
    }

    static std::string unescape(const std::string &text)
    {
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
};

//! A connected socket. Any thread may shut it down; only its owner reads and closes it.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection()
    {
        ::close(m_descriptor);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &host, uint16_t port, int timeoutMs)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const int result
            = connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        if (result != 0 && errno == EINPROGRESS) {
            pollfd wait {.fd = descriptor, .events = POLLOUT, .revents = 0};
            poll(&wait, 1, timeoutMs);
        }
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        sockaddr_in peer {};
        socklen_t peerSize = sizeof(peer);
        const bool isConnected
            = error == 0
              && getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0;
        if (!isConnected) {
            ::close(descriptor);
            return nullptr;
        }
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<Connection>(descriptor);
    }

    int descriptor() const
    {
        return m_descriptor;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    //! Ends the connection with a reset.
    void reset()
    {
        const linger option {.l_onoff = 1, .l_linger = 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        ::shutdown(m_descriptor, SHUT_RD);
    }
    void shutdown()
    {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }

    //! Reads more bytes into the buffer; false at the end of the connection or after the timeout.
    bool fill(int64_t untilMs)
    {
        const int64_t left = untilMs - nowMs();
        pollfd wait {.fd = m_descriptor, .events = POLLIN, .revents = 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
            hasTimedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t received = recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (received <= 0) {
            hasEnded = true;
            return false;
        }
        buffer.append(bytes, static_cast<size_t>(received));
        return true;
    }

    //! Whether the peer has closed or reset the connection. Reads nothing.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t result = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return result == 0 || (result < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    //! Reads a message's head. The body is left in the buffer.
    bool readHead(Message &message, bool isResponse, int64_t untilMs)
    {
        size_t end = buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill(untilMs)) {
                return false;
            }
            end = buffer.find("\r\n\r\n");
        }
        std::stringstream head(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        std::string text;
        std::getline(head, text);
        std::stringstream start(text);
        if (isResponse) {
            std::string version;
            start >> version >> message.status;
        } else {
            start >> message.method >> message.target;
        }
        while (std::getline(head, text)) {
            while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
                text.pop_back();
            }
            const size_t colon = text.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ') {
                ++value;
            }
            message.headers.emplace_back(text.substr(0, colon), text.substr(value));
        }
        return true;
    }

    //! Reads a body with a length or in chunks; false if it ends early.
    bool readBody(Message &message, int64_t untilMs)
    {
        if (message.header("transfer-encoding") == "chunked") {
            for (;;) {
                size_t end = buffer.find("\r\n");
                while (end == std::string::npos) {
                    if (!fill(untilMs)) {
                        return false;
                    }
                    end = buffer.find("\r\n");
                }
                const size_t length = std::stoul(buffer.substr(0, end), nullptr, 16);
                while (buffer.size() < end + 4 + length) {
                    if (!fill(untilMs)) {
                        message.body += buffer.substr(end + 2, length);
                        return false;
                    }
                }
                message.body += buffer.substr(end + 2, length);
                buffer.erase(0, end + 4 + length);
                if (length == 0) {
                    return true;
                }
            }
        }
        const std::string length = message.header("content-length");
        const size_t expected = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < expected) {
            if (!fill(untilMs)) {
                message.body = buffer;
                return false;
            }
        }
        message.body = buffer.substr(0, expected);
        buffer.erase(0, expected);
        return true;
    }

    bool readMessage(Message &message, bool isResponse, int64_t untilMs)
    {
        return readHead(message, isResponse, untilMs) && readBody(message, untilMs);
    }

    std::string buffer;
    std::string lastAnswer; //!< For the owner's use.
    bool hasEnded = false;
    bool hasTimedOut = false;

private:
    int m_descriptor;
};

inline std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//! Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const std::string &host, uint16_t port, Handler handler)
        : m_host(host)
        , m_handler(std::move(handler))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        socklen_t size = sizeof(address);
        const bool isListening
            = bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
              && listen(m_listener, SOMAXCONN) == 0
              && getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isListening) {
            std::perror("listen");
            std::exit(2);
        }
        m_port = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }

    uint16_t port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return m_host + ":" + std::to_string(m_port);
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            std::thread([this, descriptor] {
                Connection connection(descriptor);
                m_handler(connection);
            }).detach();
        }
    }

    std::string m_host;
    Handler m_handler;
    int m_listener = -1;
    uint16_t m_port = 0;
};

inline std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t value = 0;
        for (size_t j = 0; j < 3; ++j) {
            value = (value << 8U) | (i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            const bool isPadding = j > text.size() - i;
            out += isPadding ? '=' : digits[(value >> (18U - 6U * j)) & 63U];
        }
    }
    return out;
}

//! The platform's store as the system sees it: key-range reads and watches.
class Registry
{
public:
    explicit Registry(const std::string &host)
        : m_server(host, 0, [this](Connection &connection) { serve(connection); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }

    //! Returns when the change is acknowledged.
    void put(const std::string &key, const std::string &value)
    {
        change(key, value, false);
    }
    void remove(const std::string &key)
    {
        change(key, {}, true);
    }

private:
    struct Event {
        std::string key;
        std::string value;
        uint64_t revision = 0;
        bool isRemoval = false;
    };

    void change(const std::string &key, const std::string &value, bool isRemoval)
    {
        const std::lock_guard lock(m_mutex);
        const Event event {
            .key = key, .value = value, .revision = ++m_revision, .isRemoval = isRemoval};
        if (isRemoval) {
            m_items.erase(key);
        } else {
            m_items[key] = event;
        }
        m_history.push_back(event);
        m_changed.notify_all();
    }

    static Json toJson(const Event &event)
    {
        if (event.isRemoval) {
            return {{"key", event.key}, {"revision", event.revision}, {"deleted", true}};
        }
        return {{"key", event.key},
                {"value", base64(event.value)},
                {"revision", event.revision},
                {"createdRev", event.revision},
                {"lease", 0}};
    }

    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readMessage(request, false, nowMs() + 600000)) {
                return;
            }
            const std::string prefix = request.query("prefix");
            const std::string after = request.query("after");
            Json answer;
            if (request.path() == "/citronpick/kv-range") {
                const std::lock_guard lock(m_mutex);
                Json items = Json::array();
                for (const auto &[key, event] : m_items) {
                    if (key.rfind(prefix, 0) == 0 && key > after) {
                        items.push_back(toJson(event));
                    }
                }
                answer = {{"items", items}, {"morePages", false}, {"storeRevision", m_revision}};
            } else {
                const uint64_t revision = after.empty() ? 0 : std::stoull(after);
                const std::string wait = request.query("waitMs");
                std::unique_lock lock(m_mutex);
                m_changed.wait_for(lock,
                                   std::chrono::milliseconds(wait.empty() ? 1 : std::stoi(wait)),
                                   [&] { return m_revision > revision; });
                Json events = Json::array();
                for (const Event &event : m_history) {
                    if (event.revision > revision && event.key.rfind(prefix, 0) == 0) {
                        events.push_back(toJson(event));
                    }
                }
                answer = {{"events", events}, {"storeRevision", m_revision}};
            }
            if (!connection.send(
                    responseText(200, "Content-Type: application/json\r\n", answer.dump()))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_revision = 7;
    std::map<std::string, Event> m_items;
    std::vector<Event> m_history;
    Server m_server;
};

//! Entry of a replica in the registry.
inline std::string replicaEntry(const std::string &service, const std::string &address,
                                const std::string &zone, int slots,
                                const std::string &state = "ready", int64_t born = 1700000000000)
{
    return Json {{"service", service},   {"address", address}, {"zone", zone},
                 {"version", "v1"},      {"slots", slots},     {"state", state},
                 {"coldRemainingMs", 0}, {"seq", 1},           {"born", born}}
        .dump();
}

//! Ports that are free on all given loopback addresses.
inline std::vector<uint16_t> freePorts(const std::vector<std::string> &hosts, size_t count)
{
    std::mt19937 random(std::random_device {}());
    std::vector<uint16_t> ports;
    while (ports.size() < count) {
        const auto port = static_cast<uint16_t>(20000 + random() % 12000);
        bool isFree = std::find(ports.begin(), ports.end(), port) == ports.end();
        for (const std::string &host : hosts) {
            const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            inet_pton(AF_INET, host.c_str(), &address.sin_addr);
            isFree
                = isFree
                  && bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            ::close(descriptor);
        }
        if (isFree) {
            ports.push_back(port);
        }
    }
    return ports;
}

//! One process of the system, started with the command of the deploy file.
class Daemon
{
public:
    Daemon(std::string program, std::string folder, std::string name, std::string host)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_host(std::move(host))
    {
    }

    const std::string &host() const
    {
        return m_host;
    }
    const std::string &name() const
    {
        return m_name;
    }
    std::string settingsPath() const
    {
        return m_folder + "/" + m_name + ".json";
    }

    void start()
    {
        const std::string log = m_folder + "/" + m_name + ".log";
        m_process = fork();
        if (m_process == 0) {
            // Ends with this process, also if it is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            const std::string settings = "CITRONPICK_SETTINGS=" + settingsPath();
            std::vector<char *> environment = {const_cast<char *>(settings.c_str()), nullptr};
            std::vector<char *> arguments = {const_cast<char *>(m_program.c_str()), nullptr};
            execve(m_program.c_str(), arguments.data(), environment.data());
            _exit(127);
        }
        RECORD("%s started as process %d", m_name.c_str(), m_process);
    }

    void signal(int number) const
    {
        if (m_process > 0) {
            kill(m_process, number);
        }
    }

    //! Whether the process has ended; its wait status is then known.
    bool hasEnded()
    {
        if (m_process <= 0) {
            return true;
        }
        int status = 0;
        if (waitpid(m_process, &status, WNOHANG) != m_process) {
            return false;
        }
        RECORD("%s ended: %s %d", m_name.c_str(), WIFSIGNALED(status) ? "signal" : "exit code",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        endStatus = status;
        m_process = -1;
        return true;
    }

    void stop()
    {
        if (m_process <= 0) {
            return;
        }
        kill(m_process, SIGCONT);
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }

    int endStatus = 0;

private:
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::string m_host;
    pid_t m_process = -1;
};

//! Daemons on one loopback address each, with the settings of the template, and their registry.
class Deployment
{
public:
    explicit Deployment(size_t daemonCount)
        : registry("127.0.0.1")
    {
        char folder[] = "/tmp/citronpick-review-XXXXXX";
        if (!mkdtemp(folder)) {
            std::exit(2);
        }
        m_folder = folder;
        const char *program = std::getenv("CITRONPICKD");
        m_program = program ? program : "target/src/apps/citronpickd";
        if (access(m_program.c_str(), X_OK) != 0) {
            std::fprintf(stderr, "%s is not built\n", m_program.c_str());
            std::exit(2);
        }
        std::vector<std::string> hosts;
        for (size_t i = 0; i < daemonCount; ++i) {
            hosts.push_back("127.0.0." + std::to_string(11 + i));
        }
        m_ports = freePorts(hosts, 6);
        for (size_t i = 0; i < daemonCount; ++i) {
            daemons.push_back(std::make_unique<Daemon>(m_program, m_folder,
                                                       "front-" + std::to_string(i + 1), hosts[i]));
            writeSettings(*daemons.back(), hosts);
        }
    }
    ~Deployment()
    {
        stop();
    }

    void stop()
    {
        for (const auto &daemon : daemons) {
            daemon->stop();
        }
        const char *keep = std::getenv("KEEP_LOGS");
        if (keep) {
            std::fprintf(stderr, "logs are kept in %s\n", m_folder.c_str());
            return;
        }
        for (const auto &daemon : daemons) {
            ::unlink(daemon->settingsPath().c_str());
            ::unlink((m_folder + "/" + daemon->name() + ".log").c_str());
        }
        ::rmdir(m_folder.c_str());
    }

    uint16_t callerPort() const
    {
        return m_ports[0];
    }
    uint16_t readyPort() const
    {
        return m_ports[1];
    }

    void startAll()
    {
        for (const auto &daemon : daemons) {
            daemon->start();
        }
    }

    bool isReady(const Daemon &daemon) const
    {
        const auto connection = Connection::open(daemon.host(), readyPort(), 300);
        Message answer;
        return connection
               && connection->send("GET /citronpick/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
               && connection->readMessage(answer, true, nowMs() + 500) && answer.status == 200;
    }

    //! Waits until all daemons are ready and have had time to find each other.
    bool waitUntilReady(int64_t settleMs) const
    {
        const int64_t until = nowMs() + 15000;
        for (const auto &daemon : daemons) {
            while (!isReady(*daemon)) {
                if (nowMs() > until) {
                    return false;
                }
                sleepMs(50);
            }
        }
        sleepMs(settleMs);
        return true;
    }

    Registry registry;
    std::vector<std::unique_ptr<Daemon>> daemons;

private:
    // The fields and figures of platform/settings.json.template for a small deployment.
    void writeSettings(const Daemon &daemon, const std::vector<std::string> &hosts) const
    {
        const auto at = [](const std::string &host, uint16_t port) {
            return host + ":" + std::to_string(port);
        };
        Json seeds = Json::array();
        for (size_t i = 0; i < hosts.size() && i < 3; ++i) {
            seeds.push_back(at(hosts[i], m_ports[3]));
        }
        const Json settings {{"mode", "relay"},
                             {"daemon", daemon.name()},
                             {"zone", "zone-a"},
                             {"callers", at(daemon.host(), m_ports[0])},
                             {"readiness", at(daemon.host(), m_ports[1])},
                             {"directory", at(daemon.host(), m_ports[2])},
                             {"fleet", at(daemon.host(), m_ports[3])},
                             {"fleetKey", "registry " + registry.address()},
                             {"fleetPorts", {m_ports[4], m_ports[5]}},
                             {"seeds", seeds},
                             {"registry", registry.address()},
                             {"registrySilenceMs", 3000},
                             {"retries", {{"ratio", 0.2}, {"slack", 52}, {"windowMs", 10000}}},
                             {"maxConnections", 3000},
                             {"linkMbps", 1000.0},
                             {"log", {{"level", "info"}}}};
        std::ofstream(daemon.settingsPath()) << settings.dump(2);
    }

    std::string m_folder;
    std::string m_program;
    std::vector<uint16_t> m_ports;
};

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace citronpick::review

#endif // CITRONPICK_REVIEW_HARNESS_H
