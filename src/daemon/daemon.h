#ifndef CITRONPICK_DAEMON_DAEMON_H
#define CITRONPICK_DAEMON_DAEMON_H

#include <deque>
#include <memory>

#include <absl/status/status.h>

#include "config/settings.h"
#include "core/core.h"
#include "daemon/ieventsink.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpmemorylimit.h"
#include "net/sharedlimit.h"
#include "observability/timeline.h"

namespace citronpick::daemon
{

class AdminApi;
class AttemptRunner;
class CallerApi;
class FleetApi;
class PlatformReader;

//! One daemon on one event loop: feeds I/O events to the core and executes the core's commands.
class Daemon : public IEventSink
{
public:
    //! start() replaces zero ports in the settings with the ports that the system assigned.
    Daemon(net::EventLoop &loop, config::Settings settings);
    ~Daemon() override;

    //! Opens the listeners. Returns Unavailable if an address cannot be bound.
    absl::Status start();

    //! Runs one iteration of the event loop; returns false once the daemon has shut down.
    bool runOnce();

    //! Starts draining; a second call ends all remaining requests at once.
    void requestStop();

    const config::Settings &settings() const
    {
        return m_settings;
    }
    const core::Core &core() const
    {
        return *m_core;
    }

    void post(core::Event event) override;
    void record(const observability::Event &event) override;

private:
    std::optional<config::ConfigurationFile> configurationFile() const;
    core::CoreOptions coreOptions(model::Incarnation incarnation) const;
    void handleEvents();
    void handle(const core::Event &event);
    void execute(core::Command &command);
    void checkReady(model::TimePoint now);
    void checkDrainLimit(model::TimePoint now);
    void reportRoom(model::TimePoint now);

    net::EventLoop &m_loop;
    config::Settings m_settings;
    observability::Timeline m_timeline;
    net::HttpMemoryLimit m_memory;
    net::SharedLimit m_fleetBytes;
    net::SharedLimit m_fleetConnections;
    net::HttpClient m_client;
    std::unique_ptr<core::Core> m_core;
    std::unique_ptr<AttemptRunner> m_attempts;
    std::unique_ptr<CallerApi> m_callers;
    std::unique_ptr<AdminApi> m_admin;
    std::unique_ptr<FleetApi> m_fleet;
    std::unique_ptr<PlatformReader> m_platform;
    std::deque<core::Event> m_events;
    core::CommandList m_commands;
    model::TimePoint m_nextTick;
    model::TimePoint m_nextSweep;
    model::TimePoint m_drainLimit = model::TimePoint::max();
    bool m_hasExecutedCommands = false; //!< Commands were executed since the last loop iteration.
    uint64_t m_reportedClosed = 0; //!< Connections closed for room, as logged.
    uint64_t m_reportedRefused = 0;
    model::TimePoint m_nextRoomReport;
    bool m_wasReady = false;
    bool m_isFinished = false;
    model::TimePoint m_exitDeadline = model::TimePoint::max();
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_DAEMON_H
