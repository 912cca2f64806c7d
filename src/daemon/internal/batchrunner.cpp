#include "daemon/internal/batchrunner.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/hash.h"

namespace citronpick::daemon
{

namespace
{

//! Releases for the same upstream are collected for this period and sent in one call. The
//! delay is short compared with the lifetime of results.
constexpr model::Duration releaseDelay = model::milliseconds(15);
constexpr model::Duration releaseTimeout = model::seconds(2);
//! Results expire after a few seconds.
constexpr model::Duration maxReleaseDelay = model::seconds(5);
//! Exceeds the results that one upstream stores for one daemon.
constexpr size_t maxPostponedHandles = 4096;
//! Only a safeguard: the scheduler cancels batches much earlier.
constexpr model::Duration batchTimeout = model::seconds(20);
//! Exceeds the answer to the largest batch, which holds a short handle for each piece.
constexpr uint64_t maxAnswerBytes = 1U << 20U;
//! A copy of an answer comes at the place of the next answer on its connection. An upstream has few
//! connections from one daemon.
constexpr size_t maxRememberedAnswers = 32;

size_t countResults(const std::vector<relay::ItemOutcome> &outcomes)
{
    return static_cast<size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [](const relay::ItemOutcome &outcome) {
            return outcome.failure == relay::ItemFailure::None;
        }));
}

size_t inputCountOf(const std::vector<relay::BatchItem> &items)
{
    size_t count = 0;
    for (const relay::BatchItem &item : items) {
        count += item.inputs.size();
    }
    return count;
}

} // namespace

BatchRunner::BatchRunner(net::UpstreamClient &client, const IWireFormat &format,
                         relay::RelaySystem &system, IRelayHost &host)
    : m_client(client)
    , m_format(format)
    , m_system(system)
    , m_host(host)
{
}

void BatchRunner::run(const relay::RunBatch &command)
{
    net::UpstreamCall call = m_format.encodeBatch(command);
    call.timeout = batchTimeout;
    call.maxBodyBytes = maxAnswerBytes;
    call.group = net::ConnectionGroup::Batches;
    const uint64_t number = m_client.start(std::move(call), *this);
    m_calls[number] = {.batch = command.batch,
                       .upstream = command.upstream,
                       .incarnation = command.incarnation,
                       .address = command.address,
                       .items = command.items.size(),
                       .inputs = inputCountOf(command.items),
                       .startedAt = net::EventLoop::now()};
    m_callsByBatch[command.batch] = number;
}

void BatchRunner::cancel(const relay::CancelBatch &command)
{
    const auto it = m_callsByBatch.find(command.batch);
    if (it == m_callsByBatch.end()) {
        return;
    }
    record(m_calls[it->second], "given-up");
    m_client.cancel(it->second);
    m_calls.erase(it->second);
    m_callsByBatch.erase(it);
}

void BatchRunner::recall(const relay::RecallCalls &command)
{
    std::vector<uint64_t> unsent;
    for (const auto &[number, call] : m_calls) {
        if (call.upstream == command.upstream && !m_client.isSent(number)) {
            unsent.push_back(number);
        }
    }
    for (const uint64_t number : unsent) {
        const Call call = m_calls.at(number);
        m_client.cancel(number);
        m_calls.erase(number);
        record(call, "recalled");
        // A release needs no retry: unreleased results expire after a few seconds.
        if (call.batch.value() != 0) {
            m_callsByBatch.erase(call.batch);
            m_system.onBatchRefused(call.batch, net::EventLoop::now());
        }
    }
}

void BatchRunner::release(const relay::ReleaseResults &command, model::TimePoint now)
{
    for (const relay::ResultHandle &handle : command.handles) {
        if (const std::optional<config::Endpoint> producer = m_format.producerOf(handle)) {
            m_releases[*producer].push_back(handle);
        }
    }
    if (!m_releases.empty()) {
        m_nextFlush = std::min(m_nextFlush, now + releaseDelay);
    }
}

void BatchRunner::flush(model::TimePoint now)
{
    if (now < m_nextFlush) {
        return;
    }
    m_nextFlush = model::TimePoint::max();
    for (auto &[producer, handles] : std::exchange(m_releases, {})) {
        const relay::Upstream *upstream = m_system.upstreams().findByAddress(producer);
        if (!m_system.upstreams().takesCalls(producer, now)) {
            postpone(upstream, producer, std::move(handles), now);
            continue;
        }
        const model::UpstreamId id = upstream ? upstream->listing.id : model::UpstreamId();
        net::UpstreamCall call = m_format.encodeRelease(producer, id, handles);
        call.timeout = releaseTimeout;
        call.maxBodyBytes = maxAnswerBytes;
        call.group = net::ConnectionGroup::Releases;
        m_calls[m_client.start(std::move(call), *this)]
            = {.upstream = id,
               .incarnation = upstream ? upstream->listing.incarnation : 0,
               .address = producer};
    }
}

