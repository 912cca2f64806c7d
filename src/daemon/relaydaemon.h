#ifndef CITRONPICK_DAEMON_RELAYDAEMON_H
#define CITRONPICK_DAEMON_RELAYDAEMON_H

#include <memory>
#include <optional>

#include <absl/status/status.h>

#include "config/relaysettings.h"
#include "daemon/ieventsink.h"
#include "daemon/internal/irelayhost.h"
#include "daemon/iwireformat.h"
#include "documents/texthistory.h"
#include "fleet/configurationfetch.h"
#include "fleet/fleetsystem.h"
#include "model/random.h"
#include "net/eventloop.h"
#include "net/exchangeserver.h"
#include "net/httpclient.h"
#include "net/messageauth.h"
#include "net/processlimits.h"
#include "net/upstreamclient.h"
#include "observability/loglimiter.h"
#include "registry/registryfollower.h"
#include "relay/relaysystem.h"

namespace citronpick::daemon
{

class BatchRunner;
class ControlApi;
class ExchangeRunner;
class FleetApi;
struct ListingRequest;
class PeerJobs;
class PeerWatchers;
class RegistryReader;

/*!
 * One daemon that relays requests to upstreams, routed by host and path.
 *
 * The daemon reads its configuration and the list of upstreams from a read-only registry, and
 * learns about the other daemons through the fleet exchange. The given wire format defines the
 * protocol towards callers, upstreams and registry.
 */
class RelayDaemon : public IEventSink, public IRelayHost
{
public:
    RelayDaemon(net::EventLoop &loop, config::RelaySettings settings, const IWireFormat &format);
    ~RelayDaemon() override;

    //! Opens the listeners. Returns Unavailable if an address cannot be bound.
    absl::Status start();

    //! Runs one iteration of the event loop; returns false once the daemon has shut down.
    bool runOnce();

    //! Starts draining. A second call refuses what no upstream has; the rest keeps its time.
    void requestStop();

    //! Applies the settings that may change at run time; all others are ignored.
    void reload(const config::RelaySettings &settings);

    bool isReady() const;

    //! Addresses of the daemons that callers may use; this daemon comes first if it is ready.
    std::vector<config::Endpoint> entries() const;
    model::Duration entryLifetime() const
    {
        return m_settings.entryLifetime;
    }
    std::string metricsPage() const;

    void post(core::Event event) override;
    void record(const observability::Event &event) override;
    void execute() override;
    void endDepartedCallers() override;

private:
    std::optional<config::ConfigurationFile> configurationFile() const;
    std::optional<std::string> listingForPeers(const ListingRequest &request);
    void requestListingFromPeer(model::TimePoint now);
    void startPeerWatch(const registry::WatchPeer &watch);
    void createComponents(model::Incarnation incarnation);
    void onRegistryUpdates(const std::vector<registry::FollowerUpdate> &updates);
    void onRegistryUpdate(const registry::FollowerUpdate &update);
    void applyNewestConfiguration(const std::vector<registry::FollowerUpdate> &updates);
    //! Returns false if \a text is not a configuration.
    bool applyConfiguration(const std::string &text, std::string_view source);
    void onUpstreamChanged(const registry::KeyChanged &changed);
    void applyPastChanges(const registry::PastChanges &past);
    void onEvacuationChanged(const registry::KeyChanged &changed);
    void execute(relay::RelayCommand &command);
    void runFleet(model::TimePoint now);
    void fetchConfiguration(const fleet::FleetUpdates &updates, model::TimePoint now);
    model::Revision revisionInForce() const;
    void applyCrashFacts(const fleet::FleetUpdates &updates, model::TimePoint now);
    void applyUpstreamFacts(const fleet::FleetUpdates &updates, model::TimePoint now);
    void refreshPeers();
    void checkReady(model::TimePoint now);
    void checkDrain(model::TimePoint now);
    void reportRoom(model::TimePoint now);
    //! Reports a turn of the event loop that ended long after it should have begun.
    void reportLateness(model::Duration lateness);
    model::Duration timeToNextRun(model::TimePoint now) const;

    net::EventLoop &m_loop;
    config::RelaySettings m_settings;
    const IWireFormat &m_format;
    observability::LogLimiter m_logLimiter;
    net::ProcessLimits m_limits;
    documents::TextHistory m_texts; //!< Configurations that were in force.
    net::HttpClient m_fleetClient;
    net::UpstreamClient m_client;
    std::unique_ptr<relay::RelaySystem> m_relay;
    std::unique_ptr<fleet::FleetSystem> m_fleet;
    std::unique_ptr<net::MessageAuth> m_stageAuth;
    std::unique_ptr<FleetApi> m_fleetApi;
    std::unique_ptr<ExchangeRunner> m_exchanges;
    std::unique_ptr<BatchRunner> m_batches;
    std::unique_ptr<PeerJobs> m_peerJobs;
    std::unique_ptr<ControlApi> m_control;
    std::unique_ptr<RegistryReader> m_registry;
    std::unique_ptr<PeerWatchers> m_watchers;
    std::string m_configurationText;
    uint64_t m_appliedConfigurations = 0;
    model::TimePoint m_nextSweep;
    fleet::ConfigurationFetch m_configurationFetch;
    model::TimePoint m_nextListingRequest;
    bool m_isListingPending = false;
    uint64_t m_membersDigest = 0; //!< Of the members last passed on.
    model::Random m_random;
    net::RoomCounters m_reportedRoom;
    model::TimePoint m_nextRoomReport;
    uint64_t m_lateTurns = 0;
    bool m_isExecuting = false;
    bool m_wasReady = false;
    std::optional<model::TimePoint> m_drainingSince;
    bool m_isDrainHastened = false; //!< A second stop was requested.
    std::optional<model::TimePoint> m_listenedUntil; //!< Since then no connections are accepted.
    model::TimePoint m_drainEndsAt = model::TimePoint::max();
    bool m_isFinished = false;
};

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_RELAYDAEMON_H
