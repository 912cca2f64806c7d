#include "soak/soakrun.h"

#include <algorithm>
#include <fstream>
#include <iostream>

#include <absl/strings/str_cat.h>

#include "platform/names.h"

namespace citronpick::soak
{

using platform::standin::RegistryState;
using platform::standin::ReplicaFault;

namespace
{

//! Time for the first daemon to become ready.
constexpr model::Duration startupTimeout = model::seconds(30);
//! A disruption may have effects for this long after its end.
constexpr model::Duration disruptionGrace = model::seconds(3);
//! A leaving upstream gets no new work after this time.
constexpr model::Duration drainLimit = model::seconds(2);
//! Tolerance for stand-ins that are scheduled late.
constexpr model::Duration drainMargin = model::milliseconds(500);
//! Time in which a fleet that lost all its daemons serves again.
constexpr model::Duration recoveryTime = model::seconds(12);
//! Period after the recovery in which served requests are counted.
constexpr model::Duration observationTime = model::seconds(5);
//! Minimum share of served requests among those that end in the observation time.
constexpr double minServedShare = 0.9;
constexpr uint32_t linkFaultCount = 5;

LinkFault linkFault(uint32_t variant)
{
    return static_cast<LinkFault>(1 + variant % linkFaultCount);
}

} // namespace

SoakRun::SoakRun(SoakOptions options, platform::standin::DeploymentSpec spec)
    : m_options(std::move(options))
    , m_spec(std::move(spec))
    , m_store(m_loop)
{
}

absl::Status SoakRun::start()
{
    auto store = net::ListenSocket::bind({.host = "127.0.0.1", .port = 0});
    if (!store.ok()) {
        return store.status();
    }
    const config::Endpoint address {.host = "127.0.0.1", .port = store->port()};
    m_store.listen(*std::move(store));
    for (uint32_t i = 0; i < m_options.daemons; ++i) {
        auto link = net::ListenSocket::bind({.host = "127.0.0.1", .port = 0});
        if (!link.ok()) {
            return link.status();
        }
        m_storeLinks.push_back(std::make_unique<FaultProxy>(*std::move(link), address));
    }
    if (absl::Status status = startReplicas(); !status.ok()) {
        return status;
    }
    m_store.put(platform::names::configurationKey,
                platform::standin::configurationOf(m_spec, m_configuration));
    return startDaemons();
}

absl::Status SoakRun::startReplicas()
{
    for (const platform::standin::PoolSpec &pool : m_spec.pools) {
        for (uint32_t i = 0; i < pool.replicas; ++i) {
            auto standIn = std::make_unique<platform::standin::ReplicaStandIn>(
                m_loop, pool, absl::StrCat(pool.name, "-", i), m_ledger);
            auto socket = net::ListenSocket::bind({.host = "127.0.0.1", .port = 0});
            auto link = net::ListenSocket::bind({.host = "127.0.0.1", .port = 0});
            if (!socket.ok() || !link.ok()) {
                return socket.ok() ? link.status() : socket.status();
            }
            const config::Endpoint address {.host = "127.0.0.1", .port = socket->port()};
            standIn->listen(*std::move(socket));
            auto proxy = std::make_unique<FaultProxy>(*std::move(link), address);
            standIn->setListedAddress(config::toText(proxy->address()));
            m_store.put(absl::StrCat(platform::names::upstreamKeyPrefix, standIn->id()),
                        standIn->registryEntry(false));
            m_replicas.push_back({.standIn = std::move(standIn), .proxy = std::move(proxy)});
        }
    }
    return absl::OkStatus();
}

std::string SoakRun::settingsFor(uint32_t daemon) const
{
    const auto address = [this](uint32_t number, uint32_t port) {
        return absl::StrCat("\"127.0.0.", 11 + number, ":", m_options.basePort + port, "\"");
    };
    std::string seeds;
    for (uint32_t i = 0; i < std::min(3U, m_options.daemons); ++i) {
        absl::StrAppend(&seeds, seeds.empty() ? "" : ", ", address(i, 3));
    }
    return absl::StrCat(
        R"({ "mode": "relay", "daemon": "relay-)", daemon, R"(", "zone": "z1", "callers": )",
        address(daemon, 0), R"(, "readiness": )", address(daemon, 1), R"(, "directory": )",
        address(daemon, 2), R"(, "fleet": )", address(daemon, 3),
        R"(, "fleetKey": "fault-soak-key", "fleetPorts": [)", m_options.basePort + 4, ", ",
        m_options.basePort + 5, R"(], "seeds": [)", seeds, R"(], "registry": ")",
        config::toText(m_storeLinks[daemon]->address()),
        R"(", "drain": { "acceptMs": 1000, "limitMs": 7000 } })");
}

