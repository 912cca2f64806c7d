#include "daemon/relaydaemon.h"

#include <absl/strings/str_cat.h>

#include "daemon/internal/exchangerunner.h"
#include "daemon/internal/fleetapi.h"
#include "daemon/internal/relaymetrics.h"

// The part of RelayDaemon that tells operators how it does.

namespace citronpick::daemon
{

using observability::EventCode;

namespace
{

//! Callers that are refused or closed for room are logged together, once in this interval.
constexpr model::Duration roomReportInterval = model::seconds(1);
//! Callers and other daemons notice a process that is later than this.
constexpr model::Duration lateTurnThreshold = model::milliseconds(250);

} // namespace

void RelayDaemon::reportRoom(model::TimePoint now)
{
    const net::RoomCounters &room = m_exchanges->server().roomCounters();
    if (now < m_nextRoomReport || room == m_reportedRoom) {
        return;
    }
    const net::HeldBytesBudget &budget = m_exchanges->server().heldBytes();
    record({.code = EventCode::RoomMade,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("refused=", room.refused - m_reportedRoom.refused,
                                   " slowReaders=", room.slowReaders - m_reportedRoom.slowReaders,
                                   " silent=", room.silent - m_reportedRoom.silent,
                                   " unaccepted=", room.unaccepted - m_reportedRoom.unaccepted,
                                   " heldBytes=", budget.total(), " limit=", budget.limit())});
    m_reportedRoom = room;
    m_nextRoomReport = now + roomReportInterval;
}

void RelayDaemon::reportLateness(model::Duration lateness)
{
    if (lateness < lateTurnThreshold) {
        return;
    }
    ++m_lateTurns;
    record({.code = EventCode::ProcessWasPaused,
            .request = {},
            .subject = m_settings.daemon.text(),
            .detail = absl::StrCat("ms=", model::toMilliseconds(lateness),
                                   " requests=", m_relay->requestCount())});
}

std::string RelayDaemon::metricsPage() const
{
    return relayMetricsPage({.relay = *m_relay,
                             .fleet = *m_fleet,
                             .documents = m_fleetApi->documentCounters(),
                             .appliedConfigurations = m_appliedConfigurations,
                             .heldBytes = m_exchanges->server().heldBytes(),
                             .room = m_exchanges->server().roomCounters(),
                             .connections = m_exchanges->server().connectionCount(),
                             .limits = m_limits,
                             .upstreamConnects = m_client.connectsStarted(),
                             .lateTurns = m_lateTurns,
                             .suppressedLines = m_logLimiter.suppressedTotal(),
                             .now = net::EventLoop::now()});
}

} // namespace citronpick::daemon
