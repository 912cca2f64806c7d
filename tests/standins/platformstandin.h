#ifndef CITRONPICK_TESTS_STANDINS_PLATFORMSTANDIN_H
#define CITRONPICK_TESTS_STANDINS_PLATFORMSTANDIN_H

#include <string>
#include <vector>

#include "net/httpserver.h"

namespace citronpick::standins
{

//! Serves the configuration watch and the instance list of the platform.
class PlatformStandIn : public net::IHttpHandler
{
public:
    explicit PlatformStandIn(net::EventLoop &loop);

    //! Listens on a port, on any free one if it is zero. Returns the port in use, zero on failure.
    uint16_t listen(uint16_t port = 0);

    //! Sets the configuration file and answers pending watches for older revisions at once.
    void publish(uint64_t revision, std::string text);
    void setInstances(std::string json)
    {
        m_instances = std::move(json);
    }
    //! While down, every call is answered with status 500.
    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

    //! Answers expired watches; to be called in each iteration of the event loop.
    void run(model::TimePoint now);

    uint64_t calls() const
    {
        return m_calls;
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

private:
    struct Watch {
        uint64_t number = 0; //!< Request number of the HTTP server.
        uint64_t after = 0; //!< Answered when a later revision is published.
        model::TimePoint expiresAt;
    };

    void sendConfiguration(uint64_t number);

    net::HttpServer m_server;
    uint64_t m_revision = 0;
    std::string m_text;
    std::string m_instances = R"({"upstreams":[],"daemons":[]})";
    bool m_isDown = false;
    std::vector<Watch> m_watches;
    uint64_t m_calls = 0;
};

} // namespace citronpick::standins

#endif // CITRONPICK_TESTS_STANDINS_PLATFORMSTANDIN_H
