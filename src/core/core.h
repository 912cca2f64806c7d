#ifndef CITRONPICK_CORE_CORE_H
#define CITRONPICK_CORE_CORE_H

#include <optional>

#include "config/revisionstore.h"
#include "core/commands.h"
#include "core/coreoptions.h"
#include "core/events.h"
#include "entry/entrychoice.h"
#include "fleet/fleetshares.h"
#include "fleet/fleetsystem.h"
#include "health/healthsystem.h"
#include "operations/operationtable.h"
#include "pipeline/requestsystem.h"
#include "routing/router.h"
#include "upstreams/upstreamtable.h"

namespace citronpick::core
{

/*!
 * Decision logic of one daemon, without input or output.
 *
 * handle() is the only entry point. It takes an event and the current time and appends the
 * resulting commands in order. It is deterministic: the same events at the same times give the same
 * commands. Times must not decrease. The core reads no clock, opens no sockets and starts no
 * threads. The only exception that it throws is model::InvariantViolation.
 */
class Core
{
public:
    Core(CoreOptions options, model::TimePoint start);

    Core(const Core &) = delete;
    Core &operator=(const Core &) = delete;

    void handle(const Event &event, model::TimePoint now, CommandList &commands);

    //! Whether this daemon accepts callers: a configuration is in force, no newer one is being
    //! fetched from a peer, enough peers have replied or the wait for them is over, and the daemon
    //! is not draining.
    bool isReady(model::TimePoint now) const;
    bool isDraining() const
    {
        return m_drainingSince.has_value();
    }

    std::vector<entry::EntryAddress> entries(const entry::EntryQuery &query) const
    {
        return entry::rankEntries(m_fleet, query);
    }

    const config::RevisionStore &revisions() const
    {
        return m_revisions;
    }
    const upstreams::UpstreamTable &upstreams() const
    {
        return m_upstreams;
    }
    const health::HealthSystem &health() const
    {
        return m_health;
    }
    const fleet::FleetSystem &fleet() const
    {
        return m_fleet;
    }
    const pipeline::RequestSystem &requests() const
    {
        return m_requests;
    }
    const operations::OperationTable &operations() const
    {
        return m_operations;
    }
    const CoreOptions &options() const
    {
        return m_options;
    }

private:
    void on(const Tick &event, model::TimePoint now);
    void on(const pipeline::RequestArrived &event, model::TimePoint now);
    void on(const pipeline::CallerDisconnected &event, model::TimePoint now);
    void on(const pipeline::CallerBlocked &event, model::TimePoint now);
    void on(const pipeline::CallerUnblocked &event, model::TimePoint now);
    void on(const pipeline::AttemptAnswered &event, model::TimePoint now);
    void on(const pipeline::AttemptStreamed &event, model::TimePoint now);
    void on(const pipeline::AttemptFailed &event, model::TimePoint now);
    void on(const ProbeEnded &event, model::TimePoint now);
    void on(const ConfigurationOffered &event, model::TimePoint now);
    void on(const PlatformReachable &event, model::TimePoint now);
    void on(const InstanceListRead &event, model::TimePoint now);
    void on(const CacheReported &event, model::TimePoint now);
    void on(const OperationRequested &event, model::TimePoint now);
    void on(const FleetRequestReceived &event, model::TimePoint now);
    void on(const FleetReplyReceived &event, model::TimePoint now);
    void on(const FleetExchangeFailed &event, model::TimePoint now);
    void on(const DrainRequested &event, model::TimePoint now);
    void on(const StopRequested &event, model::TimePoint now);

    void detectPause(model::TimePoint now);
    void applyConfiguration(model::TimePoint now);
    void runHealth(model::TimePoint now);
    void applyTransition(const health::Transition &transition, model::TimePoint now);
    void publishReturn(const health::Transition &transition, model::TimePoint now);
    void publishDemands(model::TimePoint now);
    void publishLoad(model::TimePoint now);
    void applyFleetUpdates(model::TimePoint now);
    void updateDrain(model::TimePoint now);
    void applyLeaving(const fleet::LeavingFact &leaving, model::TimePoint now);
    void markLeaving(model::UpstreamRow upstream, const std::string &source, model::TimePoint now);
    void collectCommands();
    void record(observability::EventCode code, std::string subject, std::string detail);

    CoreOptions m_options;
    model::TimePoint m_startedAt;
    config::RevisionStore m_revisions;
    upstreams::UpstreamTable m_upstreams;
    fleet::FleetSystem m_fleet;
    fleet::FleetShares m_shares;
    health::HealthSystem m_health;
    routing::PrefixTable m_prefixes;
    routing::Router m_router;
    operations::OperationTable m_operations;
    pipeline::RequestSystem m_requests;

    CommandList *m_commands = nullptr; //!< Output list of the current handle() call.
    model::TimePoint m_lastTime;
    model::TimePoint m_nextHealthRun;
    model::TimePoint m_nextHousekeeping;
    absl::flat_hash_map<model::UpstreamId, uint64_t> m_listedIncarnations;
    std::optional<fleet::NewerConfiguration> m_pendingFetch; //!< Configuration being fetched.
    model::TimePoint m_fetchStartedAt;
    uint32_t m_peerReplies = 0;
    bool m_isReady = false; //!< Never reset once set.
    bool m_isPlatformReachable = true;
    std::optional<model::TimePoint> m_drainingSince;
    bool m_isDrainFinished = false;
    uint32_t m_publishedLoad = 0;
};

} // namespace citronpick::core

#endif // CITRONPICK_CORE_CORE_H