// An upstream that leaves takes its results with it, those in a zone that is emptied expire, and
// after a long rest or cold time, or at one that is no longer listed, they have expired.
void BatchRunner::postpone(const relay::Upstream *upstream, const config::Endpoint &producer,
                           std::vector<relay::ResultHandle> handles, model::TimePoint now)
{
    const model::TimePoint opensAt
        = upstream ? upstream->takesReleasesFrom(now) : model::TimePoint::max();
    const bool isWorthwhile
        = opensAt <= now + maxReleaseDelay && handles.size() <= maxPostponedHandles;
    m_host.record({.code = observability::EventCode::ReleaseHeld,
                   .request = {},
                   .subject = config::toText(producer),
                   .detail = absl::StrCat("upstream=", upstream ? upstream->listing.id.text() : "",
                                          " handles=", handles.size(),
                                          " outcome=", isWorthwhile ? "postponed" : "dropped")});
    if (!isWorthwhile) {
        return;
    }
    m_releases[producer] = std::move(handles);
    m_nextFlush = std::min(m_nextFlush, opensAt);
}

void BatchRunner::onHead(uint64_t call, const net::MessageHead &head)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    Call &received = it->second;
    received.facts = m_format.decodeAnswer(head, {});
    const relay::UpstreamNotice notice = m_format.decodeNotice(head, net::EventLoop::wallTime());
    received.hasAskedRest = notice.rest > model::Duration::zero();
    m_system.onUpstreamNotice({.upstream = received.upstream,
                               .incarnation = received.incarnation,
                               .address = received.address,
                               .request = {},
                               .startedAt = received.startedAt},
                              notice, net::EventLoop::now());
    m_host.execute();
}

void BatchRunner::onBody(uint64_t call, std::string_view bytes)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second.body.append(bytes);
    }
}

void BatchRunner::onEnd(uint64_t number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    const Call call = std::move(it->second);
    m_calls.erase(it);
    if (call.batch.value() == 0) {
        return;
    }
    m_callsByBatch.erase(call.batch);
    m_host.endDepartedCallers();
    constexpr uint16_t success = 200;
    const model::TimePoint now = net::EventLoop::now();
    const auto outcomes = m_format.decodeBatch(call.body);
    const bool isWhole = call.facts.status == success && !call.facts.wasNotRun && outcomes.ok()
                         && outcomes->size() == call.items;
    const size_t succeeded = isWhole ? countResults(*outcomes) : 0;
    const bool isCopy = succeeded > 0 && !rememberAnswer(call);
    // Answers to batches name no request, but the results that they name are new: only such an
    // answer is known to be the right one. After any other, the right one may still arrive on the
    // connection, at the place of the next answer.
    if (succeeded == 0 || isCopy) {
        m_client.closeIdleConnections(call.address, net::ConnectionGroup::Batches);
    }
    if (call.facts.wasNotRun || call.hasAskedRest) {
        // Pieces may be processed again, so it does not matter whether a batch that was turned away
        // for a rest has run.
        record(call, absl::StrCat("refused-", call.facts.status));
        m_system.onBatchRefused(call.batch, now);
    } else if (isCopy) {
        record(call, "late-copy");
        m_system.onBatchBroken(call.batch, now);
    } else if (isWhole) {
        record(call, absl::StrCat("made-", succeeded));
        m_system.onBatchAnswered(call.batch, *outcomes, now);
    } else {
        record(call, absl::StrCat("status-", call.facts.status));
        m_system.onBatchBroken(call.batch, now);
    }
    m_host.execute();
}

// An upstream that has started again may use the names of its results once more.
bool BatchRunner::rememberAnswer(const Call &call)
{
    KnownAnswers &known = m_answers[call.upstream];
    if (known.incarnation != call.incarnation) {
        known = {.incarnation = call.incarnation};
    }
    const uint64_t digest = model::hash64(call.body);
    if (std::find(known.digests.begin(), known.digests.end(), digest) != known.digests.end()) {
        return false;
    }
    known.digests.push_back(digest);
    if (known.digests.size() > maxRememberedAnswers) {
        known.digests.pop_front();
    }
    return true;
}

void BatchRunner::onFailure(uint64_t number, net::CallFailure failure)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    const Call call = std::move(it->second);
    m_calls.erase(it);
    if (call.batch.value() == 0) {
        // A failed release needs no retry: unreleased results expire after a few seconds.
        return;
    }
    m_callsByBatch.erase(call.batch);
    record(call, net::toString(failure));
    m_host.endDepartedCallers();
    m_system.onBatchBroken(call.batch, net::EventLoop::now());
    m_host.execute();
}

void BatchRunner::record(const Call &call, std::string_view outcome)
{
    const model::Duration took = net::EventLoop::now() - call.startedAt;
    m_host.record(
        {.code = observability::EventCode::BatchEnded,
         .request = {},
         .subject = call.upstream.text(),
         .detail = absl::StrCat("batch=", call.batch.value(), " pieces=", call.items,
                                " inputs=", call.inputs, " outcome=", model::toAbsl(outcome),
                                " tookMs=", model::toMilliseconds(took))});
}

} // namespace citronpick::daemon
