#include "daemon/internal/registryreader.h"

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/overloaded.h"

namespace citronpick::daemon
{

namespace
{

//! Ends a call whose answer keeps arriving but never completes. The follower abandons a call that
//! is not answered long before.
constexpr model::Duration maxCallTime = model::seconds(10);
constexpr model::Duration connectTimeout = model::milliseconds(400);
//! Exceeds a page of the listing.
constexpr uint64_t maxPageBytes = 16U << 20U;
//! Exceeds the values of all keys. An answer to a watch holds each version of a key, a listing only
//! the last one.
constexpr uint64_t maxChangesBytes = 4U << 20U;
constexpr uint16_t success = 200;
constexpr uint16_t compacted = 410;

} // namespace

RegistryReader::RegistryReader(net::UpstreamClient &client, const IWireFormat &format,
                               config::Endpoint registry, registry::FollowerOptions options,
                               uint64_t seed, UpdateHandler handler,
                               PeerWatchStarter startPeerWatch, IEventSink &sink)
    : m_client(client)
    , m_format(format)
    , m_registry(std::move(registry))
    , m_prefix(options.prefix)
    , m_follower(std::move(options), seed)
    , m_handler(std::move(handler))
    , m_startPeerWatch(std::move(startPeerWatch))
    , m_sink(sink)
{
}

void RegistryReader::run(model::TimePoint now)
{
    abandonOverdueCall(now);
    m_handler(m_follower.takeUpdates(now));
    const std::optional<registry::FollowerCall> due = m_follower.takeCall(now);
    if (!due) {
        return;
    }
    std::visit(model::Overloaded {
                   [this](const registry::ReadPage &page) {
                       m_isWatch = false;
                       startCall(m_format.encodeRead(m_registry, m_prefix, page), maxPageBytes);
                   },
                   [this](const registry::WatchChanges &watch) {
                       m_isWatch = true;
                       startCall(m_format.encodeWatch(m_registry, m_prefix, watch.afterRevision,
                                                      watch.timeout),
                                 maxChangesBytes);
                   },
                   [this](const registry::WatchPeer &watch) { m_startPeerWatch(watch); },
               },
               *due);
}

void RegistryReader::startCall(net::UpstreamCall call, uint64_t maxBodyBytes)
{
    m_status = 0;
    m_body.clear();
    call.connectTimeout = connectTimeout;
    call.timeout = maxCallTime;
    call.maxBodyBytes = maxBodyBytes;
    m_call = m_client.start(std::move(call), *this);
}

void RegistryReader::abandonOverdueCall(model::TimePoint now)
{
    const std::optional<model::TimePoint> deadline = m_follower.callDeadline();
    if (m_call == 0 || !deadline || now < *deadline) {
        return;
    }
    m_client.cancel(std::exchange(m_call, 0));
    failCall(registry::CallError::TimedOut, net::toString(net::CallFailure::TimedOut), now);
}

void RegistryReader::failCall(registry::CallError error, std::string_view why, model::TimePoint now)
{
    // Another connection may have gone silent at the same moment as this one.
    m_client.closeIdleConnections(m_registry);
    const std::string call
        = absl::StrCat("call=", m_isWatch ? "watch" : "read", " why=", model::toAbsl(why),
                       " hold_ms=", model::toMilliseconds(m_follower.callTimeout()),
                       " age_ms=", model::toMilliseconds(m_follower.callAge(now)),
                       " silent_ms=", model::toMilliseconds(m_follower.silence(now)));
    m_follower.onError(error, now);
    m_sink.record({.code = observability::EventCode::RegistryCallFailed,
                   .request = {},
                   .subject = config::toText(m_registry),
                   .detail = absl::StrCat(call, " failures=", m_follower.failures(),
                                          " revision=", m_follower.revision())});
}

void RegistryReader::recordReturn(model::TimePoint now)
{
    if (m_follower.failures() == 0) {
        return;
    }
    m_sink.record({.code = observability::EventCode::RegistryAnswersAgain,
                   .request = {},
                   .subject = config::toText(m_registry),
                   .detail = absl::StrCat("call=", m_isWatch ? "watch" : "read", " silent_ms=",
                                          model::toMilliseconds(m_follower.silence(now)),
                                          " failures=", m_follower.failures())});
}

void RegistryReader::onPeerChanges(const registry::PeerChanges &changes, model::TimePoint now)
{
    m_follower.onPeerChanges(changes, now);
    run(now);
}

void RegistryReader::onPeerError(registry::PeerError error, model::TimePoint now)
{
    m_follower.onPeerError(error, now);
    run(now);
}

void RegistryReader::applyPeerListing(const registry::PeerListing &listing, model::TimePoint now)
{
    m_follower.onPeerListing(listing, now);
    run(now);
}

void RegistryReader::onHead(uint64_t call, const net::MessageHead &head)
{
    if (call == m_call) {
        m_status = head.status;
        m_era = m_format.decodeEra(head);
        m_follower.onProgress(net::EventLoop::now());
    }
}

void RegistryReader::onBody(uint64_t call, std::string_view bytes)
{
    if (call == m_call) {
        m_body.append(bytes);
        m_follower.onProgress(net::EventLoop::now());
    }
}

void RegistryReader::onEnd(uint64_t call)
{
    if (call != m_call) {
        return;
    }
    m_call = 0;
    const model::TimePoint now = net::EventLoop::now();
    if (m_status == success) {
        handleAnswer(now);
    } else {
        failCall(m_status == compacted ? registry::CallError::Compacted
                                       : registry::CallError::Refused,
                 absl::StrCat("status-", m_status), now);
    }
    run(now);
}

void RegistryReader::handleAnswer(model::TimePoint now)
{
    if (m_isWatch) {
        auto changes = m_format.decodeChanges(m_body);
        if (changes.ok()) {
            changes->era = m_era;
            recordReturn(now);
            m_follower.onChanges(*changes, now);
            return;
        }
    } else {
        auto page = m_format.decodePage(m_body);
        if (page.ok()) {
            page->era = m_era;
            recordReturn(now);
            m_follower.onPage(*page, now);
            return;
        }
    }
    failCall(registry::CallError::Unreachable, "undecodable", now);
}

void RegistryReader::onFailure(uint64_t call, net::CallFailure failure)
{
    if (call != m_call) {
        return;
    }
    m_call = 0;
    const model::TimePoint now = net::EventLoop::now();
    const bool hasTooManyChanges = m_isWatch && failure == net::CallFailure::TooLarge;
    failCall(hasTooManyChanges ? registry::CallError::TooManyChanges
                               : registry::CallError::Unreachable,
             net::toString(failure), now);
    run(now);
}

} // namespace citronpick::daemon
