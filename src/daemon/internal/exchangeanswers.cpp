#include "daemon/internal/exchangerunner.h"

#include <algorithm>

#include "net/connectionheaders.h"

// The part of ExchangeRunner that receives the answers of upstreams.

namespace citronpick::daemon
{

namespace
{

//! If more bytes than this are buffered for a slow caller, reading from the upstream is paused.
constexpr size_t calmBufferedBytes = 256U << 10U;
//! Answers that are not streams are held back up to this size, so that a broken one can be replaced
//! by that of another upstream. Larger answers are forwarded while they arrive.
constexpr size_t calmHeldBackBytes = 1U << 20U;
//! A longer event does not occur; such bytes are not a stream of events.
constexpr size_t calmEventBytes = 256U << 10U;

relay::AttemptFailure toAttemptFailure(net::CallFailure failure)
{
    switch (failure) {
    case net::CallFailure::NotSent:
        return relay::AttemptFailure::NotSent;
    case net::CallFailure::ConnectionLost:
        return relay::AttemptFailure::Broken;
    case net::CallFailure::Malformed:
    case net::CallFailure::TooLarge:
        return relay::AttemptFailure::Malformed;
    case net::CallFailure::TimedOut:
        return relay::AttemptFailure::TimedOut;
    }
    return relay::AttemptFailure::Broken;
}

} // namespace

void ExchangeRunner::onConnected(uint64_t call)
{
    model::AttemptId id;
    if (const Attempt *attempt = attemptOf(call, id)) {
        m_server.endIfCallerLeft(attempt->request.value());
    }
}

void ExchangeRunner::onHead(uint64_t call, const net::MessageHead &head)
{
    model::AttemptId id;
    Attempt *attempt = attemptOf(call, id);
    if (!attempt) {
        return;
    }
    attempt->head = head;
    attempt->headBytes = net::memoryOf(head.headers);
    account(*attempt);
    const auto pending = m_pendingRequests.find(attempt->request);
    const model::CallerRequestId callerId
        = pending == m_pendingRequests.end() ? model::CallerRequestId() : pending->second.callerId;
    const model::TimePoint now = net::EventLoop::now();
    m_system.onUpstreamNotice({.upstream = attempt->upstream,
                               .incarnation = attempt->incarnation,
                               .address = attempt->address,
                               .request = callerId,
                               .startedAt = attempt->startedAt},
                              m_format.decodeNotice(head, net::EventLoop::wallTime()), now);
    m_system.onAttemptHead(id, m_format.decodeAnswer(head, callerId), now);
    m_host.execute();
}

void ExchangeRunner::onBody(uint64_t call, std::string_view bytes)
{
    model::AttemptId id;
    Attempt *attempt = attemptOf(call, id);
    if (!attempt) {
        return;
    }
    if (!attempt->isRelaying) {
        attempt->unsentBody.append(bytes);
        account(*attempt);
        if (attempt->unsentBody.size() > maxHeldBackBytes()) {
            m_system.onAnswerBufferFull(id, net::EventLoop::now());
            m_host.execute();
        }
        return;
    }
    write(*attempt, bytes);
    account(*attempt);
    if (attempt->splitter.partialEvent().size() > maxEventBytes()) {
        failMalformed(id, *attempt);
        return;
    }
    // Single bytes or comments do not show that the upstream makes progress.
    if (attempt->events.feed(bytes)) {
        m_system.onAttemptProgress(id, attempt->splitter.lastEventId(), net::EventLoop::now());
    }
    if (m_server.buffered(attempt->request.value()) > maxBufferedBytes()) {
        setPaused(id, *attempt, true);
    }
}

void ExchangeRunner::account(Attempt &attempt)
{
    m_server.heldBytes().update(
        attempt.held, {0, attempt.headBytes, 0,
                       attempt.unsentBody.capacity() + attempt.splitter.partialEvent().capacity()});
}

size_t ExchangeRunner::maxBufferedBytes()
{
    const net::HeldBytesBudget &budget = m_server.heldBytes();
    return budget.isAboveHighMark() ? budget.smallShare() : calmBufferedBytes;
}

size_t ExchangeRunner::maxEventBytes()
{
    const net::HeldBytesBudget &budget = m_server.heldBytes();
    return budget.isAboveHighMark() ? std::min(calmEventBytes, budget.smallShare())
                                    : calmEventBytes;
}

size_t ExchangeRunner::maxHeldBackBytes()
{
    const net::HeldBytesBudget &budget = m_server.heldBytes();
    return budget.isAboveHighMark() ? budget.smallShare() : calmHeldBackBytes;
}

void ExchangeRunner::failMalformed(model::AttemptId id, const Attempt &attempt)
{
    const std::string lastEventId = attempt.splitter.lastEventId();
    m_client.cancel(attempt.call);
    removeAttempt(id);
    m_system.onAttemptFailed(id, relay::AttemptFailure::Malformed, lastEventId,
                             net::EventLoop::now());
    m_host.execute();
}

void ExchangeRunner::write(Attempt &attempt, std::string_view bytes)
{
    const uint64_t exchange = attempt.request.value();
    if (attempt.forwardsWholeEvents) {
        m_server.write(exchange, attempt.splitter.feed(bytes));
    } else {
        m_server.write(exchange, bytes);
    }
}

// The system closes the connections of a process that crashes as if it had closed them itself, so
// the end of a connection alone does not show that a stream is complete.
bool ExchangeRunner::wasCutOff(const Attempt &attempt)
{
    const bool hasEvents = attempt.forwardsWholeEvents || net::isEventStream(attempt.head.headers);
    return attempt.isRelaying && attempt.head.endsWithConnection && hasEvents
           && !attempt.events.isBehindEvent();
}

void ExchangeRunner::onEnd(uint64_t call)
{
    model::AttemptId id;
    const Attempt *attempt = attemptOf(call, id);
    if (!attempt) {
        return;
    }
    if (wasCutOff(*attempt)) {
        onFailure(call, net::CallFailure::ConnectionLost);
        return;
    }
    m_system.onAttemptEnd(id, net::EventLoop::now());
    m_host.execute();
    removeAttempt(id);
}

void ExchangeRunner::onFailure(uint64_t call, net::CallFailure failure)
{
    model::AttemptId id;
    const Attempt *attempt = attemptOf(call, id);
    if (!attempt) {
        return;
    }
    const std::string lastEventId = attempt->splitter.lastEventId();
    removeAttempt(id);
    m_system.onAttemptFailed(id, toAttemptFailure(failure), lastEventId, net::EventLoop::now());
    m_host.execute();
}

} // namespace citronpick::daemon
