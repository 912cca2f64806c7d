#ifndef CITRONPICK_SOAK_SOAKRUN_H
#define CITRONPICK_SOAK_SOAKRUN_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "platform/standin/callerstandin.h"
#include "platform/standin/registrystandin.h"
#include "platform/standin/replicastandin.h"
#include "soak/daemonprocess.h"
#include "soak/deadlypartpromise.h"
#include "soak/faultplan.h"
#include "soak/faultproxy.h"
#include "soak/unlimitedcallers.h"

namespace citronpick::soak
{

struct SoakOptions {
    std::string program; //!< Path of citronpickd.
    std::string folder; //!< Receives the settings and logs of the daemons.
    uint32_t daemons = 3;
    uint32_t basePort = 24000;
    model::Duration faultTime = model::seconds(12); //!< Faults are injected for this long.
    uint64_t seed = 1;
};

/*!
 * One seeded soak run: injects faults into real daemons between stand-ins of callers, store and
 * replicas, and checks the promises meanwhile.
 *
 * After the last fault and a recovery time, most requests must be served again.
 */
class SoakRun
{
public:
    SoakRun(SoakOptions options, platform::standin::DeploymentSpec spec);

    absl::Status start();
    //! Runs to the end; false when a promise was broken or too few requests were served afterwards.
    bool execute();

private:
    struct Replica {
        std::unique_ptr<platform::standin::ReplicaStandIn> standIn;
        std::unique_ptr<FaultProxy> proxy;
        bool isLeaving = false;
        model::TimePoint mustBeIdleFrom = model::TimePoint::max();
        uint64_t lastArrivals = 0;
        uint64_t arrivalsInOrder = 0; //!< Those before an order for its zone was in force.
    };
    //! The time at which a lasting fault is removed.
    struct ScheduledEnd {
        model::TimePoint at;
        PlannedFault fault;
    };
    enum class Signal {
        Stop,
        RepeatStop,
        HangUp,
    };
    //! A later step of a fault.
    struct ScheduledSignal {
        model::TimePoint at;
        uint32_t daemon = 0; //!< Index of the daemon, modulo their number.
        Signal signal = Signal::Stop;
    };
    //! A later write of a replica's entry to the store.
    struct ScheduledPut {
        model::TimePoint at;
        const Replica *replica = nullptr;
        bool isReadable = true;
    };
    //! An order to empty a zone.
    struct Order {
        uint32_t faults = 0; //!< Overlapping faults that have given it.
        model::TimePoint givenAt;
        bool isInForce = false; //!< All daemons know it.
    };
    struct Daemon {
        std::unique_ptr<DaemonProcess> process;
        std::unique_ptr<FaultProxy> storeLink;
        uint32_t drainSettings = 0; //!< Number of the drain settings in its file.
        std::vector<ProcessLife> stoppedLives;
    };
    //! Callers that keep no limits, until the fault ends.
    struct Crowd {
        PlannedFault fault;
        std::unique_ptr<UnlimitedCallers> callers;
    };
    struct Counts {
        size_t served = 0;
        size_t failed = 0;
        size_t refused = 0;
    };

    static std::string daemonHost(uint32_t daemon);
    bool hasUnlimitedCallers() const;
    absl::Status startReplicas();
    absl::Status startDaemons();
    std::string settingsFor(uint32_t daemon) const;
    void writeSettings(uint32_t daemon);
    void runIteration();
    void runDaemons();
    void runFaults();
    void endExpiredFaults();
    void beginFault(const PlannedFault &fault);
    //! These return false if they do not begin faults of this kind.
    bool beginDaemonFault(const PlannedFault &fault);
    bool beginStopSteps(const PlannedFault &fault);
    bool beginStoreFault(const PlannedFault &fault);
    void putConfiguration();
    void runStoreCopies();
    void addRoutes(uint32_t count);
    void checkConfigurations();
    void beginReplicaFault(const PlannedFault &fault);
    void beginDeadlyPart(const PlannedFault &fault);
    std::vector<Replica *> noticeReplicasFor(const PlannedFault &fault);
    void beginNotices(const PlannedFault &fault);
    void endNotices(const PlannedFault &fault);
    void runScheduledPuts();
    //! The daemon may not know any more what replicas stated.
    void forgetNotices(uint32_t daemon);
    void endFault(const PlannedFault &fault);
    void setLinkFault(Replica &replica, LinkFault fault);
    void setSilent(const PlannedFault &fault, bool isSilent);
    void setEngineTrouble(const platform::standin::EngineTrouble &trouble);
    //! Finds daemons that took more memory than they are told to have.
    void checkMemory();
    void setStageSlowness(const PlannedFault &fault, int64_t factor);
    void send(const ScheduledSignal &scheduled);
    void setLeaving(Replica &replica, bool isLeaving);
    void checkLeaving(Replica &replica);
    void beginEvacuation(const PlannedFault &fault);
    void endEvacuation(const PlannedFault &fault);
    void checkOrders();
    void checkStops();
    void logFault(const PlannedFault &fault, const char *what) const;
    Replica &replicaFor(const PlannedFault &fault);
    Counts counts() const;
    bool report(const Counts &before) const;

    SoakOptions m_options;
    platform::standin::DeploymentSpec m_spec;
    platform::standin::DeploymentSpec m_configuredSpec; //!< Also has routes without requests.
    net::EventLoop m_loop;
    platform::standin::Ledger m_ledger;
    platform::standin::RegistryStandIn m_store;
    std::unique_ptr<platform::standin::CallerStandIn> m_callers;
    std::vector<Replica> m_replicas;
    std::vector<Daemon> m_daemons;
    std::vector<ScheduledEnd> m_scheduledEnds;
    std::vector<ScheduledSignal> m_scheduledSignals;
    std::vector<ScheduledPut> m_scheduledPuts;
    std::vector<Crowd> m_unlimitedCallers;
    std::optional<DeadlyPart> m_deadlyPart;
    std::map<std::string, Order> m_orders; //!< By zone.
    size_t m_ordersInForce = 0;
    uint64_t m_configuration = 1;
    model::TimePoint m_nextCopy; //!< Of the store.
    model::TimePoint m_rewriteAt = model::TimePoint::max();
    model::TimePoint m_now;
    model::TimePoint m_trafficStart;
    //! End of the most recently injected fault that disrupts the store, a link or a daemon.
    model::TimePoint m_disruptedUntil;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_SOAKRUN_H
