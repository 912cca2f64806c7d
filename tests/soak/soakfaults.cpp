#include "soak/soakrun.h"

#include <algorithm>
#include <array>
#include <iostream>

#include <absl/strings/str_cat.h>

#include "platform/names.h"

namespace citronpick::soak
{

using platform::standin::RegistryState;
using platform::standin::ReplicaFault;

namespace
{

//! A disruption may have effects for this long after its end.
constexpr model::Duration disruptionGrace = model::seconds(3);
//! A leaving upstream gets no new work after this time.
constexpr model::Duration drainLimit = model::seconds(2);
//! Tolerance for stand-ins that are scheduled late.
constexpr model::Duration drainMargin = model::milliseconds(500);
//! Age of the copies to which the store returns, at most.
constexpr model::Duration copyInterval = model::seconds(3);
//! What is lost by a return is written again after this time.
constexpr model::Duration rewriteDelay = model::seconds(1);
constexpr uint32_t linkFaultCount = 5;
//! Steps of a fault come at most this long after each other.
constexpr int64_t maxSeriesGapMs = 800;
constexpr int64_t maxRepeatGapMs = 2500;
//! Callers that leave early do so while most requests are open.
constexpr model::Duration minPatience = model::milliseconds(20);
constexpr int64_t patienceRangeMs = 300;
//! Slow stages take 10 to 80 times as long.
constexpr uint32_t minSlowness = 10;
constexpr uint32_t slownessRange = 71;
//! Engines that pause do so for longer than daemons wait for an event before they look for another
//! engine, and for less than callers wait.
constexpr model::Duration shortestPause = model::milliseconds(1300);
constexpr int64_t pauseRangeMs = 900;
//! Streams that an engine runs at a time while it has little room.
constexpr size_t littleRoom = 2;
//! Routes by which a configuration grows. Sanitizers make its processing many times slower, which
//! would leave daemons no time for anything else.
#ifdef CITRONPICK_SANITIZED
constexpr uint32_t minGrowth = 30;
constexpr uint32_t growthRange = 100;
#else
constexpr uint32_t minGrowth = 300;
constexpr uint32_t growthRange = 1000;
#endif

LinkFault linkFault(uint32_t variant)
{
    return static_cast<LinkFault>(1 + variant % linkFaultCount);
}

//! Whether the fault has an end to be planned.
bool isLasting(FaultKind kind)
{
    switch (kind) {
    case FaultKind::PauseDaemon:
    case FaultKind::StoreLink:
    case FaultKind::ReplicaLink:
    case FaultKind::StoreBusy:
    case FaultKind::StoreSilent:
    case FaultKind::ReplicaSheds:
    case FaultKind::ReplicaBreaks:
    case FaultKind::ReplicaFails:
    case FaultKind::ReplicaLeaves:
    case FaultKind::StageSlow:
    case FaultKind::SaysLeaving:
    case FaultKind::AsksRest:
    case FaultKind::EvacuateZone:
    case FaultKind::ReplicaSilent:
    case FaultKind::UnlimitedCallers:
    case FaultKind::NamesLimit:
    case FaultKind::StoreRestored:
    case FaultKind::CallersLeave:
    case FaultKind::EnginesPause:
        return true;
    default:
        return false;
    }
}

//! Whether the fault affects a daemon, a link or the store.
bool isDisruptive(FaultKind kind)
{
    const bool isOneStep = kind <= FaultKind::StoreDropsHistory && kind != FaultKind::HangUp;
    return isOneStep || (kind >= FaultKind::StopSeries && kind <= FaultKind::HangUpInStop)
           || kind == FaultKind::StoreRestored;
}

} // namespace

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

void SoakRun::runFaults()
{
    for (const PlannedFault &fault : planFaults(m_options.seed, m_options.faultTime)) {
        while (m_now < m_trafficStart + fault.at) {
            runIteration();
            endExpiredFaults();
        }
        beginFault(fault);
    }
    for (const ScheduledEnd &scheduled : std::exchange(m_scheduledEnds, {})) {
        endFault(scheduled.fault);
    }
}

void SoakRun::endExpiredFaults()
{
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

void SoakRun::beginFault(const PlannedFault &fault)
{
    logFault(fault, "begins");
    if (!beginDaemonFault(fault) && !beginStopSteps(fault) && !beginStoreFault(fault)) {
        beginReplicaFault(fault);
    }
    const model::TimePoint end = isLasting(fault.kind) ? m_now + fault.duration : m_now;
    if (isDisruptive(fault.kind)) {
        m_disruptedUntil = std::max(m_disruptedUntil, end);
    }
    if (isLasting(fault.kind)) {
        m_scheduledEnds.push_back({.at = m_now + fault.duration, .fault = fault});
    }
}

bool SoakRun::beginDaemonFault(const PlannedFault &fault)
{
    DaemonProcess &process = *m_daemons[fault.target % m_daemons.size()].process;
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        process.kill();
        return true;
    case FaultKind::KillAll:
        for (const Daemon &each : m_daemons) {
            each.process->kill();
        }
        return true;
    case FaultKind::StopDaemon:
        process.stop(m_now);
        return true;
    case FaultKind::PauseDaemon:
        process.pause();
        forgetNotices(fault.target);
        return true;
    case FaultKind::HangUp:
        process.sendSighup();
        return true;
    case FaultKind::UnlimitedCallers:
        m_unlimitedCallers.push_back(
            {.fault = fault,
             .callers = std::make_unique<UnlimitedCallers>(
                 config::Endpoint {
                     .host = daemonHost(fault.target % static_cast<uint32_t>(m_daemons.size())),
                     .port = static_cast<uint16_t>(m_options.basePort)},
                 m_spec.host, fault.variant)});
        return true;
    default:
        return false;
    }
}

bool SoakRun::beginStopSteps(const PlannedFault &fault)
{
    const auto after = [&fault](int64_t maxGapMs) {
        return model::milliseconds(fault.variant % maxGapMs);
    };
    switch (fault.kind) {
    case FaultKind::StopSeries: {
        // Up to two thirds of the daemons.
        const auto most = std::max<size_t>(2, m_daemons.size() * 2 / 3);
        const auto count = static_cast<uint32_t>(2 + fault.variant % (most - 1));
        for (uint32_t i = 0; i < count; ++i) {
            m_scheduledSignals.push_back({.at = m_now + after(maxSeriesGapMs) * i,
                                          .daemon = fault.target + i,
                                          .signal = Signal::Stop});
        }
        return true;
    }
    case FaultKind::StopTwice:
    case FaultKind::HangUpInStop:
        send({.at = m_now, .daemon = fault.target, .signal = Signal::Stop});
        m_scheduledSignals.push_back(
            {.at = m_now + after(maxRepeatGapMs),
             .daemon = fault.target,
             .signal = fault.kind == FaultKind::StopTwice ? Signal::RepeatStop : Signal::HangUp});
        return true;
    default:
        return false;
    }
}

void SoakRun::send(const ScheduledSignal &scheduled)
{
    const auto daemon = static_cast<uint32_t>(scheduled.daemon % m_daemons.size());
    DaemonProcess &process = *m_daemons[daemon].process;
    forgetNotices(daemon);
    switch (scheduled.signal) {
    case Signal::Stop:
        process.stop(m_now);
        m_disruptedUntil = std::max(m_disruptedUntil, m_now);
        break;
    case Signal::RepeatStop:
        process.repeatStop(m_now);
        break;
    case Signal::HangUp:
        ++m_daemons[daemon].drainSettings;
        writeSettings(daemon);
        process.sendSighup();
        break;
    }
}

bool SoakRun::beginStoreFault(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::StoreLink:
        m_daemons[fault.target % m_daemons.size()].storeLink->setFault(linkFault(fault.variant));
        return true;
    case FaultKind::StoreBusy:
        m_store.setState(RegistryState::Busy);
        return true;
    case FaultKind::StoreSilent:
        m_store.setState(RegistryState::Silent);
        return true;
    case FaultKind::StoreDropsHistory:
        m_store.dropHistory();
        return true;
    case FaultKind::StoreRestored:
        m_store.setState(RegistryState::Silent);
        return true;
    case FaultKind::ConfigurationGrows:
        addRoutes(minGrowth + fault.variant % growthRange);
        putConfiguration();
        return true;
    case FaultKind::ConfigurationChanges:
        putConfiguration();
        return true;
    default:
        return false;
    }
}

