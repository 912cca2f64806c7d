#include "core/core.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "model/abslview.h"

namespace citronpick::core
{

using observability::EventCode;

namespace
{

constexpr model::Duration healthInterval = model::milliseconds(100);
//! A fetch of a configuration from a peer is abandoned after this time.
constexpr model::Duration fetchTimeout = model::seconds(3);
//! The demand of an account is published to the other daemons from this share of its limit on.
constexpr double minPublishedLimitShare = 0.03;
//! The own load is published in steps of this many percent.
constexpr uint32_t loadStepPercent = 10;

EventCode codeOf(health::HealthState state)
{
    switch (state) {
    case health::HealthState::Active:
        return EventCode::UpstreamActive;
    case health::HealthState::Suspect:
        return EventCode::UpstreamSuspected;
    case health::HealthState::Ejected:
        return EventCode::UpstreamEjected;
    case health::HealthState::Probing:
        return EventCode::UpstreamProbing;
    case health::HealthState::Trial:
        return EventCode::UpstreamTrial;
    case health::HealthState::Ramping:
        return EventCode::UpstreamRamping;
    }
    return EventCode::UpstreamActive;
}

} // namespace

void Core::on(const Tick &, model::TimePoint now)
{
    if (!m_isReady && isReady(now)) {
        m_isReady = true;
    }
    if (m_isReady) {
        m_fleet.announceReady(now);
    }
    m_fleet.run(now);
    if (now >= m_nextHealthRun) {
        m_nextHealthRun = now + healthInterval;
        m_shares.refresh();
        runHealth(now);
        m_requests.refreshPools(static_cast<uint32_t>(m_fleet.members().usableCount()), now);
    }
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + model::seconds(1);
        m_operations.removeExpired(now);
        publishDemands(now);
        publishLoad(now);
        const bool hasFetchTimedOut = m_pendingFetch && now - m_fetchStartedAt >= fetchTimeout;
        if (hasFetchTimedOut) {
            m_pendingFetch.reset();
        }
    }
    m_requests.dispatchAll(now);
    for (const pipeline::CrashReport &crash : m_requests.takeCrashReports()) {
        m_fleet.publish(
            fleet::CrashFact {.fingerprint = crash.fingerprint, .upstream = crash.upstream}, now);
    }
    updateDrain(now);
}

void Core::runHealth(model::TimePoint now)
{
    const health::HealthDecisions decisions = m_health.run(now);
    for (const health::Transition &transition : decisions.transitions) {
        applyTransition(transition, now);
    }
    for (const health::Probe &probe : decisions.probes) {
        const upstreams::Upstream &upstream = m_upstreams.at(probe.upstream);
        m_commands->emplace_back(SendProbe {.upstream = upstream.config.id,
                                            .number = probe.number,
                                            .host = upstream.config.host,
                                            .port = upstream.config.port,
                                            .path = m_upstreams.at(upstream.pool).config.probePath,
                                            .timeout = probe.timeout});
    }
}

void Core::applyTransition(const health::Transition &transition, model::TimePoint now)
{
    upstreams::Upstream &upstream = m_upstreams.at(transition.upstream);
    const health::HealthRow &row = m_health.row(transition.upstream);
    record(codeOf(transition.to), upstream.config.id.text(),
           absl::StrCat("from=", model::toAbsl(health::toString(transition.from)),
                        " cause=", model::toAbsl(health::toString(transition.cause)),
                        " relapses=", transition.relapses, " step=", row.rampStep));
    const bool wasOutOfService = health::isOutOfService(transition.from);
    const bool isOutOfServiceNow = health::isOutOfService(transition.to);
    const bool isSlow = transition.cause == health::EjectCause::Slowness;
    if (!wasOutOfService && (isOutOfServiceNow || isSlow)) {
        m_requests.hedgeAttemptsAt(transition.upstream, now);
    }
    if (!wasOutOfService && isOutOfServiceNow) {
        m_prefixes.forget(transition.upstream);
    }
    if (wasOutOfService && !isOutOfServiceNow) {
        // The ramp has confirmed the slots of its last step. The limit adapts further with each
        // answer.
        upstream.limit.restartFrom(m_health.lastStepSlots(transition.upstream));
        upstream.slowness = 1.0;
    }
    const bool isSuspicion = transition.to == health::HealthState::Suspect
                             || transition.from == health::HealthState::Suspect;
    if (wasOutOfService || isOutOfServiceNow || isSuspicion) {
        publishReturn(transition, now);
    }
}

void Core::publishReturn(const health::Transition &transition, model::TimePoint now)
{
    const upstreams::Upstream &upstream = m_upstreams.at(transition.upstream);
    const health::HealthRow &row = m_health.row(transition.upstream);
    const fleet::ReturnFact fact {.upstream = upstream.config.id,
                                  .state = row.state,
                                  .rampStep = row.rampStep,
                                  .relapses = row.relapses};
    // Only the first few returning upstreams are given slots, so other daemons do not need the
    // state of the rest.
    if (!m_shares.isReturnParticipant(upstream.config.id)) {
        return;
    }
    m_fleet.publish(fact, now);
    if (row.state == health::HealthState::Active) {
        m_fleet.withdraw(fact);
    }
}

void Core::publishDemands(model::TimePoint now)
{
    const config::ConfigurationPtr configuration = m_revisions.configuration();
    if (!configuration) {
        return;
    }
    m_shares.clearOwnDemands();
    for (const admission::AccountDemand &demand : m_requests.accountLimits().demands(now)) {
        m_shares.setOwnDemand(demand.account, demand.requestsPerSecond);
        const config::AccountConfig *account = configuration->account(demand.account);
        const fleet::DemandFact fact {.account = demand.account,
                                      .requestsPerSecond = demand.requestsPerSecond};
        const double limit = account ? account->requestsPerSecond : 0.0;
        const double concurrency = account ? account->concurrency : 0.0;
        const bool isLimited = limit > 0.0 || concurrency > 0.0;
        const bool isSignificant
            = isLimited && demand.requestsPerSecond >= minPublishedLimitShare * limit;
        if (isSignificant) {
            m_fleet.publishIfChanged(fact, now);
        } else {
            m_fleet.withdraw(fact);
        }
    }
}

void Core::publishLoad(model::TimePoint now)
{
    uint32_t inFlight = 0;
    uint32_t limit = 0;
    for (const upstreams::Upstream &upstream : m_upstreams.upstreams()) {
        if (upstream.takesNewWork()) {
            inFlight += upstream.inFlight;
            limit += upstream.limit.value();
        }
    }
    const uint32_t percent = limit == 0 ? 0 : std::min(100U, 100 * inFlight / limit);
    const uint32_t step = percent / loadStepPercent * loadStepPercent;
    if (step != m_publishedLoad) {
        m_publishedLoad = step;
        m_fleet.publish(fleet::LoadFact {.percent = step}, now);
    }
}

void Core::updateDrain(model::TimePoint now)
{
    if (!m_drainingSince || m_isDrainFinished) {
        return;
    }
    // Callers keep using the address of this daemon until their entry answer expires.
    if (now - *m_drainingSince >= m_options.drain.acceptPeriod) {
        m_requests.refuseNewWork();
    }
    const bool isOver = m_requests.refusesNewWork() && m_requests.requestCount() == 0;
    if (!isOver) {
        return;
    }
    m_isDrainFinished = true;
    record(EventCode::DrainComplete, m_options.daemon.text(),
           absl::StrCat("ms=", model::toMilliseconds(now - *m_drainingSince)));
    m_commands->emplace_back(DrainFinished {});
}

} // namespace citronpick::core
