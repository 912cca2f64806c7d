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
#include "observability/timeline.h"

namespace citronpick::daemon
{

class AdminApi;
class AttemptRunner;
class CallerApi;
class FleetApi;
class PlatformReader;

//! One daemon on one loop: carries what happens to the core and the core's commands out.
class Daemon : public IEventSink
{
public:
    //! Ports of zero in the settings are replaced by those the system gives.
    Daemon(net::EventLoop &loop, config::Settings settings);
    ~Daemon() override;

    //! Opens the listeners. Unavailable when an address cannot be had.
    absl::Status start();

    //! One turn of the loop; false when the daemon has nothing left to do.
    bool runOnce();

    //! Begins a planned stop; at the second call what is left is cut.
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
    std::optional<config::OfferedFile> configurationFile() const;
    core::CoreOptions coreOptions(model::Incarnation incarnation) const;
    void handleEvents();
    void handle(const core::Event &event);
    void execute(core::Command &command);
    void checkReady(model::TimePoint now);
    void checkDrainLimit(model::TimePoint now);

    net::EventLoop &m_loop;
    config::Settings m_settings;
    observability::Timeline m_timeline;
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
    bool m_hasActed = false; //!< Commands were carried out since the loop last turned.
    bool m_wasReady = false;
    bool m_isFinished = false;
    model::TimePoint m_exitAt = model::TimePoint::max();
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_DAEMON_H
