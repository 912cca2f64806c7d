#include <absl/strings/str_cat.h>

#include "daemon/internal/fleetapi.h"
#include "daemon/internal/registryreader.h"
#include "daemon/relaydaemon.h"
#include "model/overloaded.h"

// The part of RelayDaemon that exchanges messages with the other daemons.

namespace citronpick::daemon
{

namespace
{

//! A crash report that is older when it arrives does not count against parts of prompts.
constexpr model::Duration maxPartCrashAge = model::seconds(5);
//! Callers read no more entries than this from one answer.
constexpr size_t maxEntries = 64;

} // namespace

void RelayDaemon::runFleet(model::TimePoint now)
{
    m_fleet->run(now);
    for (fleet::FleetCommand &command : m_fleet->takeCommands()) {
        std::visit(model::Overloaded {
                       [this](const fleet::SendExchange &exchange) { m_fleetApi->send(exchange); },
                       [this](const fleet::SendReply &reply) { m_fleetApi->reply(reply); },
                       [this](const observability::Event &event) { record(event); },
                   },
                   command);
    }
    const fleet::FleetUpdates updates = m_fleet->takeUpdates();
    applyCrashFacts(updates, now);
    applyUpstreamFacts(updates, now);
    fetchConfiguration(updates, now);
    refreshPeers();
}

void RelayDaemon::fetchConfiguration(const fleet::FleetUpdates &updates, model::TimePoint now)
{
    for (const fleet::NewerConfiguration &newer : updates.newerConfigurations) {
        m_configurationFetch.onAnnounced(newer);
    }
    const bool isAnswerArriving
        = m_fleetApi->isWatchAnswerArriving() || m_registry->isAnswerArriving();
    const std::optional<fleet::NewerConfiguration> newer
        = m_configurationFetch.take(revisionInForce(), isAnswerArriving, now);
    if (!newer) {
        return;
    }
    record({.code = observability::EventCode::ConfigurationFetched,
            .request = {},
            .subject = absl::StrCat("revision-", newer->revision.value()),
            .detail = absl::StrCat("from=", config::toText(newer->from))});
    m_fleetApi->fetch({.from = newer->from, .revision = newer->revision},
                      [this] { m_configurationFetch.onEnded(); });
}

model::Revision RelayDaemon::revisionInForce() const
{
    return m_relay->configuration() ? m_relay->configuration()->revision() : model::Revision();
}

void RelayDaemon::applyCrashFacts(const fleet::FleetUpdates &updates, model::TimePoint now)
{
    for (const auto &[crash, age] : updates.crashes) {
        m_relay->onPeerCrashReport({.fingerprint = crash.fingerprint, .upstream = crash.upstream},
                                   now);
        // The answers that cleared the parts since then are not known.
        if (age <= maxPartCrashAge) {
            m_relay->onPeerPartCrash({.parts = crash.parts,
                                      .sketch = relay::PartSketch(crash.partSketch),
                                      .upstream = crash.upstream},
                                     age, now);
        }
    }
    for (const auto &[suspected, age] : updates.suspectedParts) {
        m_relay->onPeerSuspectedPart(
            {.part = suspected.part, .sinceFirstCrash = suspected.sinceFirstCrash + age}, now);
    }
    for (const auto &[quarantined, age] : updates.quarantinedParts) {
        m_relay->onPeerQuarantinedPart(quarantined.part, age, now);
    }
    for (const auto &[cleared, age] : updates.clearedParts) {
        m_relay->onPeerClearedPart(cleared.part, age, now);
    }
}

void RelayDaemon::applyUpstreamFacts(const fleet::FleetUpdates &updates, model::TimePoint now)
{
    for (const auto &[rate, age] : updates.upstreamRates) {
        m_relay->onPeerUpstreamRate(rate.upstream, rate.incarnation,
                                    {.requestsPerSecond = rate.requestsPerSecond}, age, now);
    }
    for (const fleet::LeavingFact &leaving : updates.leavingUpstreams) {
        m_relay->onPeerLeavingUpstream(leaving.upstream, leaving.incarnation, now);
    }
}

void RelayDaemon::refreshPeers()
{
    const uint64_t digest = m_fleet->members().digest();
    if (digest == m_membersDigest) {
        return;
    }
    m_membersDigest = digest;
    std::vector<relay::PeerDaemon> peers;
    std::vector<registry::ReaderCandidate> candidates;
    for (const auto &[id, row] : m_fleet->members().rows()) {
        if (row.member.isUsable()) {
            candidates.push_back(
                {.id = id, .zone = row.member.zone, .linkMbps = row.member.linkMbps});
        }
        if (row.member.isUsable() || id == m_settings.daemon) {
            peers.push_back({.id = id,
                             .address = config::toText(row.member.fleet),
                             .linkMbps = row.member.linkMbps});
        }
    }
    m_relay->setPeers(std::move(peers), net::EventLoop::now());
    m_registry->setDaemons(candidates);
}

std::vector<config::Endpoint> RelayDaemon::entries() const
{
    std::vector<config::Endpoint> entries;
    if (isReady()) {
        entries.push_back(m_settings.callers);
    }
    for (const auto &[id, row] : m_fleet->members().rows()) {
        if (id != m_settings.daemon && row.member.isUsable() && entries.size() < maxEntries) {
            entries.push_back(row.member.caller);
        }
    }
    return entries;
}

void RelayDaemon::post(core::Event event)
{
    const model::TimePoint now = net::EventLoop::now();
    std::visit(model::Overloaded {
                   [&](const core::FleetRequestReceived &received) {
                       m_fleet->onRequest(received.exchange, received.message, now);
                   },
                   [&](const core::FleetReplyReceived &received) {
                       m_fleet->onReply(received.exchange, received.message, now);
                   },
                   [&](const core::FleetExchangeFailed &failed) {
                       m_fleet->onExchangeFailed(failed.exchange, now);
                   },
                   [&](const core::ConfigurationOffered &offered) {
                       // The same configuration may have arrived from the registry meanwhile.
                       if (offered.file.revision > revisionInForce()) {
                           applyConfiguration(offered.file.text, "peer");
                       }
                   },
                   [](const auto &) {
                       // The other events occur only in a Daemon, which runs pipelines itself.
                   },
               },
               event);
    runFleet(now);
}

} // namespace citronpick::daemon
