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
                             .suppressedLines = m_logLimiter.suppressedTotal(),
                             .now = net::EventLoop::now()});
}

} // namespace citronpick::daemon
