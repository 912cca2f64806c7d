#include "daemon/daemon.h"

#include <limits>

#include <absl/strings/str_cat.h>

#include "daemon/internal/adminapi.h"
#include "daemon/internal/attemptrunner.h"
#include "daemon/internal/callerapi.h"
#include "daemon/internal/fleetapi.h"
#include "daemon/internal/incarnation.h"
#include "daemon/internal/platformreader.h"
#include "model/overloaded.h"
#include "observability/log.h"

namespace citronpick::daemon
{

using observability::EventCode;

namespace
{

constexpr model::Duration tickInterval = model::milliseconds(5);
constexpr model::Duration sweepInterval = model::milliseconds(200);
constexpr size_t timelineCapacity = 4096;
//! Parts of the instance's memory and descriptors for messages of other daemons.
constexpr size_t fleetBytesPart = 8;
constexpr size_t fleetConnectionsPart = 8;

size_t fleetConnections(size_t maxDescriptors)
{
    return maxDescriptors == 0 ? std::numeric_limits<size_t>::max()
                               : maxDescriptors / fleetConnectionsPart;
}
//! Callers that are refused or closed for room are logged together, once in this interval.
constexpr model::Duration roomReportInterval = model::seconds(1);
//! Time for sending buffered answers after the last request has ended.
constexpr model::Duration flushPeriod = model::milliseconds(300);

} // namespace

Daemon::Daemon(net::EventLoop &loop, config::Settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_timeline(timelineCapacity)
    , m_memory(m_settings.memoryMb << 20U)
    , m_fleetBytes((m_settings.memoryMb << 20U) / fleetBytesPart)
    , m_fleetConnections(fleetConnections(m_settings.maxDescriptors))
    , m_client(loop)
{
}

Daemon::~Daemon() = default;

core::CoreOptions Daemon::coreOptions(model::Incarnation incarnation) const
{
    core::CoreOptions options;
    options.daemon = m_settings.daemon;
    options.incarnation = incarnation;
    options.zone = m_settings.zone;
    options.callerEndpoint = m_settings.caller;
    options.fleetEndpoint = m_settings.fleet;
    options.secret = m_settings.fleetKey;
    options.seed = incarnation.value();
    options.drain = m_settings.drain;
    options.pipeline.maxRequests = m_settings.limits.maxRequests;
    options.fleet.seeds = m_settings.fleetSeeds;
    return options;
}

std::optional<config::ConfigurationFile> Daemon::configurationFile() const
{
    const auto text = m_core->revisions().text();
    if (!text) {
        return std::nullopt;
    }
    return config::ConfigurationFile {.revision = m_core->revisions().revision(), .text = *text};
}

absl::Status Daemon::start()
{
    auto caller = net::ListenSocket::bind(m_settings.caller);
    auto admin = net::ListenSocket::bind(m_settings.admin);
    auto fleet = net::ListenSocket::bind(m_settings.fleet);
    for (const absl::Status &status : {caller.status(), admin.status(), fleet.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    // These ports are announced to callers and other daemons, so they must be the ones in use, also
    // if the settings leave the choice to the system (port 0).
    m_settings.caller.port = caller->port();
    m_settings.admin.port = admin->port();
    m_settings.fleet.port = fleet->port();
    const model::Incarnation incarnation = generateIncarnation();
    const model::TimePoint now = net::EventLoop::now();
    m_core = std::make_unique<core::Core>(coreOptions(incarnation), now);
    m_attempts = std::make_unique<AttemptRunner>(m_client, *this, incarnation);
    m_callers
        = std::make_unique<CallerApi>(m_loop, m_settings, *m_core, *m_attempts, m_memory, *this);
    m_admin = std::make_unique<AdminApi>(m_loop, m_settings, *m_core, m_timeline, m_memory);
    m_fleet = std::make_unique<FleetApi>(
        m_loop, m_client,
        FleetIdentity {.daemon = m_settings.daemon,
                       .endpoint = m_settings.fleet,
                       .key = m_settings.fleetKey,
                       .incarnation = incarnation},
        FleetDocuments {.configuration =
                            [this] {
                                return configurationFile();
                            }},
        *this,
        net::ListenerLimits {.heldBytes = &m_fleetBytes, .connections = &m_fleetConnections});
    m_platform = std::make_unique<PlatformReader>(m_client, m_settings, *this, incarnation.value());
    m_callers->listen(*std::move(caller));
    m_admin->listen(*std::move(admin));
    m_fleet->listen(*std::move(fleet));
    record({.code = EventCode::DaemonStarted,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat(
                "incarnation=", incarnation.value(), " caller_port=", m_settings.caller.port,
                " admin_port=", m_settings.admin.port, " fleet_port=", m_settings.fleet.port)});
    m_nextTick = now;
    return absl::OkStatus();
}

bool Daemon::runOnce()
{
    model::TimePoint now = net::EventLoop::now();
    const model::Duration wait = std::max(model::Duration::zero(), m_nextTick - now);
    // Writes that were started outside the event loop complete only in its next iteration, so that
    // iteration must not block until some other event arrives.
    const bool mustNotBlock = std::exchange(m_hasExecutedCommands, false) || !m_events.empty();
    m_loop.runOnce(mustNotBlock ? model::Duration::zero() : std::min(wait, tickInterval));
    handleEvents();
    now = net::EventLoop::now();
    m_memory.run(now);
    if (now >= m_nextTick) {
        m_nextTick = now + tickInterval;
        m_client.expire(now);
        m_platform->run(now, m_core->revisions().revision());
        handle(core::Tick {});
        handleEvents();
        if (now >= m_nextSweep) {
            m_nextSweep = now + sweepInterval;
            m_callers->closeAbandonedExchanges();
            m_fleet->sweep(now);
            reportRoom(now);
        }
        checkReady(now);
        checkDrainLimit(now);
    }
    if (m_isFinished && m_exitDeadline == model::TimePoint::max()) {
        m_callers->stopListening();
        m_exitDeadline = now + flushPeriod;
    }
    const bool isFlushed = m_isFinished && m_callers->openRequests() == 0;
    return !isFlushed && now < m_exitDeadline;
}

void Daemon::reportRoom(model::TimePoint now)
{
    const uint64_t closed = m_memory.closedConnections();
    const uint64_t refused = m_callers->refusedForRoom();
    if (now < m_nextRoomReport || (closed == m_reportedClosed && refused == m_reportedRefused)) {
        return;
    }
    record({.code = EventCode::RoomMade,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("refused=", refused - m_reportedRefused,
                                   " closed=", closed - m_reportedClosed,
                                   " residentBytes=", m_memory.residentBytes(),
                                   " limit=", m_memory.maxResidentBytes())});
    m_reportedClosed = closed;
    m_reportedRefused = refused;
    m_nextRoomReport = now + roomReportInterval;
}

void Daemon::requestStop()
{
    if (!m_core->isDraining()) {
        m_drainLimit = net::EventLoop::now() + m_settings.drain.maxDuration;
        post(core::DrainRequested {});
        return;
    }
    post(core::StopRequested {});
}

void Daemon::post(core::Event event)
{
    m_events.push_back(std::move(event));
}

void Daemon::record(const observability::Event &event)
{
    m_timeline.add(event, wallMicroseconds(), net::EventLoop::now());
    observability::writeLog(m_settings.daemon.text(), event);
}

void Daemon::handleEvents()
{
    while (!m_events.empty()) {
        const core::Event event = std::move(m_events.front());
        m_events.pop_front();
        handle(event);
    }
}

void Daemon::handle(const core::Event &event)
{
    m_commands.clear();
    m_core->handle(event, net::EventLoop::now(), m_commands);
    m_hasExecutedCommands = m_hasExecutedCommands || !m_commands.empty();
    for (core::Command &command : m_commands) {
        execute(command);
    }
}

void Daemon::execute(core::Command &command)
{
    std::visit(
        model::Overloaded {
            [&](const pipeline::StartAttempt &start) { m_attempts->start(start); },
            [&](const pipeline::CancelAttempt &cancel) { m_attempts->cancel(cancel.attempt); },
            [&](const pipeline::StreamToCaller &stream) { m_callers->stream(stream); },
            [&](const pipeline::Respond &respond) { m_callers->respond(respond); },
            [&](const observability::Event &event) { record(event); },
            [&](const core::SendProbe &probe) { m_attempts->probe(probe); },
            [&](const fleet::SendExchange &exchange) { m_fleet->send(exchange); },
            [&](const fleet::SendReply &reply) { m_fleet->reply(reply); },
            [&](const core::FetchConfiguration &fetch) { m_fleet->fetch(fetch); },
            [&](const core::OperationOpened &opened) { m_callers->sendOperationKey(opened); },
            [&](const core::DrainFinished &) { m_isFinished = true; },
        },
        command);
}

void Daemon::checkReady(model::TimePoint now)
{
    if (!m_wasReady && m_core->isReady(now)) {
        m_wasReady = true;
        record({.code = EventCode::DaemonReady,
                .request = {},
                .subject = m_settings.daemon.text(),
                .detail = absl::StrCat("revision=", m_core->revisions().revision().value())});
    }
}

void Daemon::checkDrainLimit(model::TimePoint now)
{
    if (now >= m_drainLimit) {
        m_drainLimit = model::TimePoint::max();
        post(core::StopRequested {});
    }
}

} // namespace citronpick::daemon
