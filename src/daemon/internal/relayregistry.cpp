#include <absl/strings/str_cat.h>

#include "daemon/internal/exchangerunner.h"
#include "daemon/internal/fleetapi.h"
#include "daemon/internal/listingcodec.h"
#include "daemon/internal/registryreader.h"
#include "daemon/relaydaemon.h"
#include "model/abslview.h"
#include "model/hash.h"

// The part of RelayDaemon that applies registry content, read from the registry or from peers.

namespace citronpick::daemon
{

using observability::EventCode;

namespace
{

//! Interval at which a daemon that cannot reach the registry requests the listing from a peer.
constexpr model::Duration listingRequestInterval = model::milliseconds(500);

} // namespace

std::optional<config::ConfigurationFile> RelayDaemon::configurationFile() const
{
    if (!m_relay->configuration()) {
        return std::nullopt;
    }
    return config::ConfigurationFile {.revision = m_relay->configuration()->revision(),
                                      .text = m_configurationText};
}

std::optional<std::string> RelayDaemon::listingForPeers(const ListingRequest &request)
{
    const registry::RegistryFollower &follower = m_registry->follower();
    if (!follower.isSynchronized()) {
        return std::nullopt;
    }
    if (follower.revision() <= request.afterRevision) {
        return std::string();
    }
    return encodeListing(follower.listing(net::EventLoop::now()), m_texts, request.knownTexts);
}

// While this daemon cannot reach the registry, the most recent content available is what a peer
// has read.
void RelayDaemon::requestListingFromPeer(model::TimePoint now)
{
    const registry::RegistryFollower &follower = m_registry->follower();
    if (follower.isReachable() || m_isListingPending || now < m_nextListingRequest) {
        return;
    }
    m_nextListingRequest = now + listingRequestInterval;
    std::vector<config::Endpoint> peers;
    for (const auto &[id, row] : m_fleet->members().rows()) {
        if (id != m_settings.daemon && row.member.isUsable()) {
            peers.push_back(row.member.fleet);
        }
    }
    if (peers.empty()) {
        return;
    }
    const config::Endpoint &peer = peers[m_random.below(static_cast<uint32_t>(peers.size()))];
    m_isListingPending = true;
    m_fleetApi->fetchListing(
        peer, follower.revision(), [this, peer](const absl::StatusOr<std::string> &text) {
            m_isListingPending = false;
            if (!text.ok() || text->empty()) {
                return;
            }
            const auto listing = decodeListing(*text, m_texts);
            if (!listing.ok()) {
                record({.code = EventCode::ListingRejected,
                        .request = {},
                        .subject = config::toText(peer),
                        .detail = absl::StrCat("why=", listing.status().message())});
                return;
            }
            m_registry->applyPeerListing(*listing, net::EventLoop::now());
        });
}

void RelayDaemon::startPeerWatch(const registry::WatchPeer &watch)
{
    const auto *reader = m_fleet->members().find(watch.reader);
    if (!reader) {
        m_registry->onPeerError(registry::PeerError::Unreachable, net::EventLoop::now());
        return;
    }
    m_fleetApi->watchPeer(
        reader->member.fleet, watch,
        [this, id = watch.reader](const absl::StatusOr<std::string> &text,
                                  registry::PeerError error) {
            const model::TimePoint now = net::EventLoop::now();
            const auto changes = text.ok() ? decodePeerChanges(*text, m_texts)
                                           : absl::StatusOr<registry::PeerChanges>(text.status());
            if (changes.ok()) {
                m_registry->onPeerChanges(*changes, now);
                return;
            }
            record({.code = EventCode::ReaderFailed,
                    .request = {},
                    .subject = id.text(),
                    .detail = absl::StrCat(
                        "revision=", m_registry->follower().revision(),
                        " age_ms=", model::toMilliseconds(m_registry->follower().callAge(now)),
                        " silent_ms=", model::toMilliseconds(m_registry->follower().silence(now)),
                        " why=", changes.status().message())});
            m_registry->onPeerError(error, now);
        });
}

// The limits that follow from the configuration hold for upstreams that are listed with it.
void RelayDaemon::onRegistryUpdates(const std::vector<registry::FollowerUpdate> &updates)
{
    applyNewestConfiguration(updates);
    for (const registry::FollowerUpdate &update : updates) {
        onRegistryUpdate(update);
    }
}

// Applying a configuration takes time in proportion to its size, and only the last one stays in
// force, even if its key was deleted from the registry after it.
void RelayDaemon::applyNewestConfiguration(const std::vector<registry::FollowerUpdate> &updates)
{
    for (auto update = updates.rbegin(); update != updates.rend(); ++update) {
        const auto *changed = std::get_if<registry::KeyChanged>(&*update);
        const bool isConfiguration
            = changed && changed->value
              && m_format.kindOf(changed->key) == RegistryKeyKind::Configuration;
        if (isConfiguration && applyConfiguration(*changed->value, "registry")) {
            return;
        }
    }
}

void RelayDaemon::onRegistryUpdate(const registry::FollowerUpdate &update)
{
    if (const auto *reachable = std::get_if<registry::ReachabilityChanged>(&update)) {
        record({.code = reachable->isReachable ? EventCode::PlatformAvailable
                                               : EventCode::PlatformUnavailable,
                .request = {},
                .subject = config::toText(m_settings.registry),
                .detail = absl::StrCat("revision=", m_registry->follower().revision())});
    }
    if (const auto *source = std::get_if<registry::SourceChanged>(&update)) {
        record({.code = EventCode::RegistrySourceChanged,
                .request = {},
                .subject = source->reader.isEmpty() ? "registry" : source->reader.text(),
                .detail = absl::StrCat("revision=", m_registry->follower().revision())});
    }
    if (const auto *mismatch = std::get_if<registry::ContentMismatch>(&update)) {
        record({.code = EventCode::RegistryContentMismatch,
                .request = {},
                .subject = mismatch->reader.text(),
                .detail = absl::StrCat("revision=", m_registry->follower().revision())});
    }
    if (const auto *restored = std::get_if<registry::RegistryRestored>(&update)) {
        record(
            {.code = EventCode::RegistryRestored,
             .request = {},
             .subject = config::toText(m_settings.registry),
             .detail = absl::StrCat("era=", restored->era, " before=", restored->revisionBefore)});
    }
    if (const auto *delayed = std::get_if<registry::RemovalDelayed>(&update)) {
        record({.code = EventCode::UpstreamMissing,
                .request = {},
                .subject = delayed->key,
                .detail = absl::StrCat("revision=", delayed->revision,
                                       " keptMs=", model::toMilliseconds(delayed->delay))});
    }
    if (const auto *past = std::get_if<registry::PastChanges>(&update)) {
        applyPastChanges(*past);
    }
    const auto *changed = std::get_if<registry::KeyChanged>(&update);
    if (!changed) {
        return;
    }
    switch (m_format.kindOf(changed->key)) {
    case RegistryKeyKind::Upstream:
        onUpstreamChanged(*changed);
        return;
    case RegistryKeyKind::Evacuation:
        onEvacuationChanged(*changed);
        return;
    case RegistryKeyKind::Configuration:
    case RegistryKeyKind::Other:
        return;
    }
}

// Entries that can't be read named no upstream then either.
void RelayDaemon::applyPastChanges(const registry::PastChanges &past)
{
    std::vector<relay::PastListing> listings;
    for (const registry::RegistryItem &item : past.items) {
        if (m_format.kindOf(item.key) != RegistryKeyKind::Upstream) {
            continue;
        }
        relay::PastListing listing {.id = m_format.upstreamOf(item.key),
                                    .isFirst = item.createdRevision == item.revision};
        if (item.value) {
            auto decoded = m_format.decodeUpstream(item.key, *item.value);
            listing.listing = decoded.ok() ? std::optional(*std::move(decoded)) : std::nullopt;
        }
        listings.push_back(std::move(listing));
    }
    const model::TimePoint now = net::EventLoop::now();
    m_relay->onPastListings(listings, net::EventLoop::wallTime(), now);
    record({.code = EventCode::PastListingsRead,
            .request = {},
            .subject = config::toText(m_settings.registry),
            .detail = absl::StrCat("revision=", m_registry->follower().revision(), " changes=",
                                   past.items.size(), " upstreams=", listings.size())});
}

// The order holds as long as its key exists, whatever its value says.
void RelayDaemon::onEvacuationChanged(const registry::KeyChanged &changed)
{
    const model::ZoneId zone = m_format.evacuatedZoneOf(changed.key);
    const model::TimePoint now = net::EventLoop::now();
    if (changed.value) {
        m_relay->onZoneEvacuated(zone, now);
    } else {
        m_relay->onZoneRestored(zone, now);
    }
    execute();
}

bool RelayDaemon::applyConfiguration(const std::string &text, std::string_view source)
{
    const model::TimePoint startedAt = net::EventLoop::now();
    if (text == m_configurationText) {
        return true;
    }
    auto content = m_format.decodeConfiguration(text);
    if (!content.ok()) {
        record({.code = EventCode::ConfigurationRejected,
                .request = {},
                .subject = config::toText(m_settings.registry),
                .detail = absl::StrCat("source=", model::toAbsl(source),
                                       " why=", content.status().message())});
        return false;
    }
    const auto configuration
        = std::make_shared<const relay::RelayConfiguration>(*std::move(content));
    const model::Revision before = revisionInForce();
    if (!m_relay->setConfiguration(configuration)) {
        return true;
    }
    ++m_appliedConfigurations;
    m_configurationText = text;
    m_texts.add(text);
    const relay::CallerLimits &limits = configuration->content().callerLimits;
    m_exchanges->server().setLimits({.maxHeadBytes = limits.maxHeadBytes,
                                     .maxBodyBytes = limits.maxBodyBytes,
                                     .headTimeout = limits.headTimeout,
                                     .idleTimeout = limits.idleTimeout,
                                     .maxConnections = config::callerConnections(m_settings),
                                     .maxHeldBytes = net::heldBytesLimit(m_settings.memoryMb)});
    m_fleet->setRevision(configuration->revision(), model::hash64(text));
    record({.code = EventCode::ConfigurationAccepted,
            .request = {},
            .subject = absl::StrCat("revision-", configuration->revision().value()),
            .detail = absl::StrCat(
                "source=", model::toAbsl(source), " before=", before.value(),
                " routes=", configuration->content().routes.size(), " bytes=", text.size(),
                " apply_ms=", model::toMilliseconds(net::EventLoop::now() - startedAt))});
    return true;
}

void RelayDaemon::onUpstreamChanged(const registry::KeyChanged &changed)
{
    const model::UpstreamId id = m_format.upstreamOf(changed.key);
    const std::string revision = absl::StrCat("revision=", changed.revision);
    if (!changed.value) {
        if (m_relay->onUpstreamRemoved(id)) {
            m_fleet->withdraw(fleet::LeavingFact {.upstream = id});
            record({.code = EventCode::UpstreamRemoved,
                    .request = {},
                    .subject = id.text(),
                    .detail = revision});
        }
        return;
    }
    const auto listing = m_format.decodeUpstream(changed.key, *changed.value);
    if (!listing.ok()) {
        m_relay->onUpstreamRemoved(id);
        m_fleet->withdraw(fleet::LeavingFact {.upstream = id});
        record({.code = EventCode::ListingRejected,
                .request = {},
                .subject = id.text(),
                .detail = absl::StrCat(revision, " why=", listing.status().message())});
        return;
    }
    const relay::ListingChange change = m_relay->onUpstreamListed(*listing, net::EventLoop::now());
    if (change == relay::ListingChange::None || change == relay::ListingChange::Updated) {
        return;
    }
    if (change == relay::ListingChange::Outdated) {
        record({.code = EventCode::ListingRejected,
                .request = {},
                .subject = id.text(),
                .detail = absl::StrCat(revision, " why=already-leaving")});
        return;
    }
    if (change == relay::ListingChange::Restarted) {
        m_fleet->withdraw(fleet::LeavingFact {.upstream = id});
    }
    const EventCode code = change == relay::ListingChange::Added ? EventCode::UpstreamListed
                           : change == relay::ListingChange::Restarted
                               ? EventCode::UpstreamRestarted
                               : EventCode::UpstreamLeaving;
    record({.code = code,
            .request = {},
            .subject = id.text(),
            .detail = absl::StrCat(
                revision, " pool=", listing->pool.text(),
                " address=", config::toText(listing->address), " zone=", listing->zone.text(),
                " version=", listing->version.text(), " incarnation=", listing->incarnation)});
}

} // namespace citronpick::daemon
