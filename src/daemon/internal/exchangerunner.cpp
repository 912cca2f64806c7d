#include "daemon/internal/exchangerunner.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "model/abslview.h"
#include "model/hash.h"
#include "net/connectionheaders.h"

namespace citronpick::daemon
{

namespace
{

//! The relay system cancels a call that exceeds its deadline; the call timeout ends this period
//! later and acts only if the relay system has not cancelled the call.
constexpr model::Duration gracePeriod = model::seconds(5);

uint16_t toHttpStatus(relay::Refusal refusal)
{
    switch (refusal) {
    case relay::Refusal::UnknownRoute:
        return 404;
    case relay::Refusal::UnknownKey:
        return 401;
    case relay::Refusal::BadRequest:
        return 400;
    case relay::Refusal::UpstreamFailed:
        return 502;
    case relay::Refusal::TimedOut:
        return 504;
    case relay::Refusal::NoConfiguration:
    case relay::Refusal::Stopping:
    case relay::Refusal::NoUpstream:
    case relay::Refusal::UpstreamsFull:
    case relay::Refusal::TooLate:
    case relay::Refusal::Quarantined:
    case relay::Refusal::StagesFailed:
    case relay::Refusal::VersionGone:
    case relay::Refusal::OriginUnknown:
        return 503;
    }
    return 502;
}

// Covers only what stays the same when a caller repeats a request: host, target, account key and
// body, but not the request identifier or the time.
model::Fingerprint computeFingerprint(const relay::ArrivedRequest &arrived,
                                      const net::IncomingRequest &request)
{
    uint64_t hash = model::hash64(request.head.target, model::hash64(arrived.host));
    hash = model::hash64(arrived.accountKey.value_or(std::string()), hash);
    return model::Fingerprint(model::hash64(request.body, hash));
}

} // namespace

ExchangeRunner::ExchangeRunner(net::EventLoop &loop, net::UpstreamClient &client,
                               const IWireFormat &format, relay::RelaySystem &system,
                               IRelayHost &host, net::ExchangeLimits limits,
                               const net::ListenerLimits &shared)
    : m_server(loop, *this, limits, shared)
    , m_client(client)
    , m_format(format)
    , m_system(system)
    , m_host(host)
{
}

void ExchangeRunner::onRequest(uint64_t exchange, net::IncomingRequest request)
{
    const model::RequestId id(exchange);
    relay::ArrivedRequest arrived = m_format.decodeRequest(request.head);
    arrived.request = id;
    arrived.startedAt = request.startedAt;
    arrived.fingerprint = computeFingerprint(arrived, request);
    m_pendingRequests[id] = {.request = std::move(request), .callerId = arrived.callerId};
    m_server.nameRequest(exchange, arrived.callerId.text());
    m_system.onRequestArrived(std::move(arrived), net::EventLoop::now());
    m_host.execute();
}

void ExchangeRunner::onCallerDisconnected(uint64_t exchange)
{
    const model::RequestId id(exchange);
    m_system.onCallerDisconnected(id, net::EventLoop::now());
    m_host.execute();
    removeRequest(id);
}

void ExchangeRunner::onRequestDropped(const net::MessageHead &head)
{
    m_host.record({.code = observability::EventCode::RequestDropped,
                   .request = m_format.decodeRequest(head).callerId,
                   .subject = {},
                   .detail = {}});
}

void ExchangeRunner::onDrained(uint64_t exchange)
{
    const auto relayed = m_relayedAttempts.find(model::RequestId(exchange));
    if (relayed == m_relayedAttempts.end()
        || m_server.buffered(exchange) > maxBufferedBytes() / 2) {
        return;
    }
    if (const Attempt *attempt = find(relayed->second)) {
        setPaused(relayed->second, *attempt, false);
    }
}

void ExchangeRunner::onPipelinedDiscarded(uint64_t exchange, size_t bytes)
{
    const auto pending = m_pendingRequests.find(model::RequestId(exchange));
    m_host.record({.code = observability::EventCode::PipelinedDiscarded,
                   .request = pending == m_pendingRequests.end() ? model::CallerRequestId()
                                                                 : pending->second.callerId,
                   .subject = {},
                   .detail = absl::StrCat("bytes=", bytes)});
}

void ExchangeRunner::onConnectionCut(const net::CutConnection &cut)
{
    m_host.record({.code = observability::EventCode::ConnectionCut,
                   .request = model::CallerRequestId(cut.request),
                   .subject = std::string(toString(cut.reason)),
                   .detail = absl::StrCat("open=", cut.isResponseOpen ? 1 : 0,
                                          " unsentBytes=", cut.unsentBytes,
                                          " unacknowledgedBytes=", cut.unacknowledgedBytes,
                                          " unreadBytes=", cut.unreadBytes)});
}

void ExchangeRunner::setPaused(model::AttemptId id, const Attempt &attempt, bool isPaused)
{
    m_client.setPaused(attempt.call, isPaused);
    m_system.onAttemptPaused(id, isPaused, net::EventLoop::now());
}

ExchangeRunner::Attempt *ExchangeRunner::find(model::AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    return it == m_attempts.end() ? nullptr : &it->second;
}

ExchangeRunner::Attempt *ExchangeRunner::attemptOf(uint64_t call, model::AttemptId &id)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return nullptr;
    }
    id = it->second;
    return find(id);
}