// A copy is some seconds old when the store returns to it. Its writers write again what was lost.
void SoakRun::runStoreCopies()
{
    if (m_now >= m_nextCopy) {
        m_nextCopy = m_now + copyInterval;
        m_store.takeCopy();
    }
    if (m_now < m_rewriteAt) {
        return;
    }
    m_rewriteAt = model::TimePoint::max();
    m_store.put(platform::names::configurationKey,
                platform::standin::configurationOf(m_configuredSpec, m_configuration));
    for (const Replica &replica : m_replicas) {
        m_store.put(absl::StrCat(platform::names::upstreamKeyPrefix, replica.standIn->id()),
                    replica.standIn->registryEntry(replica.isLeaving));
    }
}

void SoakRun::putConfiguration()
{
    m_store.put(platform::names::configurationKey,
                platform::standin::configurationOf(m_configuredSpec, ++m_configuration));
}

// Callers know none of these routes.
void SoakRun::addRoutes(uint32_t count)
{
    for (uint32_t i = 0; i < count; ++i) {
        const std::string name = absl::StrCat("grown-", m_configuredSpec.routes.size());
        m_configuredSpec.routes.push_back({.name = name,
                                           .prefix = absl::StrCat("/", name, "/"),
                                           .kind = "safe",
                                           .pool = m_spec.pools.front().name});
    }
}

