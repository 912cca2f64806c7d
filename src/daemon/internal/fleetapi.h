#ifndef CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
#define CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H

#include <functional>
#include <optional>

#include "config/revisionstore.h"
#include "config/settings.h"
#include "core/commands.h"
#include "daemon/ieventsink.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/messageauth.h"

namespace citronpick::daemon
{

//! Who this daemon is to the others.
struct FleetIdentity {
    model::DaemonId daemon;
    config::Endpoint endpoint;
    std::string key; //!< Shared by all daemons.
    model::Incarnation incarnation;
};

//! The configuration file in force; empty when there is none.
using ConfigurationSource = std::function<std::optional<config::OfferedFile>()>;

//! Messages between daemons: JSON-RPC over HTTP, signed both ways.
class FleetApi : public net::IHttpHandler
{
public:
    FleetApi(net::EventLoop &loop, net::HttpClient &client, FleetIdentity identity,
             ConfigurationSource configuration, IEventSink &sink);

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }

    void send(const fleet::SendExchange &command);
    void reply(const fleet::SendReply &command);
    void fetch(const core::FetchConfiguration &command);

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

    uint64_t rejected() const
    {
        return m_rejected;
    }

private:
    void onExchangeAnswer(uint64_t exchange, const std::string &stamp,
                          const net::HttpAnswer &answer);
    void onFile(const std::string &stamp, const net::HttpAnswer &answer);
    net::HttpCall signedCall(const config::Endpoint &to, const std::string &path, std::string body,
                             std::string &stamp);
    void sendFile(const net::HttpServerRequest &request);
    void answerSigned(uint64_t number, const std::string &stamp, std::string body);
    void reject(uint64_t number, std::string_view why);

    FleetIdentity m_identity;
    ConfigurationSource m_configuration;
    IEventSink &m_sink;
    net::HttpClient &m_client;
    net::HttpServer m_server;
    net::MessageAuth m_auth;
    absl::flat_hash_map<uint64_t, std::string> m_stamps; //!< Of exchanges to be answered.
    uint64_t m_rejected = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
