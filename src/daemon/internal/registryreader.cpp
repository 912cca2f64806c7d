#include "daemon/internal/registryreader.h"

#include "model/overloaded.h"

namespace citronpick::daemon
{

namespace
{

//! The registry normally answers within milliseconds; without an answer after this timeout it
//! counts as unreachable.
constexpr model::Duration readTimeout = model::milliseconds(900);
constexpr model::Duration connectTimeout = model::milliseconds(400);
//! Exceeds a page of the listing and many changes of the configuration.
constexpr uint64_t maxBodyBytes = 16U << 20U;
constexpr uint16_t success = 200;
constexpr uint16_t compacted = 410;

} // namespace

RegistryReader::RegistryReader(net::UpstreamClient &client, const IWireFormat &format,
                               config::Endpoint registry, registry::FollowerOptions options,
                               uint64_t seed, UpdateHandler handler,
                               PeerWatchStarter startPeerWatch)
    : m_client(client)
    , m_format(format)
    , m_registry(std::move(registry))
    , m_prefix(options.prefix)
    , m_follower(std::move(options), seed)
    , m_handler(std::move(handler))
    , m_startPeerWatch(std::move(startPeerWatch))
{
}

void RegistryReader::run(model::TimePoint now)
{
    for (const registry::FollowerUpdate &update : m_follower.takeUpdates(now)) {
        m_handler(update);
    }
    const std::optional<registry::FollowerCall> due = m_follower.takeCall(now);
    if (!due) {
        return;
    }
    std::visit(model::Overloaded {
                   [this](const registry::ReadPage &page) {
                       net::UpstreamCall read = m_format.encodeRead(m_registry, m_prefix, page);
                       read.timeout = readTimeout;
                       m_isWatch = false;
                       startCall(std::move(read));
                   },
                   [this](const registry::WatchChanges &watch) {
                       net::UpstreamCall wait = m_format.encodeWatch(
                           m_registry, m_prefix, watch.afterRevision, watch.timeout);
                       wait.timeout = watch.timeout + readTimeout;
                       m_isWatch = true;
                       startCall(std::move(wait));
                   },
                   [this](const registry::WatchPeer &watch) { m_startPeerWatch(watch); },
               },
               *due);
}

void RegistryReader::startCall(net::UpstreamCall call)
{
    m_status = 0;
    m_body.clear();
    call.connectTimeout = connectTimeout;
    call.maxBodyBytes = maxBodyBytes;
    m_call = m_client.start(std::move(call), *this);
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
    }
}

void RegistryReader::onBody(uint64_t call, std::string_view bytes)
{
    if (call == m_call) {
        m_body.append(bytes);
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
        m_follower.onError(m_status == compacted ? registry::CallError::Compacted
                                                 : registry::CallError::Refused,
                           now);
    }
    run(now);
}

void RegistryReader::handleAnswer(model::TimePoint now)
{
    if (m_isWatch) {
        const auto changes = m_format.decodeChanges(m_body);
        if (changes.ok()) {
            m_follower.onChanges(*changes, now);
            return;
        }
    } else {
        const auto page = m_format.decodePage(m_body);
        if (page.ok()) {
            m_follower.onPage(*page, now);
            return;
        }
    }
    m_follower.onError(registry::CallError::Unreachable, now);
}

void RegistryReader::onFailure(uint64_t call, net::CallFailure)
{
    if (call != m_call) {
        return;
    }
    m_call = 0;
    const model::TimePoint now = net::EventLoop::now();
    m_follower.onError(registry::CallError::Unreachable, now);
    run(now);
}

} // namespace citronpick::daemon