absl::Status SoakRun::startDaemons()
{
    std::vector<config::Endpoint> directories;
    for (uint32_t i = 0; i < m_options.daemons; ++i) {
        const std::string name = absl::StrCat(m_options.folder, "/", i);
        std::ofstream(name + ".json") << settingsFor(i);
        m_processes.push_back(
            std::make_unique<DaemonProcess>(m_options.program, name + ".json", name + ".log"));
        m_processes.back()->start();
        directories.push_back({.host = absl::StrCat("127.0.0.", 11 + i),
                               .port = static_cast<uint16_t>(m_options.basePort + 2)});
    }
    m_callers = std::make_unique<platform::standin::CallerStandIn>(
        m_loop, m_spec, std::move(directories), m_ledger, m_options.seed);
    return absl::OkStatus();
}

void SoakRun::runIteration()
{
    m_loop.runOnce(model::milliseconds(1));
    m_now = net::EventLoop::now();
    m_store.run(m_now);
    for (const auto &link : m_storeLinks) {
        link->run(m_now);
    }
    for (Replica &replica : m_replicas) {
        replica.proxy->run(m_now);
        replica.standIn->run(m_now);
        checkLeaving(replica);
    }
    for (const auto &process : m_processes) {
        if (const auto failure = process->run(m_now)) {
            m_ledger.recordViolation(*failure);
        }
    }
    m_callers->run(m_now);
}

bool SoakRun::execute()
{
    const model::TimePoint limit = net::EventLoop::now() + startupTimeout;
    while (!m_callers->hasAddresses() && net::EventLoop::now() < limit) {
        runIteration();
    }
    if (!m_callers->hasAddresses()) {
        m_ledger.recordViolation("no daemon became ready");
        return report(counts());
    }
    m_trafficStart = m_now;
    for (const PlannedFault &fault : planFaults(m_options.seed, m_options.faultTime)) {
        while (m_now < m_trafficStart + fault.at) {
            runIteration();
            std::vector<PlannedFault> expired;
            std::erase_if(m_scheduledEnds, [&](const ScheduledEnd &scheduled) {
                const bool isExpired = m_now >= scheduled.at;
                if (isExpired) {
                    expired.push_back(scheduled.fault);
                }
                return isExpired;
            });
            std::for_each(expired.begin(), expired.end(),
                          [this](const PlannedFault &each) { endFault(each); });
        }
        beginFault(fault);
    }
    for (const ScheduledEnd &scheduled : std::exchange(m_scheduledEnds, {})) {
        endFault(scheduled.fault);
    }
    const model::TimePoint observedFrom = m_now + recoveryTime;
    while (m_now < observedFrom) {
        runIteration();
    }
    const Counts before = counts();
    while (m_now < observedFrom + observationTime) {
        runIteration();
    }
    return report(before);
}

void SoakRun::logFault(const PlannedFault &fault, const char *what) const
{
    std::cout << model::toMilliseconds(m_now - m_trafficStart) << " ms " << what << ' '
              << toString(fault.kind) << " target=" << fault.target << " variant=" << fault.variant
              << std::endl;
}

SoakRun::Replica &SoakRun::replicaFor(const PlannedFault &fault)
{
    // Every pool is equally likely, regardless of its number of replicas.
    const std::string &pool = m_spec.pools[fault.target % m_spec.pools.size()].name;
    std::vector<Replica *> candidates;
    for (Replica &replica : m_replicas) {
        if (replica.standIn->id().starts_with(pool + "-")) {
            candidates.push_back(&replica);
        }
    }
    return *candidates[fault.variant % candidates.size()];
}

