#include "daemon/internal/peerjobs.h"

#include <absl/strings/str_cat.h>

#include "daemon/internal/stagejobcodec.h"
#include "model/abslview.h"

namespace citronpick::daemon
{

namespace
{

constexpr const char *stagePath = "/fleet/stage";
constexpr const char *stampHeader = "x-citronpick-stamp";
constexpr const char *codeHeader = "x-citronpick-code";
//! Daemons of the same deployment accept a connection within milliseconds.
constexpr model::Duration connectTimeout = model::milliseconds(300);
constexpr model::Duration jobTimeout = model::seconds(30);
//! Exceeds the result of the largest job, which holds a short handle for each piece.
constexpr uint64_t maxResultBytes = 1U << 20U;
//! Above this, large jobs of peers are refused.
constexpr size_t maxHeldBytes = 32U << 20U;
constexpr uint16_t success = 200;

} // namespace

PeerJobs::PeerJobs(net::EventLoop &loop, net::UpstreamClient &client, net::MessageAuth &auth,
                   relay::RelaySystem &system, IRelayHost &host, uint16_t port,
                   const net::ListenerLimits &limits)
    : m_server(loop, *this, {.maxHeldBytes = maxHeldBytes}, limits)
    , m_client(client)
    , m_auth(auth)
    , m_system(system)
    , m_host(host)
    , m_port(port)
{
}

void PeerJobs::forward(const relay::ForwardJob &command)
{
    const std::optional<config::Endpoint> peer = config::parseEndpoint(command.peer.address);
    net::UpstreamCall call;
    call.to = {.host = peer ? peer->host : std::string(), .port = m_port};
    call.method = "POST";
    call.target = stagePath;
    call.body = encodeStageJob(command.content, net::EventLoop::now());
    call.hasBody = true;
    call.connectTimeout = connectTimeout;
    call.timeout = jobTimeout;
    call.maxBodyBytes = maxResultBytes;
    const net::Signature signature = m_auth.sign(stagePath, call.body);
    call.headers = {{.name = stampHeader, .value = signature.stamp},
                    {.name = codeHeader, .value = signature.code}};
    const uint64_t number = m_client.start(std::move(call), *this);
    m_calls[number] = {.job = command.job, .stamp = signature.stamp};
    m_callsByJob[command.job] = number;
}

void PeerJobs::cancel(const relay::CancelForwardedJob &command)
{
    const auto it = m_callsByJob.find(command.job);
    if (it == m_callsByJob.end()) {
        return;
    }
    m_client.cancel(it->second);
    m_calls.erase(it->second);
    m_callsByJob.erase(it);
}

void PeerJobs::answer(const relay::AnswerPeer &command)
{
    const auto it = m_stamps.find(command.exchange);
    if (it == m_stamps.end()) {
        return;
    }
    const std::string body = encodeJobResult(command.result);
    const std::string code = m_auth.signResponse(it->second, body);
    m_stamps.erase(it);
    m_server.respond(
        command.exchange, success,
        {{.name = "content-type", .value = net::jsonType}, {.name = codeHeader, .value = code}},
        body);
}

void PeerJobs::onRequest(uint64_t exchange, net::IncomingRequest request)
{
    const net::Signature signature {.stamp = net::headerValue(request.head.headers, stampHeader),
                                    .code = net::headerValue(request.head.headers, codeHeader)};
    const model::TimePoint now = net::EventLoop::now();
    const bool isAuthentic
        = request.head.target == stagePath && m_auth.check(signature, stagePath, request.body).ok();
    auto job = decodeStageJob(request.body, now);
    if (!isAuthentic || !job.ok()) {
        constexpr uint16_t forbidden = 403;
        m_host.record({.code = observability::EventCode::FleetMessageRejected,
                       .request = {},
                       .subject = "stage",
                       .detail = isAuthentic ? "why=malformed" : "why=signature"});
        m_server.respond(exchange, forbidden, {}, {});
        return;
    }
    m_stamps[exchange] = signature.stamp;
    m_system.onPeerJob(exchange, *std::move(job), now);
    m_host.execute();
}

void PeerJobs::onCallerDisconnected(uint64_t exchange)
{
    m_stamps.erase(exchange);
    m_system.onPeerDisconnected(exchange);
    m_host.execute();
}

void PeerJobs::onHead(uint64_t call, const net::MessageHead &head)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second.status = head.status;
        it->second.code = net::headerValue(head.headers, codeHeader);
    }
}

void PeerJobs::onBody(uint64_t call, std::string_view bytes)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second.body.append(bytes);
    }
}

void PeerJobs::onEnd(uint64_t number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    const Call call = std::move(it->second);
    m_calls.erase(it);
    m_callsByJob.erase(call.job);
    m_host.endDepartedCallers();
    auto result = decodeJobResult(call.body);
    const model::TimePoint now = net::EventLoop::now();
    if (call.status == success && result.ok()
        && m_auth.isResponseAuthentic(call.stamp, call.body, call.code)) {
        m_system.onForwardAnswered(call.job, *std::move(result), now);
    } else {
        m_system.onForwardFailed(call.job, now);
    }
    m_host.execute();
}

void PeerJobs::onFailure(uint64_t number, net::CallFailure failure)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    if (failure == net::CallFailure::Malformed) {
        m_host.record({.code = observability::EventCode::FleetMessageRejected,
                       .request = {},
                       .subject = "stage",
                       .detail = absl::StrCat("why=", model::toAbsl(net::toString(failure)))});
    }
    const relay::JobId job = it->second.job;
    m_calls.erase(it);
    m_callsByJob.erase(job);
    m_system.onForwardFailed(job, net::EventLoop::now());
    m_host.execute();
}

} // namespace citronpick::daemon
