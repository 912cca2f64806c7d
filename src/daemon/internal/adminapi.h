#ifndef CITRONPICK_DAEMON_INTERNAL_ADMINAPI_H
#define CITRONPICK_DAEMON_INTERNAL_ADMINAPI_H

#include <string>

#include "config/settings.h"
#include "core/core.h"
#include "net/httpserver.h"
#include "observability/timeline.h"

namespace citronpick::daemon
{

//! Read-only HTTP API for administration: JSON answers, authorization by bearer token.
class AdminApi : public net::IHttpHandler
{
public:
    AdminApi(net::EventLoop &loop, const config::Settings &settings, const core::Core &core,
             const observability::Timeline &timeline, net::HttpMemoryLimit &memory);

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

private:
    bool isAuthorized(const net::HttpServerRequest &request) const;
    std::string statusPage() const;
    std::string upstreamsPage() const;
    std::string configurationPage() const;
    std::string membersPage() const;
    std::string eventsPage(const net::HttpServerRequest &request) const;
    void send(uint64_t number, uint16_t status, std::string text);

    const config::Settings &m_settings;
    const core::Core &m_core;
    const observability::Timeline &m_timeline;
    net::HttpServer m_server;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_ADMINAPI_H
