#include "standins/platformstandin.h"

#include <cstdlib>

#include "documents/platformdocuments.h"

namespace citronpick::standins
{

PlatformStandIn::PlatformStandIn(net::EventLoop &loop)
    : m_server(loop, *this, {})
{
}

uint16_t PlatformStandIn::listen(uint16_t port)
{
    auto socket = net::ListenSocket::bind({.host = "127.0.0.1", .port = port});
    if (!socket.ok()) {
        return 0;
    }
    m_server.listen(*std::move(socket));
    return m_server.port();
}

void PlatformStandIn::publish(uint64_t revision, std::string text)
{
    m_revision = revision;
    m_text = std::move(text);
    const std::vector<Watch> waiting = std::exchange(m_watches, {});
    for (const Watch &watch : waiting) {
        if (m_revision > watch.after) {
            sendConfiguration(watch.number);
        } else {
            m_watches.push_back(watch);
        }
    }
}

void PlatformStandIn::run(model::TimePoint now)
{
    const std::vector<Watch> waiting = std::exchange(m_watches, {});
    for (const Watch &watch : waiting) {
        if (now >= watch.expiresAt) {
            m_server.respond(watch.number, 204, {}, nullptr);
        } else {
            m_watches.push_back(watch);
        }
    }
}

void PlatformStandIn::onRequest(const net::HttpServerRequest &request)
{
    ++m_calls;
    if (m_isDown) {
        m_server.respond(request.number(), 500, {}, nullptr);
        return;
    }
    if (request.path() == "/v1/instances") {
        m_server.respond(request.number(), 200, {}, model::makeBody(m_instances));
        return;
    }
    if (request.path() != "/v1/configuration/watch") {
        m_server.respond(request.number(), 404, {}, nullptr);
        return;
    }
    const uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
    const int64_t holdMs = std::strtoll(request.query("holdMs").c_str(), nullptr, 10);
    if (m_revision > after) {
        sendConfiguration(request.number());
        return;
    }
    m_watches.push_back({.number = request.number(),
                         .after = after,
                         .expiresAt = net::EventLoop::now() + model::milliseconds(holdMs)});
}

void PlatformStandIn::sendConfiguration(uint64_t number)
{
    m_server.respond(number, 200, {{.name = "content-type", .value = net::jsonType}},
                     model::makeBody(documents::formatConfigurationAnswer(
                         {.revision = model::Revision(m_revision), .text = m_text})));
}

void PlatformStandIn::onClosed(uint64_t number, bool)
{
    std::erase_if(m_watches, [number](const Watch &watch) { return watch.number == number; });
}

} // namespace citronpick::standins
