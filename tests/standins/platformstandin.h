#ifndef CITRONPICK_TESTS_STANDINS_PLATFORMSTANDIN_H
#define CITRONPICK_TESTS_STANDINS_PLATFORMSTANDIN_H

#include <string>
#include <vector>

#include "net/httpserver.h"

namespace citronpick::standins
{

//! The platform's configuration service and instance list.
class PlatformStandIn : public net::IHttpHandler
{
public:
    explicit PlatformStandIn(net::EventLoop &loop);

    //! Port zero takes any free one; the port in use comes back.
    uint16_t listen(uint16_t port = 0);

    //! Watches that wait are answered at once.
    void publish(uint64_t revision, std::string text);
    void setInstances(std::string json)
    {
        m_instances = std::move(json);
    }
    //! While down, every call is answered with an error.
    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

    //! Ends watches whose time is over; to be called with each turn of the loop.
    void run(model::TimePoint now);

    uint64_t calls() const
    {
        return m_calls;
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

private:
    struct Watch {
        uint64_t number = 0;
        uint64_t after = 0;
        model::TimePoint until;
    };

    void sendFile(uint64_t number);

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
