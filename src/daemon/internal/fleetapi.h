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

//! What this daemon hands to others on demand; empty when it has none.
struct FleetDocuments {
    std::function<std::optional<config::OfferedFile>()> configuration;
    std::function<std::optional<std::string>()> listing; //!< Of what it has read in the registry.
};

//! Messages between daemons: JSON-RPC over HTTP, signed both ways.
class FleetApi : public net::IHttpHandler
{
public:
    FleetApi(net::EventLoop &loop, net::HttpClient &client, FleetIdentity identity,
             FleetDocuments documents, IEventSink &sink);

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }

    void send(const fleet::SendExchange &command);
    void reply(const fleet::SendReply &command);
    void fetch(const core::FetchConfiguration &command);
    //! Gets a peer's listing; nothing comes when the peer has none or cannot be reached.
    void fetchListing(const config::Endpoint &from,
                      const std::function<void(std::string)> &handler);

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

    uint64_t rejected() const
    {
        return m_rejected;
    }

private:
    void onExchangeAnswer(uint64_t exchange, const std::string &stamp,
                          const net::HttpAnswer &answer);
    void fetchDocument(const config::Endpoint &from, const std::string &path, std::string body,
                       const std::function<void(std::string)> &handler);
    std::optional<std::string> documentAt(std::string_view path) const;
    net::HttpCall signedCall(const config::Endpoint &to, const std::string &path, std::string body,
                             std::string &stamp);
    void sendDocument(const net::HttpServerRequest &request);
    void answerSigned(uint64_t number, const std::string &stamp, std::string body);
    void reject(uint64_t number, std::string_view why);

    FleetIdentity m_identity;
    FleetDocuments m_documents;
    IEventSink &m_sink;
    net::HttpClient &m_client;
    net::HttpServer m_server;
    net::MessageAuth m_auth;
    absl::flat_hash_map<uint64_t, std::string> m_stamps; //!< Of exchanges to be answered.
    uint64_t m_rejected = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
