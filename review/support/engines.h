#ifndef CITRONPICK_REVIEW_ENGINES_H
#define CITRONPICK_REVIEW_ENGINES_H

#include "harness.h"

// Stand-in of a model replica that streams events and can crash.

namespace citronpick::review
{

//! What happened at the engines, by request id.
class Runs
{
public:
    void add(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[request].push_back(nowMs());
    }
    int of(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(request);
        return it == m_runs.end() ? 0 : static_cast<int>(it->second.size());
    }
    //! When replicas began to run the request, in milliseconds since the start.
    std::vector<int64_t> timesOf(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[request];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<int64_t>> m_runs;
};

struct EngineSpec {
    std::string service = "engines";
    int firstEventMs = 80;
    int eventMs = 100;
    int events = 30;
    //! A replica crashes when it begins to answer a request with this part of a prompt.
    std::string deadlyPart;
    int downMs = 3000; //!< From a crash to the next start.
};

//! A model replica. Each start is a new boot with a new id, at the same address.
class Engine
{
public:
    Engine(std::string name, EngineSpec spec, Registry &registry, Runs &runs)
        : m_name(std::move(name))
        , m_spec(std::move(spec))
        , m_registry(registry)
        , m_runs(runs)
    {
        start();
    }

    //! When the replica crashed, in milliseconds since the start.
    std::vector<int64_t> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    void start()
    {
        const std::lock_guard lock(m_mutex);
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t size = sizeof(address);
        const bool isListening
            = bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
              && listen(m_listener, SOMAXCONN) == 0
              && getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isListening) {
            std::perror("listen");
            std::_Exit(2);
        }
        m_port = ntohs(address.sin_port);
        ++m_boot;
        m_isUp = true;
        m_id = "i-" + m_name + "-" + std::to_string(m_boot);
        RECORD("%s is up", m_id.c_str());
        m_registry.put("servers/" + m_id,
                       replicaEntry(m_spec.service, "127.0.0.1:" + std::to_string(m_port), "zone-a",
                                    64, "ready", 1700000000000 + nowMs()));
        std::thread([this, listener = m_listener, boot = m_boot] {
            acceptAll(listener, boot);
        }).detach();
    }

    void acceptAll(int listener, int boot)
    {
        for (;;) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            if (!m_isUp || boot != m_boot) {
                ::close(descriptor);
                continue;
            }
            m_descriptors.insert(descriptor);
            std::thread([this, descriptor, boot] {
                {
                    Connection connection(dup(descriptor));
                    serve(connection, boot);
                }
                const std::lock_guard ending(m_mutex);
                if (m_descriptors.erase(descriptor) > 0) {
                    ::close(descriptor);
                }
            }).detach();
        }
    }

    //! Resets all connections, and starts again after a while. The entry of the crashed boot is
    //! removed after three ping intervals of silence.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp) {
            return;
        }
        m_isUp = false;
        m_crashes.push_back(nowMs());
        RECORD("%s crashes", m_id.c_str());
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (const int descriptor : m_descriptors) {
            const linger option {.l_onoff = 1, .l_linger = 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            ::shutdown(descriptor, SHUT_RD);
            ::shutdown(descriptor, SHUT_WR);
            ::close(descriptor);
        }
        m_descriptors.clear();
        std::thread([this, id = m_id] {
            constexpr int64_t expiryMs = 3600;
            sleepMs(m_spec.downMs);
            start();
            sleepMs(expiryMs - m_spec.downMs);
            m_registry.remove("servers/" + id);
        }).detach();
    }

    bool isUp(int boot)
    {
        const std::lock_guard lock(m_mutex);
        return m_isUp && m_boot == boot;
    }
    std::string id()
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }

    void serve(Connection &connection, int boot)
    {
        for (;;) {
            Message request;
            if (!connection.readMessage(request, false, nowMs() + 15000) || !isUp(boot)) {
                return;
            }
            if (request.header("x-expect-instance") != id()) {
                if (!connection.send(responseText(421, "X-Instance-Id: " + id() + "\r\n", {}))) {
                    return;
                }
                continue;
            }
            if (!stream(connection, request, boot)) {
                return;
            }
        }
    }

    bool stream(Connection &connection, const Message &request, int boot)
    {
        const std::string requestId = request.header("x-request-id");
        const bool isDeadly
            = !m_spec.deadlyPart.empty()
              && request.header("x-prefix-hash").find(m_spec.deadlyPart) != std::string::npos;
        const std::string resumed = request.header("last-event-id");
        RECORD("%s runs request %s%s", id().c_str(), requestId.c_str(),
               isDeadly ? " (deadly)" : "");
        m_runs.add(requestId);
        sleepMs(m_spec.firstEventMs);
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\nX-Request-Id: "
                             + requestId + "\r\nX-Response-Signature: proof-" + requestId
                             + "\r\n\r\n")) {
            return false;
        }
        for (int event = std::atoi(resumed.c_str()) + 1; event <= m_spec.events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char length[16];
            std::snprintf(length, sizeof(length), "%zx\r\n", text.size());
            if (!isUp(boot) || !connection.send(length + text + "\r\n")) {
                return false;
            }
            if (isDeadly) {
                crash();
                return false;
            }
            sleepMs(m_spec.eventMs);
        }
        return isUp(boot) && connection.send("0\r\n\r\n");
    }

    std::string m_name;
    EngineSpec m_spec;
    Registry &m_registry;
    Runs &m_runs;
    std::mutex m_mutex;
    std::string m_id;
    int m_listener = -1;
    uint16_t m_port = 0;
    int m_boot = 0;
    bool m_isUp = false;
    std::set<int> m_descriptors;
    std::vector<int64_t> m_crashes;
};

} // namespace citronpick::review

#endif // CITRONPICK_REVIEW_ENGINES_H
