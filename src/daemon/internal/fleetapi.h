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

//! Identity of this daemon towards the other daemons of the fleet.
struct FleetIdentity {
    model::DaemonId daemon;
    config::Endpoint endpoint;
    std::string key; //!< Secret shared by all daemons.
    model::Incarnation incarnation;
};

//! Sources of the documents that other daemons may fetch; each returns nullopt if it has none.
struct FleetDocuments {
    std::function<std::optional<config::ConfigurationFile>()> configuration;
    //! Registry content that this daemon has read.
    std::function<std::optional<std::string>()> listing;
};

//! Message exchange between daemons: JSON-RPC over HTTP with signed calls and signed answers.
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
    //! Fetches a peer's registry listing. \a handler is not called if the peer has none or the
    //! fetch fails.
    void fetchListing(const config::Endpoint &from,
                      const std::function<void(std::string)> &handler);

    void onRequest(const net::HttpServerRequest &request) override;
    void onClosed(uint64_t number, bool wasAnswered) override;

    uint64_t rejectedCount() const
    {
        return m_rejectedCount;
    }

private:
    void onExchangeAnswer(uint64_t exchange, const std::string &stamp,
                          const net::HttpResponse &answer);
    void fetchDocument(const config::Endpoint &from, const std::string &path, std::string body,
                       const std::function<void(std::string)> &handler);
    std::optional<std::string> documentAt(std::string_view path) const;
    net::HttpCall signedCall(const config::Endpoint &to, const std::string &path, std::string body,
                             std::string &stamp);
    void sendDocument(const net::HttpServerRequest &request);
    void respondSigned(uint64_t number, const std::string &stamp, std::string body);
    void reject(uint64_t number, std::string_view reason);

    FleetIdentity m_identity;
    FleetDocuments m_documents;
    IEventSink &m_sink;
    net::HttpClient &m_client;
    net::HttpServer m_server;
    net::MessageAuth m_auth;
    //! Stamps of unanswered requests, by exchange number.
    absl::flat_hash_map<uint64_t, std::string> m_stamps;
    uint64_t m_rejectedCount = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