void SoakRun::beginFault(const PlannedFault &fault)
{
    logFault(fault, "begins");
    DaemonProcess &process = *m_processes[fault.target % m_processes.size()];
    platform::standin::ReplicaStandIn &standIn = *replicaFor(fault).standIn;
    bool isLasting = true;
    bool isDisruptive = true;
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        process.kill();
        isLasting = false;
        break;
    case FaultKind::KillAll:
        for (const auto &each : m_processes) {
            each->kill();
        }
        isLasting = false;
        break;
    case FaultKind::StopDaemon:
        process.stop(m_now);
        isLasting = false;
        break;
    case FaultKind::PauseDaemon:
        process.pause();
        break;
    case FaultKind::HangUp:
        process.sendSighup();
        isLasting = false;
        isDisruptive = false;
        break;
    case FaultKind::StoreLink:
        m_storeLinks[fault.target % m_storeLinks.size()]->setFault(linkFault(fault.variant));
        break;
    case FaultKind::ReplicaLink:
        replicaFor(fault).proxy->setFault(linkFault(fault.variant));
        break;
    case FaultKind::StoreBusy:
        m_store.setState(RegistryState::Busy);
        break;
    case FaultKind::StoreSilent:
        m_store.setState(RegistryState::Silent);
        break;
    case FaultKind::StoreDropsHistory:
        m_store.dropHistory();
        isLasting = false;
        break;
    case FaultKind::ReplicaSheds:
        standIn.setFault(ReplicaFault::Sheds);
        isDisruptive = false;
        break;
    case FaultKind::ReplicaBreaks:
        standIn.setFault(ReplicaFault::Breaks);
        isDisruptive = false;
        break;
    case FaultKind::ReplicaFails:
        standIn.setFault(ReplicaFault::Fails);
        isDisruptive = false;
        break;
    case FaultKind::ReplicaLeaves:
        setLeaving(replicaFor(fault), true);
        isDisruptive = false;
        break;
    case FaultKind::ConfigurationChanges:
        m_store.put(platform::names::configurationKey,
                    platform::standin::configurationOf(m_spec, ++m_configuration));
        isLasting = false;
        isDisruptive = false;
        break;
    }
    if (isDisruptive) {
        m_disruptedUntil = std::max(m_disruptedUntil, isLasting ? m_now + fault.duration : m_now);
    }
    if (isLasting) {
        m_scheduledEnds.push_back({.at = m_now + fault.duration, .fault = fault});
    }
}

void SoakRun::endFault(const PlannedFault &fault)
{
    logFault(fault, "ends");
    switch (fault.kind) {
    case FaultKind::PauseDaemon:
        m_processes[fault.target % m_processes.size()]->resume();
        break;
    case FaultKind::StoreLink:
        m_storeLinks[fault.target % m_storeLinks.size()]->setFault(LinkFault::None);
        break;
    case FaultKind::ReplicaLink:
        replicaFor(fault).proxy->setFault(LinkFault::None);
        break;
    case FaultKind::StoreBusy:
    case FaultKind::StoreSilent:
        m_store.setState(RegistryState::Up);
        break;
    case FaultKind::ReplicaSheds:
    case FaultKind::ReplicaBreaks:
    case FaultKind::ReplicaFails:
        replicaFor(fault).standIn->setFault(ReplicaFault::None);
        break;
    case FaultKind::ReplicaLeaves:
        setLeaving(replicaFor(fault), false);
        break;
    default:
        break;
    }
}

void SoakRun::setLeaving(Replica &replica, bool isLeaving)
{
    replica.isLeaving = isLeaving;
    replica.mustBeIdleFrom = model::TimePoint::max();
    if (isLeaving) {
        replica.mustBeIdleFrom = m_now + drainLimit + drainMargin;
        replica.lastArrivals = 0;
    }
    m_store.put(absl::StrCat(platform::names::upstreamKeyPrefix, replica.standIn->id()),
                replica.standIn->registryEntry(isLeaving));
}

// Checked only if no fault has recently disrupted the store, a link or a daemon.
void SoakRun::checkLeaving(Replica &replica)
{
    if (!replica.isLeaving || m_now < replica.mustBeIdleFrom) {
        return;
    }
    const uint64_t arrivals = replica.standIn->arrivals();
    const bool isDisrupted = m_now < m_disruptedUntil + disruptionGrace + drainLimit + drainMargin;
    if (replica.lastArrivals != 0 && arrivals > replica.lastArrivals && !isDisrupted) {
        m_ledger.recordViolation("new work was sent to a leaving upstream: "
                                 + replica.standIn->id());
    }
    replica.lastArrivals = arrivals;
}

SoakRun::Counts SoakRun::counts() const
{
    return {
        .served = m_ledger.served(), .failed = m_ledger.failed(), .refused = m_ledger.refused()};
}

bool SoakRun::report(const Counts &before) const
{
    const Counts last = counts();
    const size_t served = last.served - before.served;
    const size_t all = served + last.failed - before.failed + last.refused - before.refused;
    const bool isServed
        = all > 0 && static_cast<double>(served) >= minServedShare * static_cast<double>(all);
    std::cout << "seed " << m_options.seed << ": sent " << m_ledger.sent() << ", served "
              << last.served << ", refused " << last.refused << ", failed " << last.failed
              << "; after the faults " << served << " of " << all << " served; promises broken "
              << m_ledger.violations().size() << '\n';
    for (const std::string &violation : m_ledger.violations()) {
        std::cout << "  " << violation << '\n';
    }
    return isServed && m_ledger.violations().empty();
}

} // namespace citronpick::soak
