#ifndef CITRONPICK_TESTS_INTEGRATION_LOOPBACK_H
#define CITRONPICK_TESTS_INTEGRATION_LOOPBACK_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon.h"
#include "standins/platformstandin.h"
#include "standins/upstreamstandin.h"

namespace citronpick::testing
{

//! An answer as a caller sees it.
struct CallerAnswer {
    bool isEnded = false;
    std::optional<net::HttpError> error;
    uint16_t status = 0;
    net::Headers headers;
    std::string body;

    std::string outcome() const
    {
        return net::headerValue(headers, "x-citronpick-outcome");
    }
    std::string reason() const
    {
        return net::headerValue(headers, "x-citronpick-reason");
    }
};

//! Daemons, upstreams and platform on loopback, all on one loop.
class Loopback
{
public:
    static constexpr const char *token = "integration-token";

    //! Upstreams: e1 and e2 encode, g1 and g2 stream, o1 and o2 are a plain service.
    explicit Loopback(size_t daemons = 1, bool isPlatformUp = true);
    ~Loopback();

    //! Turns the loop until the condition holds; false after a time that no sound run needs.
    bool until(const std::function<bool()> &condition);
    void turn(int times);

    //! Sends a request and waits for its end.
    CallerAnswer run(const std::string &route, const std::string &body,
                     net::Headers headers
                     = {{"x-citronpick-request", "r1"}, {"x-citronpick-account", "acme"}},
                     size_t daemon = 0);
    CallerAnswer get(const config::Endpoint &from, const std::string &path,
                     net::Headers headers = {});
    CallerAnswer send(const net::HttpCall &call);
    //! Sends without waiting.
    uint64_t start(const net::HttpCall &call, CallerAnswer &answer);
    net::HttpCall callTo(const std::string &route, const std::string &body, net::Headers headers,
                         size_t daemon = 0) const;

    daemon::Daemon &daemon(size_t index)
    {
        return *m_daemons[index];
    }
    standins::UpstreamStandIn &upstream(const std::string &name)
    {
        return *m_upstreams.at(name);
    }
    standins::PlatformStandIn &platform()
    {
        return *m_platform;
    }
    net::HttpClient &client()
    {
        return *m_client;
    }
    std::string pipelines() const;
    //! Whether a daemon has ended by itself.
    bool isEnded(size_t daemon) const
    {
        return m_isEnded[daemon];
    }

private:
    config::Settings settingsFor(size_t daemon) const;

    net::EventLoop m_loop;
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<standins::PlatformStandIn> m_platform;
    uint16_t m_platformPort = 0;
    std::map<std::string, std::unique_ptr<standins::UpstreamStandIn>> m_upstreams;
    std::map<std::string, uint16_t> m_ports;
    std::vector<std::unique_ptr<daemon::Daemon>> m_daemons;
    std::vector<bool> m_isEnded;
};

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_INTEGRATION_LOOPBACK_H
