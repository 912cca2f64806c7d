#include "health/healthsystem.h"

#include <algorithm>

namespace citronpick::health
{

namespace
{

// A failure within this time marks an upstream as currently failing.
constexpr model::Duration recentFailureTime = model::seconds(1);
// Ejections within this time count towards a degraded pool or zone.
constexpr model::Duration recentEjectionTime = model::seconds(3);
// A suspect that got no answers for this long becomes active again.
constexpr model::Duration idleSuspectTime = model::seconds(10);
constexpr size_t minSuspectSamples = 3;
// Consecutive slow answers that make an active upstream suspect.
constexpr size_t minSlowAnswers = 2;
constexpr size_t minFailureSamples = 6;

} // namespace

HealthDecisions HealthSystem::run(model::TimePoint now)
{
    updatePoolRatios();
    for (uint32_t i = 0; i < m_table.size(); ++i) {
        const model::UpstreamRow upstream {i};
        if (m_upstreams.at(upstream).isRetired) {
            continue;
        }
        switch (m_table.at(upstream).state) {
        case HealthState::Active:
        case HealthState::Suspect:
            runInService(upstream, now);
            break;
        case HealthState::Ejected:
            runEjected(upstream, now);
            break;
        case HealthState::Probing:
            runProbing(upstream, now);
            break;
        case HealthState::Trial:
        case HealthState::Ramping:
            runReturning(upstream, now);
            break;
        }
    }
    return std::exchange(m_decisions, {});
}

void HealthSystem::updatePoolRatios()
{
    std::vector<double> medians;
    for (uint32_t i = 0; i < m_upstreams.pools().size(); ++i) {
        medians.clear();
        for (const model::UpstreamRow upstream : m_upstreams.pools()[i].upstreams) {
            const HealthRow &row = m_table.at(upstream);
            if (!isOutOfService(row.state) && row.ratios.size() >= minSuspectSamples) {
                medians.push_back(row.ratios.median());
            }
        }
        if (medians.empty()) {
            continue;
        }
        // Uses the lower median, so that of two upstreams the slower one becomes suspect.
        const auto middle = medians.begin() + static_cast<ptrdiff_t>((medians.size() - 1) / 2);
        std::nth_element(medians.begin(), middle, medians.end());
        m_poolRatios[i] = *middle;
    }
}

bool HealthSystem::isFailing(const HealthRow &row) const
{
    if (row.consecutiveFailures >= m_options.failuresToEject) {
        return true;
    }
    const auto failures = static_cast<double>(row.failures.failures());
    const auto answers = static_cast<double>(row.failures.size());
    return row.failures.size() >= minFailureSamples
           && failures >= m_options.failureShareToEject * answers;
}

bool HealthSystem::isSlow(model::UpstreamRow upstream) const
{
    const HealthRow &row = m_table.at(upstream);
    const double limit = slowThreshold(m_upstreams.at(upstream).pool);
    const bool isMostlySlow
        = row.ratios.size() >= m_options.minSlowSamples && row.ratios.median() > limit;
    // Suspecting an upstream costs little, so a few consecutive slow answers suffice where answers
    // are rare. One slow answer suffices if a peer suspects the upstream too.
    const bool isSuspectedByPeer = m_share.isSuspectedByPeer(m_upstreams.at(upstream).config.id);
    const size_t neededSlowAnswers = isSuspectedByPeer ? 1 : minSlowAnswers;
    if (row.state == HealthState::Suspect) {
        const size_t needed = isSuspectedByPeer ? 1 : minSuspectSamples;
        return row.ratios.size() >= needed && row.ratios.median() > limit;
    }
    return isMostlySlow || row.ratios.areLastAbove(neededSlowAnswers, limit);
}

HealthSystem::Assessment HealthSystem::assess(model::UpstreamRow upstream) const
{
    const HealthRow &row = m_table.at(upstream);
    if (isFailing(row)) {
        return {.isUnhealthy = true, .cause = EjectCause::Failures};
    }
    if (isSlow(upstream)) {
        return {.isUnhealthy = true, .cause = EjectCause::Slowness};
    }
    return {};
}

bool HealthSystem::isUnhealthy(model::UpstreamRow upstream, model::TimePoint now) const
{
    const HealthRow &row = m_table.at(upstream);
    if (row.state == HealthState::Suspect) {
        return true;
    }
    if (isOutOfService(row.state)) {
        return row.state == HealthState::Ejected && now - row.since < recentEjectionTime;
    }
    const bool hasRecentFailure
        = row.consecutiveFailures > 0 && now - row.lastFailure < recentFailureTime;
    return hasRecentFailure || isSlow(upstream);
}

bool HealthSystem::isPoolDegraded(const upstreams::Pool &pool, model::UpstreamRow excluded,
                                  model::TimePoint now) const
{
    size_t others = 0;
    size_t unhealthy = 0;
    for (const model::UpstreamRow upstream : pool.upstreams) {
        if (upstream == excluded) {
            continue;
        }
        ++others;
        unhealthy += isUnhealthy(upstream, now) ? 1 : 0;
    }
    return others > 0
           && static_cast<double>(unhealthy)
                  >= m_options.degradedShare * static_cast<double>(others);
}

bool HealthSystem::isZoneDegraded(const upstreams::Pool &pool, model::UpstreamRow upstream,
                                  model::TimePoint now) const
{
    const model::ZoneId &zone = m_upstreams.at(upstream).config.zone;
    size_t zoneSize = 0;
    size_t unhealthyInZone = 0;
    size_t unhealthyElsewhere = 0;
    for (const model::UpstreamRow other : pool.upstreams) {
        const bool isInZone = m_upstreams.at(other).config.zone == zone;
        const bool countsAsUnhealthy = other == upstream || isUnhealthy(other, now);
        zoneSize += isInZone ? 1 : 0;
        unhealthyInZone += isInZone && countsAsUnhealthy ? 1 : 0;
        unhealthyElsewhere += !isInZone && countsAsUnhealthy ? 1 : 0;
    }
    return zoneSize >= 2 && zoneSize < pool.upstreams.size() && unhealthyInZone == zoneSize
           && unhealthyElsewhere == 0;
}

bool HealthSystem::mayEject(model::UpstreamRow upstream, model::TimePoint now) const
{
    const upstreams::Pool &pool = poolOf(upstream);
    size_t outOfService = 0;
    for (const model::UpstreamRow other : pool.upstreams) {
        outOfService += isOutOfService(m_table.at(other).state) ? 1 : 0;
    }
    const double allowed = pool.config.maxEjectedShare * static_cast<double>(pool.upstreams.size());
    if (static_cast<double>(outOfService + 1) > allowed) {
        return false;
    }
    return !isPoolDegraded(pool, upstream, now) && !isZoneDegraded(pool, upstream, now);
}

void HealthSystem::runInService(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    decayRelapses(row, now);
    const Assessment assessment = assess(upstream);
    if (row.state == HealthState::Active) {
        if (!assessment.isUnhealthy) {
            return;
        }
        if (assessment.cause == EjectCause::Failures && mayEject(upstream, now)) {
            eject(upstream, assessment.cause, now);
            return;
        }
        moveTo(upstream, HealthState::Suspect, assessment.cause, now);
        return;
    }
    if (assessment.isUnhealthy && now - row.since >= m_options.suspectTime) {
        if (mayEject(upstream, now)) {
            eject(upstream, assessment.cause, now);
        }
        return;
    }
    const bool isCleared = !assessment.isUnhealthy && row.ratios.size() >= minSuspectSamples
                           && row.consecutiveFailures == 0;
    const bool hasNoSamples
        = row.ratios.size() == 0 && row.failures.size() == 0 && now - row.since >= idleSuspectTime;
    if (isCleared || hasNoSamples) {
        moveTo(upstream, HealthState::Active, EjectCause::None, now);
    }
}

void HealthSystem::decayRelapses(HealthRow &row, model::TimePoint now) const
{
    if (row.relapses > 0 && now - row.lastRelapseChange >= m_staged.relapseDecay) {
        --row.relapses;
        row.lastRelapseChange = now;
    }
}

void HealthSystem::runEjected(model::UpstreamRow upstream, model::TimePoint now)
{
    if (now < m_table.at(upstream).holdUntil) {
        return;
    }
    const bool isStaged = std::holds_alternative<StagedReturn>(m_options.returnPolicy);
    moveTo(upstream, isStaged ? HealthState::Probing : HealthState::Active, EjectCause::None, now);
}

void HealthSystem::runProbing(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    const bool canRunTrials = poolOf(upstream).hasIdempotentStage;
    const uint32_t needed
        = canRunTrials ? m_staged.probesToPass : m_staged.probesToPassWithoutTrial;
    if (row.passedProbes >= needed) {
        // A pool without idempotent stages has no request that is safe to use as a trial: a longer
        // series of probes replaces trials and ramp.
        moveTo(upstream, canRunTrials ? HealthState::Trial : HealthState::Active, EjectCause::None,
               now);
        return;
    }
    if (row.openProbe != 0 || now < row.nextProbe) {
        return;
    }
    row.openProbe = ++m_lastProbe;
    m_decisions.probes.push_back(
        {.upstream = upstream, .number = row.openProbe, .timeout = m_options.probeTimeout});
}

bool HealthSystem::adoptPeerState(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    const model::UpstreamId &id = m_upstreams.at(upstream).config.id;
    if (m_share.peerRelapses(id) > row.relapses) {
        eject(upstream, EjectCause::PeerRelapse, now);
        return true;
    }
    if (returningSlots(upstream) > 0) {
        return false;
    }
    // Without slots this daemon gets no answers of its own, so it adopts the state of a peer.
    const auto peer = m_share.furthestPeer(id);
    if (!peer) {
        return false;
    }
    if (peer->state == HealthState::Active && now - row.since >= m_staged.minStepTime) {
        moveTo(upstream, HealthState::Active, EjectCause::None, now);
        return true;
    }
    const bool isAhead = peer->state == HealthState::Ramping
                         && (row.state == HealthState::Trial || peer->rampStep > row.rampStep);
    if (isAhead) {
        moveTo(upstream, HealthState::Ramping, EjectCause::None, now);
        row.rampStep = peer->rampStep;
    }
    return isAhead;
}

void HealthSystem::runReturning(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    if (adoptPeerState(upstream, now)) {
        return;
    }
    if (row.state == HealthState::Trial) {
        if (row.passedTrials >= m_staged.trialsToPass) {
            moveTo(upstream, HealthState::Ramping, EjectCause::None, now);
            row.rampStep = 0;
        }
        return;
    }
    confirmStep(upstream, now);
}

void HealthSystem::confirmStep(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    const uint32_t needed = std::max(m_staged.answersPerStep, 2 * returningSlots(upstream));
    if (row.stepAnswers < needed || now - row.since < m_staged.minStepTime) {
        return;
    }
    const double median = poolRatio(m_upstreams.at(upstream).pool);
    if (row.stepRatios.median() > m_staged.maxReturnRatio * median * coldFactor(row)) {
        eject(upstream, EjectCause::Relapse, now);
        return;
    }
    if (row.rampStep + 1 >= m_staged.rampSteps.size()) {
        moveTo(upstream, HealthState::Active, EjectCause::None, now);
        return;
    }
    const uint32_t next = row.rampStep + 1;
    moveTo(upstream, HealthState::Ramping, EjectCause::None, now);
    row.rampStep = next;
}

} // namespace citronpick::health
