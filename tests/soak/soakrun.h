#ifndef CITRONPICK_SOAK_SOAKRUN_H
#define CITRONPICK_SOAK_SOAKRUN_H

#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "platform/standin/callerstandin.h"
#include "platform/standin/replicastandin.h"
#include "platform/standin/storestandin.h"
#include "soak/daemonprocess.h"
#include "soak/faultplan.h"
#include "soak/faultproxy.h"

namespace citronpick::soak
{

struct SoakOptions {
    std::string program; //!< Of the daemon.
    std::string folder; //!< For settings and logs.
    uint32_t daemons = 3;
    uint32_t basePort = 24000;
    model::Duration faultTime = model::seconds(12);
    uint64_t seed = 1;
};

/*!
 * One seeded run: real daemons before stand-ins, faults from outside, promises checked meanwhile.
 *
 * After the faults comes a calm time in which callers have to be served again.
 */
class SoakRun
{
public:
    SoakRun(SoakOptions options, platform::standin::DeploymentSpec spec);

    absl::Status start();
    //! Plays until the end; false when a promise was broken.
    bool play();

private:
    struct Replica {
        std::unique_ptr<platform::standin::ReplicaStandIn> standIn;
        std::unique_ptr<FaultProxy> proxy;
        bool isLeaving = false;
        model::TimePoint mustBeIdleFrom = model::TimePoint::max();
        uint64_t arrivalsThen = 0;
    };
    //! The end of a fault that lasts.
    struct Ending {
        model::TimePoint at;
        PlannedFault fault;
    };
    struct Counts {
        size_t served = 0;
        size_t failed = 0;
        size_t refused = 0;
    };

    absl::Status startReplicas();
    absl::Status startDaemons();
    std::string settingsOf(uint32_t daemon) const;
    void turn();
    void begin(const PlannedFault &fault);
    void end(const PlannedFault &fault);
    void setLeaving(Replica &replica, bool isLeaving);
    void checkLeaving(Replica &replica);
    void note(const PlannedFault &fault, const char *what) const;
    Replica &replicaOf(const PlannedFault &fault);
    Counts counts() const;
    bool report(const Counts &calmStart) const;

    SoakOptions m_options;
    platform::standin::DeploymentSpec m_spec;
    net::EventLoop m_loop;
    platform::standin::Ledger m_ledger;
    platform::standin::StoreStandIn m_store;
    std::unique_ptr<platform::standin::CallerStandIn> m_callers;
    std::vector<Replica> m_replicas;
    std::vector<std::unique_ptr<FaultProxy>> m_storeLinks; //!< One a daemon.
    std::vector<std::unique_ptr<DaemonProcess>> m_processes;
    std::vector<Ending> m_endings;
    uint64_t m_configuration = 1;
    model::TimePoint m_now;
    model::TimePoint m_begin;
    //! The last moment at which the store or a way to it was harmed or a daemon was not running.
    model::TimePoint m_harmedAt;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_SOAKRUN_H
