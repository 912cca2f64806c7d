#include "daemon/relaydaemon.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "daemon/internal/batchrunner.h"
#include "daemon/internal/controlapi.h"
#include "daemon/internal/exchangerunner.h"
#include "daemon/internal/fleetapi.h"
#include "daemon/internal/incarnation.h"
#include "daemon/internal/peerjobs.h"
#include "daemon/internal/peerwatchers.h"
#include "daemon/internal/registryreader.h"
#include "model/abslview.h"
#include "model/hash.h"
#include "model/overloaded.h"
#include "observability/log.h"

namespace citronpick::daemon
{

using observability::EventCode;

namespace
{

//! A few minutes of a calm registry, or some seconds of a busy one.
constexpr uint64_t pastRevisions = 256;
//! Interval of the checks for connection timeouts, which are several hundred milliseconds or
//! longer.
constexpr model::Duration sweepInterval = model::milliseconds(100);
//! In a turn that begins this late, queued work may belong to callers that have left meanwhile.
constexpr model::Duration noticeableLateness = model::milliseconds(50);
//! Appended to the fleet key, so that the nonces of stage calls and of fleet messages are checked
//! separately.
constexpr const char *stageKeySuffix = ":stage";
//! Time for sending buffered answers after the last request has ended.
constexpr model::Duration flushPeriod = model::milliseconds(200);

} // namespace

RelayDaemon::RelayDaemon(net::EventLoop &loop, config::RelaySettings settings,
                         const IWireFormat &format)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_format(format)
    , m_logLimiter(m_settings.maxLogLinesPerSecond)
    , m_limits(m_settings.memoryMb, m_settings.maxDescriptors)
    , m_fleetClient(loop)
    , m_client(loop)
    , m_random(model::hash64(m_settings.daemon.text()))
{
}

RelayDaemon::~RelayDaemon() = default;

absl::Status RelayDaemon::start()
{
    const config::Endpoint stages {.host = m_settings.fleet.host, .port = m_settings.stagePort};
    const config::Endpoint metrics {.host = m_settings.fleet.host, .port = m_settings.metricsPort};
    auto callerSocket = net::ListenSocket::bind(m_settings.callers);
    auto readinessSocket = net::ListenSocket::bind(m_settings.readiness);
    auto directorySocket = net::ListenSocket::bind(m_settings.directory);
    auto fleetSocket = net::ListenSocket::bind(m_settings.fleet);
    auto stageSocket = net::ListenSocket::bind(stages);
    auto metricsSocket = net::ListenSocket::bind(metrics);
    for (const absl::Status &status :
         {callerSocket.status(), readinessSocket.status(), directorySocket.status(),
          fleetSocket.status(), stageSocket.status(), metricsSocket.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    const model::Incarnation incarnation = generateIncarnation();
    createComponents(incarnation);
    m_exchanges->server().listen(*std::move(callerSocket));
    m_control->listen(*std::move(readinessSocket), *std::move(directorySocket),
                      *std::move(metricsSocket));
    m_fleetApi->listen(*std::move(fleetSocket));
    m_peerJobs->listen(*std::move(stageSocket));
    record({.code = EventCode::DaemonStarted,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("incarnation=", incarnation.value(),
                                   " callers=", config::toText(m_settings.callers),
                                   " registry=", config::toText(m_settings.registry),
                                   " version=", CITRONPICK_VERSION)});
    return absl::OkStatus();
}

void RelayDaemon::createComponents(model::Incarnation incarnation)
{
    const uint64_t seed = model::hash64(m_settings.daemon.text(), incarnation.value());
    m_relay = std::make_unique<relay::RelaySystem>(
        relay::RelayOptions {.daemon = m_settings.daemon,
                             .zone = m_settings.zone,
                             .retries = {.ratio = m_settings.retryRatio,
                                         .slack = m_settings.retrySlack,
                                         .window = m_settings.retryWindow},
                             .coldOvershoot = m_settings.coldOvershoot,
                             .coldSlack = m_settings.coldSlack,
                             .placesByFirstEvent = m_settings.placesByFirstEvent,
                             .seed = seed});
    fleet::FleetOptions fleetOptions;
    fleetOptions.seeds = m_settings.seeds;
    m_fleet
        = std::make_unique<fleet::FleetSystem>(std::move(fleetOptions),
                                               fleet::Member {.id = m_settings.daemon,
                                                              .incarnation = incarnation,
                                                              .state = fleet::MemberState::Joining,
                                                              .zone = m_settings.zone,
                                                              .fleet = m_settings.fleet,
                                                              .caller = m_settings.callers,
                                                              .linkMbps = m_settings.linkMbps},
                                               seed);
    m_fleetApi = std::make_unique<FleetApi>(
        m_loop, m_fleetClient,
        FleetIdentity {.daemon = m_settings.daemon,
                       .endpoint = m_settings.fleet,
                       .key = m_settings.fleetKey,
                       .incarnation = incarnation},
        FleetDocuments {
            .configuration = [this] { return configurationFile(); },
            .listing = [this](const ListingRequest &request) { return listingForPeers(request); },
            .watch
            = [this](const RegistryWatch &watch) { m_watchers->add(watch, net::EventLoop::now()); },
            .texts = &m_texts},
        *this, m_limits.forPeers());
    m_stageAuth = std::make_unique<net::MessageAuth>(m_settings.fleetKey + stageKeySuffix,
                                                     m_settings.daemon, incarnation);
    m_exchanges = std::make_unique<ExchangeRunner>(
        m_loop, m_client, m_format, *m_relay, *this,
        net::ExchangeLimits {.maxConnections = config::callerConnections(m_settings),
                             .maxHeldBytes = net::heldBytesLimit(m_settings.memoryMb)},
        m_limits.forCallers());
    m_batches = std::make_unique<BatchRunner>(m_client, m_format, *m_relay, *this);
    m_peerJobs = std::make_unique<PeerJobs>(m_loop, m_client, *m_stageAuth, *m_relay, *this,
                                            m_settings.stagePort, m_limits.forPeers());
    m_control = std::make_unique<ControlApi>(m_loop, *this, m_format, m_limits);
    m_registry = std::make_unique<RegistryReader>(
        m_client, m_format, m_settings.registry,
        registry::FollowerOptions {.prefix = m_format.registryPrefix(),
                                   .maxSilence = m_settings.registrySilence,
                                   .allowsStaleStart = true,
                                   .pastRevisions = pastRevisions,
                                   .source
                                   = {.daemon = m_settings.daemon, .zone = m_settings.zone}},
        seed,
        [this](const std::vector<registry::FollowerUpdate> &updates) {
            onRegistryUpdates(updates);
        },
        [this](const registry::WatchPeer &watch) { startPeerWatch(watch); }, *this);
    m_watchers = std::make_unique<PeerWatchers>(*m_fleetApi, m_registry->follower(), m_texts);
}

model::Duration RelayDaemon::timeToNextRun(model::TimePoint now) const
{
    model::TimePoint next = m_nextSweep;
    const auto consider = [&next](std::optional<model::TimePoint> at) {
        next = at ? std::min(next, *at) : next;
    };
    consider(m_relay->nextRun());
    consider(m_registry->follower().nextRun());
    consider(m_batches->nextFlush());
    consider(m_watchers->nextRun());
    constexpr model::Duration roundUp = model::milliseconds(1) - model::Duration(1);
    return std::max(model::Duration::zero(), next - now + roundUp);
}

bool RelayDaemon::runOnce()
{
    const model::TimePoint turnStart = net::EventLoop::now();
    const model::Duration wait = timeToNextRun(turnStart);
    m_loop.runOnce(wait);
    const model::TimePoint now = net::EventLoop::now();
    reportLateness(now - turnStart - wait);
    if (now - turnStart - wait >= noticeableLateness) {
        endDepartedCallers();
    }
    m_registry->run(now);
    m_watchers->run(now);
    m_relay->run(now);
    execute();
    m_batches->flush(now);
    m_fleetClient.expire(now);
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        m_exchanges->server().sweep(now);
        m_control->sweep(now);
        m_peerJobs->sweep(now);
        m_fleetApi->sweep(now);
        m_client.sweep(now);
        runFleet(now);
        requestListingFromPeer(now);
        checkReady(now);
        checkDrain(now);
        reportRoom(now);
        m_logLimiter.addDropped(observability::takeDroppedLines());
        if (const uint64_t suppressed = m_logLimiter.takeSuppressed(now)) {
            observability::writeLog(m_settings.daemon.text(),
                                    {.code = EventCode::LinesSuppressed,
                                     .request = {},
                                     .subject = m_settings.daemon.text(),
                                     .detail = absl::StrCat("count=", suppressed)});
        }
    }
    // Writes that were started outside the event loop complete in its next iteration.
    m_loop.runOnce(model::Duration::zero());
    if (m_isFinished) {
        m_exchanges->server().reportUnfinished();
    }
    return !m_isFinished;
}

void RelayDaemon::record(const observability::Event &event)
{
    if (m_logLimiter.tryAcquire(net::EventLoop::now())) {
        observability::writeLog(m_settings.daemon.text(), event);
    }
}

void RelayDaemon::endDepartedCallers()
{
    m_exchanges->server().endDeparted();
    m_peerJobs->endDeparted();
}

void RelayDaemon::execute()
{
    if (m_isExecuting) {
        return;
    }
    m_isExecuting = true;
    for (std::vector<relay::RelayCommand> commands = m_relay->takeCommands(); !commands.empty();
         commands = m_relay->takeCommands()) {
        for (relay::RelayCommand &command : commands) {
            execute(command);
        }
    }
    m_isExecuting = false;
}

void RelayDaemon::execute(relay::RelayCommand &command)
{
    std::visit(
        model::Overloaded {
            [this](const relay::StartAttempt &start) { m_exchanges->start(start); },
            [this](const relay::CancelAttempt &cancel) { m_exchanges->cancel(cancel); },
            [this](const relay::StartStream &stream) { m_exchanges->startStream(stream); },
            [this](const relay::ResumeStream &stream) { m_exchanges->resumeStream(stream); },
            [this](const relay::FinishStream &stream) { m_exchanges->finishStream(stream); },
            [this](const relay::ForwardAnswer &answer) { m_exchanges->forwardAnswer(answer); },
            [this](const relay::AbortAnswer &answer) { m_exchanges->abortAnswer(answer); },
            [this](const relay::RefuseRequest &refusal) { m_exchanges->refuse(refusal); },
            [this](const relay::RunBatch &batch) { m_batches->run(batch); },
            [this](const relay::CancelBatch &cancel) { m_batches->cancel(cancel); },
            [this](const relay::ForwardJob &forward) { m_peerJobs->forward(forward); },
            [this](const relay::CancelForwardedJob &cancel) { m_peerJobs->cancel(cancel); },
            [this](const relay::AnswerPeer &answer) { m_peerJobs->answer(answer); },
            [this](const relay::PublishCrashReport &publish) {
                m_fleet->publish(fleet::CrashFact {.fingerprint = publish.report.fingerprint,
                                                   .upstream = publish.report.upstream,
                                                   .parts = publish.parts,
                                                   .partSketch = publish.partSketch.words()},
                                 net::EventLoop::now());
            },
            [this](const relay::PublishSuspectedPart &publish) {
                m_fleet->publish(
                    fleet::SuspectedPartFact {.part = publish.suspicion.part,
                                              .sinceFirstCrash = publish.suspicion.sinceFirstCrash},
                    net::EventLoop::now());
            },
            [this](const relay::PublishQuarantinedPart &publish) {
                m_fleet->publish(fleet::QuarantinedPartFact {.part = publish.part},
                                 net::EventLoop::now());
            },
            [this](const relay::PublishClearedPart &publish) {
                m_fleet->publish(fleet::ClearedPartFact {.part = publish.part},
                                 net::EventLoop::now());
            },
            [this](const relay::PublishLeavingUpstream &publish) {
                m_fleet->publish(fleet::LeavingFact {.upstream = publish.upstream,
                                                     .incarnation = publish.incarnation},
                                 net::EventLoop::now());
            },
            [this](const relay::PublishUpstreamRate &publish) {
                m_fleet->publish(
                    fleet::UpstreamRateFact {.upstream = publish.upstream,
                                             .incarnation = publish.incarnation,
                                             .requestsPerSecond = publish.rate.requestsPerSecond},
                    net::EventLoop::now());
            },
            [this](const relay::RecallCalls &recall) {
                m_exchanges->recall(recall);
                m_batches->recall(recall);
            },
            [this](const relay::ReleaseResults &release) {
                m_batches->release(release, net::EventLoop::now());
            },
            [this](const observability::Event &event) { record(event); },
        },
        command);
}

bool RelayDaemon::isReady() const
{
    return !m_drainingSince && m_relay->configuration() && m_registry->follower().isSynchronized();
}

void RelayDaemon::checkReady(model::TimePoint now)
{
    if (m_wasReady || !isReady()) {
        return;
    }
    m_wasReady = true;
    m_fleet->announceReady(now);
    record({.code = EventCode::DaemonReady,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("revision=", m_relay->configuration()->revision().value(),
                                   " upstreams=", m_relay->upstreams().size())});
}

void RelayDaemon::requestStop()
{
    const model::TimePoint now = net::EventLoop::now();
    if (m_drainingSince) {
        record({.code = EventCode::StopRepeated,
                .request = {},
                .subject = m_settings.daemon.text(),
                .detail = absl::StrCat("afterMs=", model::toMilliseconds(now - *m_drainingSince),
                                       " requests=", m_relay->requestCount())});
        m_isDrainHastened = true;
        m_relay->hastenShutdown(now);
        return;
    }
    m_drainingSince = now;
    m_drainEndsAt = now + m_settings.drain.maxDuration;
    m_fleet->leave(now);
    runFleet(now);
    m_exchanges->server().closeAfterResponses();
    m_relay->beginShutdown(now, m_settings.drain.maxDuration - flushPeriod);
    record({.code = EventCode::DrainStarted,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("requests=", m_relay->requestCount(),
                                   " connections=", m_exchanges->server().connectionCount())});
}

void RelayDaemon::checkDrain(model::TimePoint now)
{
    if (!m_drainingSince) {
        return;
    }
    const bool isIdle = m_relay->requestCount() == 0 && m_peerJobs->openExchanges() == 0
                        && !m_exchanges->server().hasUnsentResponses();
    // Callers that still use this address are told at once to go elsewhere.
    const bool mayClose
        = now - *m_drainingSince >= m_settings.drain.acceptPeriod || (m_isDrainHastened && isIdle);
    if (!m_listenedUntil && (mayClose || now >= m_drainEndsAt)) {
        m_exchanges->server().stopListening();
        m_listenedUntil = now;
    }
    const bool isDone = m_listenedUntil && isIdle && now >= *m_listenedUntil + flushPeriod;
    if (now >= m_drainEndsAt || isDone) {
        record(
            {.code = isIdle ? EventCode::DrainComplete : EventCode::DrainCut,
             .request = {},
             .subject = m_settings.daemon.text(),
             .detail = absl::StrCat("requests=", m_relay->requestCount(),
                                    " connections=", m_exchanges->server().connectionCount(),
                                    " afterMs=", model::toMilliseconds(now - *m_drainingSince))});
        // The event loop runs once more and may read another request.
        m_relay->beginShutdown(now, model::Duration::zero());
        m_isFinished = true;
    }
}

void RelayDaemon::reload(const config::RelaySettings &settings)
{
    m_settings.entryLifetime = settings.entryLifetime;
    m_settings.drain = settings.drain;
    m_settings.logLevel = settings.logLevel;
    observability::openLog(settings.logLevel);
    record({.code = EventCode::SettingsReloaded,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("seeds=", settings.seeds.size())});
}

} // namespace citronpick::daemon
