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
//! A peer that was asked for a file and is silent for this long will not answer.
constexpr model::Duration fetchTimeout = model::seconds(3);
//! Part of an account's limit from which a daemon tells the others of its demand.
constexpr double publishedLimitShare = 0.03;
//! Steps in which the own load is told, in percent.
constexpr uint32_t loadStep = 10;

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
    if (now >= m_nextSecond) {
        m_nextSecond = now + model::seconds(1);
        m_operations.forgetExpired(now);
        publishDemands(now);
        publishLoad(now);
        const bool isFetchLost = m_fetching && now - m_fetchStartedAt >= fetchTimeout;
        if (isFetchLost) {
            m_fetching.reset();
        }
    }
    m_requests.dispatchAll(now);
    for (const pipeline::Strike &strike : m_requests.takeStrikes()) {
        m_fleet.publish(
            fleet::StrikeFact {.fingerprint = strike.fingerprint, .upstream = strike.upstream},
            now);
    }
    runDrain(now);
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
    const bool wasOut = health::isOutOfService(transition.from);
    const bool isOut = health::isOutOfService(transition.to);
    const bool isSlow = transition.cause == health::EjectCause::Slowness;
    if (!wasOut && (isOut || isSlow)) {
        m_requests.rescueFrom(transition.upstream, now);
    }
    if (!wasOut && isOut) {
        m_prefixes.forget(transition.upstream);
    }
    if (wasOut && !isOut) {
        // Full use was confirmed up to the last step; the rest is learned answer by answer.
        upstream.limit.restartFrom(m_health.lastStepSlots(transition.upstream));
        upstream.slowness = 1.0;
    }
    const bool isSuspicion = transition.to == health::HealthState::Suspect
                             || transition.from == health::HealthState::Suspect;
    if (wasOut || isOut || isSuspicion) {
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
    // Beyond the first few in line nobody gets a slot, so their state is of no use to the others.
    if (!m_shares.isAmongFirst(upstream.config.id)) {
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
        const bool isHeavy = isLimited && demand.requestsPerSecond >= publishedLimitShare * limit;
        if (isHeavy) {
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
    const uint32_t step = percent / loadStep * loadStep;
    if (step != m_publishedLoad) {
        m_publishedLoad = step;
        m_fleet.publish(fleet::LoadFact {.percent = step}, now);
    }
}

void Core::runDrain(model::TimePoint now)
{
    if (!m_drainingSince || m_isDrainFinished) {
        return;
    }
    // Callers that were told of this daemon before go on coming for as long as that answer lives.
    if (now - *m_drainingSince >= m_options.drain.accept) {
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
