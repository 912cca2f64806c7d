#ifndef CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
#define CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H

#include <functional>
#include <memory>
#include <optional>

#include "config/revisionstore.h"
#include "config/settings.h"
#include "core/commands.h"
#include "daemon/ieventsink.h"
#include "documents/texthistory.h"
#include "net/exchangeserver.h"
#include "net/httpclient.h"
#include "net/messageauth.h"
#include "registry/registryfollower.h"

namespace citronpick::daemon
{

//! Identity of this daemon towards the other daemons of the fleet.
struct FleetIdentity {
    model::DaemonId daemon;
    config::Endpoint endpoint;
    std::string key; //!< Secret shared by all daemons.
    model::Incarnation incarnation;
};

//! A daemon waits for changes of the registry's content after a revision, for at most \a wait.
struct RegistryWatch {
    uint64_t exchange = 0;
    uint64_t afterRevision = 0;
    model::Duration wait {};
    documents::KnownTexts knownTexts; //!< Large ones that the daemon has.
};

//! A daemon that cannot read the registry asks for the content that another one has read.
struct ListingRequest {
    uint64_t afterRevision = 0; //!< The content that it has.
    documents::KnownTexts knownTexts; //!< Large ones that it has.
};

//! Sources of the documents that other daemons may fetch; each returns nullopt if it has none.
struct FleetDocuments {
    std::function<std::optional<config::ConfigurationFile>()> configuration;
    //! Registry content that this daemon has read; an empty text if it is not newer than what the
    //! other daemon has.
    std::function<std::optional<std::string>(const ListingRequest &)> listing;
    //! Takes the watch of a daemon that relies on this one to read the registry. Empty if this
    //! daemon reads no registry.
    std::function<void(const RegistryWatch &)> watch;
    //! Texts from which documents are sent as differences. Without it they are sent as they are.
    documents::TextHistory *texts = nullptr;
};

//! Documents that this daemon has requested from others, and large or broken answers to watches.
struct DocumentCounters {
    uint64_t received = 0;
    uint64_t failed = 0; //!< Refused, or without a complete answer in time.
    uint64_t bytes = 0; //!< Also of incomplete answers.

    friend auto operator<=>(const DocumentCounters &, const DocumentCounters &) = default;
};

//! Message exchange between daemons: JSON-RPC over HTTP with signed calls and signed answers.
class FleetApi : public net::IExchangeHandler
{
public:
    FleetApi(net::EventLoop &loop, net::HttpClient &client, FleetIdentity identity,
             FleetDocuments documents, IEventSink &sink, const net::ListenerLimits &limits = {});

    void listen(net::ListenSocket socket)
    {
        m_server.listen(std::move(socket));
    }
    //! Ends connections that have exceeded their timeout. Must be called a few times per second.
    void sweep(model::TimePoint now)
    {
        m_server.sweep(now);
    }

    void send(const fleet::SendExchange &command);
    void reply(const fleet::SendReply &command);
    //! Fetches a peer's configuration and delivers it to the sink. \a onEnded is called after that,
    //! or when the fetch has failed; it may be empty.
    void fetch(const core::FetchConfiguration &command, const std::function<void()> &onEnded = {});
    //! Text of a document, or why there is none.
    using DocumentHandler = std::function<void(const absl::StatusOr<std::string> &text)>;
    //! Fetches a peer's registry listing. The text is empty if that is not newer than
    //! \a afterRevision.
    void fetchListing(const config::Endpoint &from, uint64_t afterRevision,
                      const DocumentHandler &handler);

    //! Watches the registry's content through a peer that reads it. \a handler gets the text of the
    //! answer, or why there is none.
    using WatchHandler
        = std::function<void(const absl::StatusOr<std::string> &text, registry::PeerError error)>;
    void watchPeer(const config::Endpoint &peer, const registry::WatchPeer &watch,
                   const WatchHandler &handler);
    //! Answers a watch passed to FleetDocuments::watch.
    void answerWatch(uint64_t exchange, const std::string &text);
    //! Ends a watch because this daemon has no current content.
    void rejectWatch(uint64_t exchange);

    //! Whether an answer to a watch has begun to arrive and is not complete.
    bool isWatchAnswerArriving() const
    {
        return m_watchTransfer && m_watchTransfer->answeredAt;
    }

    const DocumentCounters &documentCounters() const
    {
        return m_documentCounters;
    }

    void onRequest(uint64_t exchange, net::IncomingRequest request) override;
    void onCallerDisconnected(uint64_t exchange) override;

private:
    //! How far the answer to a call has arrived.
    struct Transfer {
        model::TimePoint startedAt;
        std::optional<model::TimePoint> answeredAt;
        uint64_t bytes = 0;
    };

    void onExchangeAnswer(uint64_t exchange, const std::string &stamp,
                          const net::HttpResponse &answer);
    void fetchDocument(const config::Endpoint &from, const std::string &path, std::string body,
                       const DocumentHandler &handler);
    std::optional<std::string> documentAt(const net::IncomingRequest &request) const;
    void addKnownTexts(net::HttpCall &call) const;
    absl::StatusOr<config::ConfigurationFile> parseConfiguration(const std::string &text) const;
    net::HttpCall signedCall(const config::Endpoint &to, const std::string &path, std::string body,
                             std::string &stamp);
    void sendDocument(uint64_t exchange, const net::IncomingRequest &request);
    static void count(Transfer &transfer, size_t bytes);
    void recordTransfer(const config::Endpoint &from, std::string_view path,
                        const Transfer &transfer, std::string_view outcome);
    void receiveWatch(uint64_t exchange, const net::IncomingRequest &request);
    void respondSigned(uint64_t exchange, const std::string &stamp, const std::string &body);
    void countRejected(std::string_view reason);
    void reject(uint64_t exchange, std::string_view reason);

    FleetIdentity m_identity;
    FleetDocuments m_documents;
    IEventSink &m_sink;
    net::HttpClient &m_client;
    net::ExchangeServer m_server;
    net::MessageAuth m_auth;
    //! Stamps of unanswered requests, by exchange number.
    absl::flat_hash_map<uint64_t, std::string> m_stamps;
    std::shared_ptr<Transfer> m_watchTransfer; //!< Of the pending watch; null without one.
    DocumentCounters m_documentCounters;
    uint64_t m_rejectedCount = 0;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_FLEETAPI_H