void SoakRun::beginReplicaFault(const PlannedFault &fault)
{
    Replica &replica = replicaFor(fault);
    switch (fault.kind) {
    case FaultKind::ReplicaLink:
        setLinkFault(replica, linkFault(fault.variant));
        break;
    case FaultKind::ReplicaSheds:
        replica.standIn->setFault(ReplicaFault::Sheds);
        break;
    case FaultKind::ReplicaBreaks:
        replica.standIn->setFault(ReplicaFault::Breaks);
        break;
    case FaultKind::ReplicaFails:
        replica.standIn->setFault(ReplicaFault::Fails);
        break;
    case FaultKind::ReplicaLeaves:
        setLeaving(replica, true);
        break;
    case FaultKind::StageSlow:
        setStageSlowness(fault, minSlowness + fault.variant % slownessRange);
        break;
    case FaultKind::ReplicaSilent:
        setSilent(fault, true);
        break;
    case FaultKind::DeadlyPart:
        beginDeadlyPart(fault);
        break;
    case FaultKind::SaysLeaving:
    case FaultKind::AsksRest:
        beginNotices(fault);
        break;
    case FaultKind::NamesLimit: {
        constexpr std::array<double, 4> rates = {1.0, 1.5, 3.0, 6.0};
        replica.standIn->setNotice(
            {.requestsPerSecond = rates.at(fault.variant / 8 % rates.size())});
        break;
    }
    case FaultKind::EvacuateZone:
        beginEvacuation(fault);
        break;
    case FaultKind::ReplicaReturnsCold:
        replica.standIn->crashSoon();
        break;
    case FaultKind::CallersLeave:
        m_callers->setPatience(minPatience + model::milliseconds(fault.variant % patienceRangeMs));
        break;
    case FaultKind::EnginesPause:
        setEngineTrouble(
            {.pause = shortestPause + model::milliseconds(fault.variant % pauseRangeMs),
             .maxRunning = littleRoom});
        break;
    default:
        break;
    }
}

void SoakRun::beginDeadlyPart(const PlannedFault &fault)
{
    std::vector<const platform::standin::RouteSpec *> routes;
    for (const platform::standin::RouteSpec &route : m_spec.routes) {
        if (route.promptTokens > 0) {
            routes.push_back(&route);
        }
    }
    const platform::standin::RouteSpec &route = *routes[fault.target % routes.size()];
    const std::string part = absl::StrCat("dead", absl::Hex(m_options.seed));
    for (Replica &replica : m_replicas) {
        replica.standIn->setDeadlyPart(part);
    }
    m_deadlyPart = {.route = route.name, .from = m_now, .until = m_now + fault.duration};
    m_callers->sendDeadlyRequests(route, part, m_deadlyPart->until);
}

// One replica or all of a pool make the statement, in each answer or in one of four.
std::vector<SoakRun::Replica *> SoakRun::noticeReplicasFor(const PlannedFault &fault)
{
    constexpr uint32_t wholePoolInterval = 4;
    if (fault.variant % wholePoolInterval != 0) {
        return {&replicaFor(fault)};
    }
    const std::string prefix = m_spec.pools[fault.target % m_spec.pools.size()].name + "-";
    std::vector<Replica *> all;
    for (Replica &replica : m_replicas) {
        if (replica.standIn->id().starts_with(prefix)) {
            all.push_back(&replica);
        }
    }
    return all;
}

void SoakRun::beginNotices(const PlannedFault &fault)
{
    constexpr std::array<int64_t, 4> restsMs = {400, 1250, 3000, 9000};
    constexpr uint32_t fewAnswers = 4;
    const bool isLeaving = fault.kind == FaultKind::SaysLeaving;
    const uint32_t option = fault.variant / 8;
    for (Replica *replica : noticeReplicasFor(fault)) {
        replica->standIn->setNotice(
            {.isLeaving = isLeaving,
             .rest = isLeaving ? model::Duration::zero()
                               : model::milliseconds(restsMs.at(option % restsMs.size())),
             .interval = fault.variant % 8 < 4 ? 1 : fewAnswers});
        if (isLeaving && option % 2 == 0) {
            // Another writer's entry, and then once more the one of this start.
            m_scheduledPuts.push_back(
                {.at = m_now + fault.duration / 3, .replica = replica, .isReadable = false});
            m_scheduledPuts.push_back({.at = m_now + fault.duration / 2, .replica = replica});
        }
    }
}

