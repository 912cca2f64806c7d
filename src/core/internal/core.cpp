#include "core/core.h"

#include <absl/strings/str_cat.h>

#include "model/abslview.h"
#include "model/hash.h"
#include "model/invariant.h"

namespace citronpick::core
{

using observability::EventCode;

namespace
{

constexpr size_t maxPrefixes = 20000;
//! A new daemon waits this long for replies of peers before it serves with the configuration from
//! the platform alone.
constexpr model::Duration peerWaitTimeout = model::seconds(2);
//! Number of replies of peers after which a new daemon stops waiting.
constexpr uint32_t minPeerReplies = 2;
//! A configuration that has not arrived from a peer is requested again after this time.
constexpr model::Duration refetchInterval = model::seconds(1);

fleet::Member ownMember(const CoreOptions &options)
{
    return {.id = options.daemon,
            .incarnation = options.incarnation,
            .zone = options.zone,
            .fleet = options.fleetEndpoint,
            .caller = options.callerEndpoint};
}

//! Each component has its own random sequence, so that a change to one does not affect the others.
uint64_t seedFor(const CoreOptions &options, std::string_view part)
{
    return model::hash64(part, options.seed ^ model::hash64(options.daemon.text()));
}

} // namespace

Core::Core(CoreOptions options, model::TimePoint start)
    : m_options(std::move(options))
    , m_startedAt(start)
    , m_fleet(m_options.fleet, ownMember(m_options), seedFor(m_options, "fleet"))
    , m_shares(m_fleet)
    , m_health(m_options.health, m_upstreams, m_shares, seedFor(m_options, "health"))
    , m_prefixes(maxPrefixes)
    , m_router({.zone = m_options.zone,
                .policy = m_options.routing,
                .seed = seedFor(m_options, "routing")},
               m_upstreams, m_health, m_prefixes)
    , m_operations(m_options.operations, m_options.daemon, m_options.incarnation, m_options.secret)
    , m_requests(m_options.pipeline,
                 {.upstreams = m_upstreams,
                  .health = m_health,
                  .router = m_router,
                  .prefixes = m_prefixes,
                  .operations = m_operations,
                  .accountShare = m_shares},
                 seedFor(m_options, "pipeline"))
    , m_lastTime(start)
    , m_nextHealthRun(start)
    , m_nextHousekeeping(start)
{
}

void Core::handle(const Event &event, model::TimePoint now, CommandList &commands)
{
    model::checkInvariant("time never goes back", now >= m_lastTime);
    m_commands = &commands;
    detectPause(now);
    // Due timers run before the event is handled: after a pause of the process, requests whose
    // deadline has passed must not be processed further.
    m_requests.runTimers(now);
    std::visit([&](const auto &typed) { on(typed, now); }, event);
    for (const model::UpstreamRow upstream : m_requests.takeLeavingUpstreams()) {
        markLeaving(upstream, "answer", now);
    }
    collectCommands();
    m_commands = nullptr;
}

bool Core::isReady(model::TimePoint now) const
{
    if (!m_revisions.configuration() || isDraining() || m_pendingFetch) {
        return false;
    }
    return m_peerReplies >= minPeerReplies || now - m_startedAt >= peerWaitTimeout;
}

void Core::detectPause(model::TimePoint now)
{
    if (now - m_lastTime > m_options.health.processPauseThreshold) {
        record(EventCode::ProcessWasPaused, m_options.daemon.text(),
               absl::StrCat("ms=", model::toMilliseconds(now - m_lastTime)));
    }
    m_health.observeTime(now);
    m_lastTime = now;
}

void Core::on(const pipeline::RequestArrived &event, model::TimePoint now)
{
    if (!m_isReady && !m_drainingSince) {
        m_isReady = isReady(now);
    }
    const bool isStarting = m_revisions.configuration() && !m_isReady && !m_drainingSince;
    if (isStarting) {
        // Peers may have a newer configuration and know quarantined requests and leaving upstreams.
        m_commands->emplace_back(pipeline::Respond {.request = event.request,
                                                    .outcome = model::Outcome::NotRun,
                                                    .reason = model::Reason::Starting,
                                                    .retryAfter = model::milliseconds(500)});
        return;
    }
    m_requests.onArrival(event, now);
}

void Core::on(const pipeline::CallerDisconnected &event, model::TimePoint now)
{
    m_requests.onCallerDisconnected(event, now);
}

void Core::on(const pipeline::CallerBlocked &event, model::TimePoint now)
{
    m_requests.onCallerBlocked(event, now);
}

void Core::on(const pipeline::CallerUnblocked &event, model::TimePoint now)
{
    m_requests.onCallerUnblocked(event, now);
}

void Core::on(const pipeline::AttemptAnswered &event, model::TimePoint now)
{
    m_requests.onAnswer(event, now);
}

void Core::on(const pipeline::AttemptStreamed &event, model::TimePoint now)
{
    m_requests.onStream(event, now);
}

void Core::on(const pipeline::AttemptFailed &event, model::TimePoint now)
{
    m_requests.onFailure(event, now);
}

void Core::on(const ProbeEnded &event, model::TimePoint now)
{
    const auto upstream = m_upstreams.find(event.upstream);
    if (!upstream) {
        return;
    }
    if (event.isLeaving) {
        markLeaving(*upstream, "probe", now);
    }
    m_health.onProbe(*upstream, event.number, event.isGood && !event.isLeaving, now);
}

void Core::on(const ConfigurationOffered &event, model::TimePoint now)
{
    absl::Status status;
    const config::OfferResult result = m_revisions.offer(event.file, status);
    const std::string revision = absl::StrCat(event.file.revision.value());
    const std::string source = event.isFromPeer ? "source=peer" : "source=platform";
    const bool completesFetch = m_pendingFetch && event.file.revision >= m_pendingFetch->revision;
    if (completesFetch) {
        m_pendingFetch.reset();
    }
    switch (result) {
    case config::OfferResult::Accepted:
        record(EventCode::ConfigurationAccepted, revision, source);
        applyConfiguration(now);
        break;
    case config::OfferResult::ConflictReplaced:
        record(EventCode::ConfigurationConflict, revision, absl::StrCat(source, " kept=no"));
        applyConfiguration(now);
        break;
    case config::OfferResult::ConflictKept:
        record(EventCode::ConfigurationConflict, revision, absl::StrCat(source, " kept=yes"));
        break;
    case config::OfferResult::Older:
        record(EventCode::ConfigurationOlder, revision,
               absl::StrCat(source, " in_force=", m_revisions.revision().value()));
        break;
    case config::OfferResult::Rejected:
        record(EventCode::ConfigurationRejected, revision,
               absl::StrCat(source, " fault=", status.message()));
        break;
    case config::OfferResult::Unchanged:
        break;
    }
}

void Core::applyConfiguration(model::TimePoint now)
{
    const auto daemons = static_cast<uint32_t>(m_fleet.members().usableCount());
    m_upstreams.apply(*m_revisions.configuration(), daemons, now);
    m_health.synchronise(now);
    m_requests.setConfiguration(m_revisions.configuration());
    m_fleet.setRevision(m_revisions.revision(), m_revisions.digest());
    // Peers may have reported upstreams as leaving that only this configuration contains.
    for (const auto &[key, row] : m_fleet.facts().rows()) {
        if (const auto *leaving = std::get_if<fleet::LeavingFact>(&row.fact.body)) {
            applyLeaving(*leaving, now);
        }
    }
    m_requests.dispatchAll(now);
}

void Core::on(const PlatformReachable &event, model::TimePoint now)
{
    if (event.isReachable == m_isPlatformReachable) {
        return;
    }
    m_isPlatformReachable = event.isReachable;
    record(event.isReachable ? EventCode::PlatformAvailable : EventCode::PlatformUnavailable,
           "platform", absl::StrCat("uptime_ms=", model::toMilliseconds(now - m_startedAt)));
}

void Core::on(const InstanceListRead &event, model::TimePoint now)
{
    m_fleet.setListed(event.daemons);
    for (const ListedUpstream &listed : event.upstreams) {
        const auto upstream = m_upstreams.find(listed.id);
        if (!upstream) {
            continue;
        }
        uint64_t &known = m_listedIncarnations[listed.id];
        const bool isReplaced = known != 0 && listed.incarnation > known;
        if (listed.incarnation < known) {
            continue;
        }
        known = listed.incarnation;
        if (listed.isLeaving) {
            markLeaving(*upstream, "list", now);
        } else if (isReplaced && m_upstreams.at(*upstream).leavingSince) {
            // A new instance has replaced the leaving one. It must pass the return procedure first.
            m_upstreams.at(*upstream).leavingSince.reset();
            m_fleet.withdraw(fleet::LeavingFact {.upstream = listed.id});
            m_health.requireReturn(*upstream, now);
        }
    }
}

void Core::applyLeaving(const fleet::LeavingFact &leaving, model::TimePoint now)
{
    const auto upstream = m_upstreams.find(leaving.upstream);
    const auto known = m_listedIncarnations.find(leaving.upstream);
    const bool isOutdated
        = known != m_listedIncarnations.end() && leaving.incarnation < known->second;
    if (upstream && !isOutdated) {
        markLeaving(*upstream, "peer", now);
    }
}

void Core::markLeaving(model::UpstreamRow upstream, const std::string &source, model::TimePoint now)
{
    upstreams::Upstream &row = m_upstreams.at(upstream);
    if (row.leavingSince) {
        return;
    }
    row.leavingSince = now;
    record(EventCode::UpstreamLeaving, row.config.id.text(), "source=" + source);
    if (source != "peer") {
        m_fleet.publish(fleet::LeavingFact {.upstream = row.config.id,
                                            .incarnation = m_listedIncarnations[row.config.id]},
                        now);
    }
}

void Core::on(const CacheReported &event, model::TimePoint)
{
    if (const auto upstream = m_upstreams.find(event.upstream)) {
        m_prefixes.apply(*upstream, event.report);
    }
}

void Core::on(const OperationRequested &event, model::TimePoint now)
{
    auto key = m_operations.open(now);
    if (!key) {
        record(EventCode::OperationTableFull, m_options.daemon.text(),
               absl::StrCat("keys=", m_operations.size()));
    }
    m_commands->emplace_back(OperationOpened {
        .request = event.request, .key = std::move(key), .lifetime = m_operations.keyLifetime()});
}

void Core::on(const FleetRequestReceived &event, model::TimePoint now)
{
    m_fleet.onRequest(event.exchange, event.message, now);
    applyFleetUpdates(now);
}

void Core::on(const FleetReplyReceived &event, model::TimePoint now)
{
    m_fleet.onReply(event.exchange, event.message, now);
    ++m_peerReplies;
    applyFleetUpdates(now);
}

void Core::on(const FleetExchangeFailed &event, model::TimePoint now)
{
    m_fleet.onExchangeFailed(event.exchange, now);
}

void Core::applyFleetUpdates(model::TimePoint now)
{
    const fleet::FleetUpdates updates = m_fleet.takeUpdates();
    for (const auto &[crash, age] : updates.crashes) {
        const bool isQuarantined = m_requests.onPeerCrashReport(
            {.fingerprint = crash.fingerprint, .upstream = crash.upstream}, now);
        if (isQuarantined) {
            record(EventCode::RequestQuarantined, crash.upstream.text(), "source=peer");
        }
    }
    for (const fleet::LeavingFact &leaving : updates.leavingUpstreams) {
        applyLeaving(leaving, now);
    }
    for (const fleet::NewerConfiguration &newer : updates.newerConfigurations) {
        const bool isRejected = newer.revision <= m_revisions.highestRejected();
        const bool isFetchPending = m_pendingFetch && m_pendingFetch->revision >= newer.revision
                                    && now - m_fetchStartedAt < refetchInterval;
        if (isRejected || isFetchPending) {
            continue;
        }
        m_pendingFetch = newer;
        m_fetchStartedAt = now;
        record(EventCode::ConfigurationFetched, absl::StrCat(newer.revision.value()),
               absl::StrCat("from=", newer.from.host, ":", newer.from.port));
        m_commands->emplace_back(
            FetchConfiguration {.from = newer.from, .revision = newer.revision});
    }
}

void Core::on(const DrainRequested &, model::TimePoint now)
{
    if (m_drainingSince) {
        return;
    }
    m_drainingSince = now;
    record(EventCode::DrainStarted, m_options.daemon.text(),
           absl::StrCat("in_flight=", m_requests.requestCount()));
    m_fleet.leave(now);
    m_fleet.run(now);
}

void Core::on(const StopRequested &, model::TimePoint now)
{
    record(EventCode::DrainCut, m_options.daemon.text(),
           absl::StrCat("cut=", m_requests.requestCount()));
    m_requests.refuseNewWork();
    m_requests.stopAll(now);
    updateDrain(now);
}

void Core::collectCommands()
{
    for (pipeline::RequestCommand &command : m_requests.takeCommands()) {
        std::visit([&](auto &typed) { m_commands->emplace_back(std::move(typed)); }, command);
    }
    for (fleet::FleetCommand &command : m_fleet.takeCommands()) {
        std::visit([&](auto &typed) { m_commands->emplace_back(std::move(typed)); }, command);
    }
}

void Core::record(EventCode code, std::string subject, std::string detail)
{
    m_commands->emplace_back(observability::Event {
        .code = code, .request = {}, .subject = std::move(subject), .detail = std::move(detail)});
}

} // namespace citronpick::core