void ExchangeRunner::start(const relay::StartAttempt &command)
{
    // The request may have waited while the process was late.
    if (m_server.endIfCallerLeft(command.request.value())) {
        return;
    }
    const auto pending = m_pendingRequests.find(command.request);
    if (pending == m_pendingRequests.end()) {
        return;
    }
    const net::IncomingRequest &request = pending->second.request;
    net::UpstreamCall call = m_format.encodeAttempt(request.head, request.body, command);
    call.timeout = command.timeLeft + gracePeriod;
    Attempt &attempt = m_attempts[command.attempt];
    attempt.request = command.request;
    attempt.upstream = command.upstream;
    attempt.incarnation = command.incarnation;
    attempt.address = command.address;
    attempt.forwardsWholeEvents = command.forwardsWholeEvents;
    attempt.startedAt = net::EventLoop::now();
    attempt.call = m_client.start(std::move(call), *this);
    m_calls[attempt.call] = command.attempt;
}

void ExchangeRunner::removeAttempt(model::AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end()) {
        return;
    }
    m_calls.erase(it->second.call);
    m_server.heldBytes().update(it->second.held, {});
    const auto relayed = m_relayedAttempts.find(it->second.request);
    if (relayed != m_relayedAttempts.end() && relayed->second == id) {
        m_relayedAttempts.erase(relayed);
    }
    m_attempts.erase(it);
}

void ExchangeRunner::removeRequest(model::RequestId request)
{
    m_pendingRequests.erase(request);
    m_relayedAttempts.erase(request);
}

void ExchangeRunner::cancel(const relay::CancelAttempt &command)
{
    const Attempt *attempt = find(command.attempt);
    if (!attempt) {
        return;
    }
    if (const size_t unacknowledged = m_client.cancel(attempt->call); unacknowledged > 0) {
        const auto pending = m_pendingRequests.find(attempt->request);
        m_host.record({.code = observability::EventCode::AttemptWithdrawn,
                       .request = pending == m_pendingRequests.end() ? model::CallerRequestId()
                                                                     : pending->second.callerId,
                       .subject = attempt->upstream.text(),
                       .detail = absl::StrCat("unacknowledgedBytes=", unacknowledged)});
    }
    removeAttempt(command.attempt);
}

void ExchangeRunner::recall(const relay::RecallCalls &command)
{
    std::vector<model::AttemptId> unsent;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.upstream == command.upstream && !m_client.isSent(attempt.call)) {
            unsent.push_back(id);
        }
    }
    for (const model::AttemptId id : unsent) {
        cancel({.attempt = id});
        m_system.onAttemptRecalled(id, net::EventLoop::now());
    }
}

void ExchangeRunner::startStream(const relay::StartStream &command)
{
    Attempt *attempt = find(command.attempt);
    if (!attempt) {
        return;
    }
    // The total length of a stream is unknown if another upstream may resume it.
    const std::optional<uint64_t> length
        = attempt->forwardsWholeEvents ? std::nullopt : attempt->head.contentLength;
    m_server.begin(command.request.value(), attempt->head.status,
                   net::withoutConnectionHeaders(attempt->head.headers), length);
    resumeStream({.request = command.request, .attempt = command.attempt});
}

void ExchangeRunner::resumeStream(const relay::ResumeStream &command)
{
    Attempt *attempt = find(command.attempt);
    if (!attempt) {
        return;
    }
    attempt->isRelaying = true;
    m_relayedAttempts[command.request] = command.attempt;
    const std::string held = std::exchange(attempt->unsentBody, {});
    account(*attempt);
    const bool hasEvents = attempt->events.feed(held);
    write(*attempt, held);
    if (hasEvents) {
        m_system.onAttemptProgress(command.attempt, attempt->splitter.lastEventId(),
                                   net::EventLoop::now());
    }
}

void ExchangeRunner::finishStream(const relay::FinishStream &command)
{
    const auto relayed = m_relayedAttempts.find(command.request);
    const Attempt *attempt = relayed == m_relayedAttempts.end() ? nullptr : find(relayed->second);
    if (attempt && attempt->forwardsWholeEvents) {
        m_server.write(command.request.value(), attempt->splitter.partialEvent());
    }
    m_server.end(command.request.value());
    removeRequest(command.request);
}

void ExchangeRunner::forwardAnswer(const relay::ForwardAnswer &command)
{
    if (const Attempt *attempt = find(command.attempt)) {
        m_server.respond(command.request.value(), attempt->head.status,
                         net::withoutConnectionHeaders(attempt->head.headers), attempt->unsentBody);
    }
    removeRequest(command.request);
}

void ExchangeRunner::abortAnswer(const relay::AbortAnswer &command)
{
    m_server.abort(command.request.value());
    removeRequest(command.request);
}

void ExchangeRunner::refuse(const relay::RefuseRequest &command)
{
    net::Headers headers {{.name = "content-type", .value = net::jsonType}};
    if (command.retryAfter > model::Duration::zero()) {
        headers.push_back({.name = "retry-after",
                           .value = absl::StrFormat("%.2f", model::toSeconds(command.retryAfter))});
    }
    const std::string body
        = absl::StrCat("{\"error\":\"", model::toAbsl(toString(command.refusal)), "\"}");
    m_server.respond(command.request.value(), toHttpStatus(command.refusal), headers, body);
    removeRequest(command.request);
}

} // namespace citronpick::daemon