void SoakRun::endNotices(const PlannedFault &fault)
{
    for (Replica *replica : noticeReplicasFor(fault)) {
        replica->standIn->setNotice({});
        replica->standIn->noteStart();
        setLeaving(*replica, replica->isLeaving);
    }
}

void SoakRun::runScheduledPuts()
{
    std::erase_if(m_scheduledPuts, [this](const ScheduledPut &put) {
        const bool isDue = m_now >= put.at;
        if (isDue) {
            const platform::standin::ReplicaStandIn &standIn = *put.replica->standIn;
            m_store.put(absl::StrCat(platform::names::upstreamKeyPrefix, standIn.id()),
                        put.isReadable ? standIn.registryEntry(put.replica->isLeaving) : "\xff");
        }
        return isDue;
    });
}

void SoakRun::endFault(const PlannedFault &fault)
{
    logFault(fault, "ends");
    Daemon &daemon = m_daemons[fault.target % m_daemons.size()];
    switch (fault.kind) {
    case FaultKind::PauseDaemon:
        daemon.process->resume(m_now);
        forgetNotices(fault.target);
        break;
    case FaultKind::StoreLink:
        daemon.storeLink->setFault(LinkFault::None);
        break;
    case FaultKind::ReplicaLink:
        setLinkFault(replicaFor(fault), LinkFault::None);
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
        replicaFor(fault).standIn->noteStart();
        setLeaving(replicaFor(fault), false);
        break;
    case FaultKind::StageSlow:
        setStageSlowness(fault, 1);
        break;
    case FaultKind::ReplicaSilent:
        setSilent(fault, false);
        break;
    case FaultKind::UnlimitedCallers:
        std::erase_if(m_unlimitedCallers,
                      [&fault](const Crowd &crowd) { return crowd.fault == fault; });
        checkMemory();
        break;
    case FaultKind::SaysLeaving:
    case FaultKind::AsksRest:
        endNotices(fault);
        break;
    case FaultKind::NamesLimit:
        replicaFor(fault).standIn->setNotice({});
        m_ledger.notices().endLimit(replicaFor(fault).standIn->id());
        break;
    case FaultKind::StoreRestored:
        m_store.setState(RegistryState::Up);
        m_store.restore();
        m_rewriteAt = m_now + rewriteDelay;
        break;
    case FaultKind::EvacuateZone:
        endEvacuation(fault);
        break;
    case FaultKind::CallersLeave:
        m_callers->setPatience(std::nullopt);
        break;
    case FaultKind::EnginesPause:
        setEngineTrouble({});
        break;
    default:
        break;
    }
}

void SoakRun::setLinkFault(Replica &replica, LinkFault fault)
{
    replica.proxy->setFault(fault);
    replica.standIn->setLinkFaulty(fault != LinkFault::None);
}

void SoakRun::setStageSlowness(const PlannedFault &fault, int64_t factor)
{
    std::vector<std::string> stages;
    for (const platform::standin::PoolSpec &pool : m_spec.pools) {
        if (pool.kind == platform::standin::PoolKind::Stage) {
            stages.push_back(pool.name);
        }
    }
    const std::string prefix = stages[fault.target % stages.size()] + "-";
    for (Replica &replica : m_replicas) {
        if (replica.standIn->id().starts_with(prefix)) {
            replica.standIn->setSlowness(factor);
        }
    }
}

void SoakRun::setEngineTrouble(const platform::standin::EngineTrouble &trouble)
{
    for (Replica &replica : m_replicas) {
        replica.standIn->setEngineTrouble(trouble);
    }
}

// One replica of a pool or all of them.
void SoakRun::setSilent(const PlannedFault &fault, bool isSilent)
{
    const std::string prefix = m_spec.pools[fault.target % m_spec.pools.size()].name + "-";
    const std::string chosen = replicaFor(fault).standIn->id();
    for (Replica &replica : m_replicas) {
        const std::string &id = replica.standIn->id();
        if (id == chosen || (fault.variant % 2 == 0 && id.starts_with(prefix))) {
            replica.standIn->setSilent(isSilent);
        }
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

} // namespace citronpick::soak
