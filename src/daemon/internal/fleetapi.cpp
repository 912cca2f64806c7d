#include "daemon/internal/fleetapi.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "daemon/internal/fleetnames.h"
#include "documents/platformdocuments.h"
#include "model/abslview.h"
#include "net/fleetcodec.h"

namespace citronpick::daemon
{

namespace
{

//! Above this, large messages of peers are refused, and peers that read no answers disconnected.
constexpr size_t maxHeldBytes = 32U << 20U;
constexpr size_t maxConnections = 2048;

//! Recipient address as the sender signs it and the recipient verifies it.
std::string recipientAddress(const config::Endpoint &endpoint, std::string_view path)
{
    return absl::StrCat(endpoint.host, ":", endpoint.port, model::toAbsl(path));
}

documents::KnownTexts knownTextsOf(const net::IncomingRequest &request)
{
    const std::string header = net::headerValue(request.head.headers, textsHeader);
    if (header.empty()) {
        return std::nullopt;
    }
    std::vector<uint64_t> digests;
    for (const absl::string_view field : absl::StrSplit(header, ' ')) {
        uint64_t digest = 0;
        if (absl::SimpleAtoi(field, &digest)) {
            digests.push_back(digest);
        }
    }
    return digests;
}

} // namespace

FleetApi::FleetApi(net::EventLoop &loop, net::HttpClient &client, FleetIdentity identity,
                   FleetDocuments documents, IEventSink &sink, const net::ListenerLimits &limits)
    : m_identity(std::move(identity))
    , m_documents(std::move(documents))
    , m_sink(sink)
    , m_client(client)
    , m_server(loop, *this,
               {.maxBodyBytes = maxMessageBytes,
                .maxConnections = maxConnections,
                .maxHeldBytes = maxHeldBytes},
               limits)
    , m_auth(m_identity.key, m_identity.daemon, m_identity.incarnation)
{
}

net::HttpCall FleetApi::signedCall(const config::Endpoint &to, const std::string &path,
                                   std::string body, std::string &stamp)
{
    const net::Signature signature = m_auth.sign(recipientAddress(to, path), body);
    stamp = signature.stamp;
    net::HttpCall call;
    call.method = "POST";
    call.to = to;
    call.path = path;
    call.headers = {{.name = stampHeader, .value = signature.stamp},
                    {.name = codeHeader, .value = signature.code}};
    call.body = model::makeBody(std::move(body));
    call.maxBodyBytes = maxMessageBytes;
    return call;
}

void FleetApi::send(const fleet::SendExchange &command)
{
    std::string stamp;
    net::HttpCall call
        = signedCall(command.to, exchangePath, net::encodeFleetCall(command.message), stamp);
    call.connectTimeout = command.timeout;
    call.timeout = command.timeout;
    const uint64_t exchange = command.exchange;
    net::HttpCallbacks callbacks;
    callbacks.onResponse = [this, exchange, stamp](const net::HttpResponse &answer) {
        onExchangeAnswer(exchange, stamp, answer);
    };
    callbacks.onError = [this, exchange](net::HttpError error) {
        if (error == net::HttpError::MalformedResponse) {
            countRejected(net::toString(error));
        }
        m_sink.post(core::FleetExchangeFailed {.exchange = exchange});
    };
    m_client.start(call, std::move(callbacks));
}

void FleetApi::onExchangeAnswer(uint64_t exchange, const std::string &stamp,
                                const net::HttpResponse &answer)
{
    const std::string code = net::headerValue(answer.headers, codeHeader);
    const bool isAuthentic
        = answer.status == 200 && m_auth.isResponseAuthentic(stamp, *answer.body, code);
    if (isAuthentic) {
        auto message = net::decodeFleetResult(*answer.body);
        if (message.ok()) {
            m_sink.post(
                core::FleetReplyReceived {.exchange = exchange, .message = *std::move(message)});
            return;
        }
    }
    ++m_rejectedCount;
    m_sink.post(core::FleetExchangeFailed {.exchange = exchange});
}

void FleetApi::reply(const fleet::SendReply &command)
{
    const auto it = m_stamps.find(command.exchange);
    if (it == m_stamps.end()) {
        return;
    }
    const std::string stamp = it->second;
    m_stamps.erase(it);
    respondSigned(command.exchange, stamp, net::encodeFleetResult(command.message));
}

void FleetApi::respondSigned(uint64_t exchange, const std::string &stamp, const std::string &body)
{
    constexpr uint16_t success = 200;
    const std::string code = m_auth.signResponse(stamp, body);
    m_server.respond(
        exchange, success,
        {{.name = "content-type", .value = net::jsonType}, {.name = codeHeader, .value = code}},
        body);
}

void FleetApi::receiveWatch(uint64_t exchange, const net::IncomingRequest &request)
{
    const std::pair<std::string, std::string> fields
        = absl::StrSplit(request.body, absl::MaxSplits(' ', 1));
    uint64_t afterRevision = 0;
    uint32_t waitMs = 0;
    if (!absl::SimpleAtoi(fields.first, &afterRevision)
        || !absl::SimpleAtoi(fields.second, &waitMs)) {
        m_stamps.erase(exchange);
        reject(exchange, "malformed watch");
        return;
    }
    m_documents.watch({.exchange = exchange,
                       .afterRevision = afterRevision,
                       .wait = model::milliseconds(waitMs),
                       .knownTexts = knownTextsOf(request)});
}

void FleetApi::answerWatch(uint64_t exchange, const std::string &text)
{
    const auto it = m_stamps.find(exchange);
    if (it == m_stamps.end()) {
        return;
    }
    const std::string stamp = it->second;
    m_stamps.erase(it);
    respondSigned(exchange, stamp, text);
}

void FleetApi::rejectWatch(uint64_t exchange)
{
    constexpr uint16_t unavailable = 503;
    m_stamps.erase(exchange);
    m_server.respond(exchange, unavailable, {}, {});
}

void FleetApi::onRequest(uint64_t exchange, net::IncomingRequest request)
{
    const net::Headers &headers = request.head.headers;
    const std::string &path = request.head.target;
    const net::Signature signature {.stamp = net::headerValue(headers, stampHeader),
                                    .code = net::headerValue(headers, codeHeader)};
    const absl::Status status
        = m_auth.check(signature, recipientAddress(m_identity.endpoint, path), request.body);
    if (!status.ok()) {
        reject(exchange, model::fromAbsl(status.message()));
        return;
    }
    m_stamps.emplace(exchange, signature.stamp);
    if (path == configurationPath || path == listingPath) {
        sendDocument(exchange, request);
        return;
    }
    if (path == changesPath && m_documents.watch) {
        receiveWatch(exchange, request);
        return;
    }
    auto message = net::decodeFleetCall(request.body);
    if (path != exchangePath || !message.ok()) {
        m_stamps.erase(exchange);
        reject(exchange, "unknown path or malformed fleet message");
        return;
    }
    m_sink.post(core::FleetRequestReceived {.exchange = exchange, .message = *std::move(message)});
}

std::optional<std::string> FleetApi::documentAt(const net::IncomingRequest &request) const
{
    const documents::KnownTexts knownTexts = knownTextsOf(request);
    if (request.head.target == listingPath) {
        // Daemons of the version before name no revision.
        uint64_t afterRevision = 0;
        if (!absl::SimpleAtoi(request.body, &afterRevision)) {
            afterRevision = 0;
        }
        return m_documents.listing
                   ? m_documents.listing({.afterRevision = afterRevision, .knownTexts = knownTexts})
                   : std::nullopt;
    }
    const std::optional<config::ConfigurationFile> file = m_documents.configuration();
    if (!file) {
        return std::nullopt;
    }
    return m_documents.texts
               ? documents::formatConfigurationAnswer(*file, *m_documents.texts, knownTexts)
               : documents::formatConfigurationAnswer(*file);
}

void FleetApi::sendDocument(uint64_t exchange, const net::IncomingRequest &request)
{
    const std::optional<std::string> text = documentAt(request);
    const std::string stamp = m_stamps[exchange];
    m_stamps.erase(exchange);
    if (!text) {
        reject(exchange, "the requested document is not available");
        return;
    }
    respondSigned(exchange, stamp, *text);
}

void FleetApi::countRejected(std::string_view reason)
{
    ++m_rejectedCount;
    // Unauthenticated senders must not be able to flood the log: a rejection is logged
    // only when the total reaches a power of two.
    if ((m_rejectedCount & (m_rejectedCount - 1)) == 0) {
        m_sink.record(
            {.code = observability::EventCode::FleetMessageRejected,
             .request = {},
             .subject = m_identity.daemon.text(),
             .detail = absl::StrCat("why=", model::toAbsl(reason), " total=", m_rejectedCount)});
    }
}

void FleetApi::reject(uint64_t exchange, std::string_view reason)
{
    countRejected(reason);
    constexpr uint16_t forbidden = 403;
    m_server.respond(exchange, forbidden, {}, {});
}

void FleetApi::onCallerDisconnected(uint64_t exchange)
{
    m_stamps.erase(exchange);
}

} // namespace citronpick::daemon
