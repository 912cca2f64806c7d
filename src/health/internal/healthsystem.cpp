#include "health/healthsystem.h"

#include <algorithm>

namespace citronpick::health
{

namespace
{

constexpr size_t minSuspectSamples = 3;

} // namespace

HealthSystem::HealthSystem(HealthOptions options, const upstreams::UpstreamTable &upstreams,
                           const IReturnShare &share, uint64_t seed)
    : m_options(std::move(options))
    , m_upstreams(upstreams)
    , m_share(share)
    , m_random(seed)
{
    if (const auto *staged = std::get_if<StagedReturn>(&m_options.returnPolicy)) {
        m_staged = *staged;
    }
}

void HealthSystem::synchronise(model::TimePoint now)
{
    m_table.resize(m_upstreams.upstreams().size());
    m_poolRatios.resize(m_upstreams.pools().size(), 1.0);
    for (uint32_t i = 0; i < m_upstreams.upstreams().size(); ++i) {
        const upstreams::Upstream &upstream = m_upstreams.upstreams()[i];
        HealthRow &row = m_table.at(model::UpstreamRow {i});
        if (row.generation != upstream.generation) {
            row = HealthRow {.generation = upstream.generation, .since = now};
        }
    }
}

void HealthSystem::observeTime(model::TimePoint now)
{
    const bool isFirst = m_lastTime == model::TimePoint::min();
    if (!isFirst && now - m_lastTime > m_options.processPauseThreshold) {
        // Connections lost and answers delayed during the pause are not the upstreams' fault, and
        // successful answers from before the pause are out of date.
        m_pauseEndedAt = now;
        for (uint32_t i = 0; i < m_table.size(); ++i) {
            HealthRow &row = m_table.at(model::UpstreamRow {i});
            row.ratios.clear();
            row.failures.clear();
            row.consecutiveFailures = 0;
            row.passedProbes = 0;
            row.passedTrials = 0;
            row.stepAnswers = 0;
            row.stepRatios.clear();
        }
    }
    m_lastTime = now;
}

void HealthSystem::onAnswer(model::UpstreamRow upstream, uint64_t epoch, double ratio,
                            model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    const bool isCurrent = row.epoch == epoch;
    if (isOutOfService(row.state)) {
        if (isCurrent) {
            onReturningAnswer(upstream, ratio, now);
        }
        return;
    }
    row.consecutiveFailures = 0;
    row.failures.add(false, m_options.failureWindow);
    if (isCurrent || row.state == HealthState::Active) {
        row.ratios.add(ratio);
    }
}

void HealthSystem::onFailure(model::UpstreamRow upstream, uint64_t epoch,
                             model::TimePoint startedAt, model::TimePoint now)
{
    if (startedAt < m_pauseEndedAt) {
        return;
    }
    HealthRow &row = m_table.at(upstream);
    if (isOutOfService(row.state)) {
        const bool isReturning
            = row.state == HealthState::Trial || row.state == HealthState::Ramping;
        if (isReturning && row.epoch == epoch) {
            eject(upstream, EjectCause::Relapse, now);
        }
        return;
    }
    ++row.consecutiveFailures;
    row.lastFailure = now;
    row.failures.add(true, m_options.failureWindow);
    // An upstream that fails immediately always looks least loaded and attracts more requests, so
    // it is ejected at once instead of in the next run().
    if (isFailing(row) && mayEject(upstream, now)) {
        eject(upstream, EjectCause::Failures, now);
    }
}

// A host that refuses connections fails every request, so a single connection failure is enough to
// eject the upstream.
void HealthSystem::onConnectFailure(model::UpstreamRow upstream, uint64_t epoch,
                                    model::TimePoint startedAt, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    if (startedAt >= m_pauseEndedAt && !isOutOfService(row.state)) {
        row.consecutiveFailures = std::max(row.consecutiveFailures, m_options.failuresToEject - 1);
    }
    onFailure(upstream, epoch, startedAt, now);
}

void HealthSystem::onOverdue(model::UpstreamRow upstream, uint64_t epoch, double ratio,
                             model::TimePoint startedAt, model::TimePoint now)
{
    if (startedAt < m_pauseEndedAt) {
        return;
    }
    HealthRow &row = m_table.at(upstream);
    if (row.epoch != epoch) {
        return;
    }
    if (!isOutOfService(row.state)) {
        row.ratios.add(ratio);
        return;
    }
    onReturningAnswer(upstream, ratio, now);
}

void HealthSystem::onReturningAnswer(model::UpstreamRow upstream, double ratio,
                                     model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    const double limit = singleAnswerLimit(upstream);
    ++row.answersSinceReturn;
    if (row.state == HealthState::Trial) {
        if (ratio > limit) {
            eject(upstream, EjectCause::Relapse, now);
            return;
        }
        ++row.passedTrials;
        return;
    }
    if (row.state != HealthState::Ramping) {
        return;
    }
    ++row.stepAnswers;
    row.stepRatios.add(ratio);
    const bool hasEnoughSamples = row.stepRatios.size() >= minSuspectSamples;
    if (hasEnoughSamples && row.stepRatios.median() > limit) {
        eject(upstream, EjectCause::Relapse, now);
    }
}

void HealthSystem::onProbe(model::UpstreamRow upstream, uint64_t number, bool isSuccess,
                           model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    if (row.openProbe != number) {
        return;
    }
    row.openProbe = 0;
    row.nextProbe = now + m_options.probeInterval;
    if (row.state != HealthState::Probing) {
        return;
    }
    row.passedProbes = isSuccess ? row.passedProbes + 1 : 0;
}

void HealthSystem::resetRelapses(model::UpstreamRow upstream)
{
    HealthRow &row = m_table.at(upstream);
    row.relapses = 0;
    if (row.state == HealthState::Ejected) {
        row.holdUntil = std::min(row.holdUntil, row.since + m_options.probeInterval);
    }
}

void HealthSystem::requireReturn(model::UpstreamRow upstream, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    row.relapses = 0;
    row.rampStep = 0;
    row.answersSinceReturn = 0;
    row.returnedAt.reset();
    moveTo(upstream, HealthState::Probing, EjectCause::None, now);
}

uint32_t HealthSystem::lastStepSlots(model::UpstreamRow upstream) const
{
    const double share = m_staged.rampSteps.empty() ? 1.0 : m_staged.rampSteps.back();
    const auto total = static_cast<uint32_t>(share * poolOf(upstream).config.concurrency);
    return std::max(1U, m_share.slots(m_upstreams.at(upstream).config.id, std::max(1U, total)));
}

uint32_t HealthSystem::returningSlots(model::UpstreamRow upstream) const
{
    const HealthRow &row = m_table.at(upstream);
    if (row.state != HealthState::Trial && row.state != HealthState::Ramping) {
        return 0;
    }
    return m_share.slots(m_upstreams.at(upstream).config.id, stepSlots(upstream));
}

double HealthSystem::poolRatio(model::PoolRow pool) const
{
    return pool.value < m_poolRatios.size() ? m_poolRatios[pool.value] : 1.0;
}

void HealthSystem::moveTo(model::UpstreamRow upstream, HealthState state, EjectCause cause,
                          model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    m_decisions.transitions.push_back({.upstream = upstream,
                                       .from = row.state,
                                       .to = state,
                                       .cause = cause,
                                       .relapses = row.relapses});
    if (isOutOfService(row.state) && state == HealthState::Active) {
        row.returnedAt = now;
    }
    row.state = state;
    row.cause = cause;
    row.since = now;
    ++row.epoch;
    row.ratios.clear();
    row.failures.clear();
    row.consecutiveFailures = 0;
    row.openProbe = 0;
    row.passedProbes = 0;
    row.passedTrials = 0;
    row.stepAnswers = 0;
    row.stepRatios.clear();
    row.nextProbe = now;
}

void HealthSystem::eject(model::UpstreamRow upstream, EjectCause cause, model::TimePoint now)
{
    HealthRow &row = m_table.at(upstream);
    constexpr uint32_t maxDoublings = 16;
    // The time in service after which an ejection no longer counts as a relapse doubles with each
    // relapse, as the hold-down does.
    const model::Duration relapseWindow
        = m_staged.relapseDecay * (1U << std::min(row.relapses, maxDoublings));
    const bool isSoonAfterReturn = row.returnedAt && now - *row.returnedAt < relapseWindow;
    if (cause == EjectCause::Relapse || isSoonAfterReturn) {
        ++row.relapses;
        row.lastRelapseChange = now;
    }
    if (cause == EjectCause::PeerRelapse) {
        row.relapses = m_share.peerRelapses(m_upstreams.at(upstream).config.id);
        row.lastRelapseChange = now;
    }
    row.rampStep = 0;
    row.answersSinceReturn = 0;
    row.returnedAt.reset();
    moveTo(upstream, HealthState::Ejected, cause, now);
    if (const auto *timed = std::get_if<TimedReturn>(&m_options.returnPolicy)) {
        row.holdUntil = now + timed->holdDown;
        return;
    }
    const double doublings = 1U << std::min(row.relapses, maxDoublings);
    const model::Duration hold
        = std::min(m_staged.maxHoldDown, model::scaled(m_staged.holdDown, doublings));
    // Random jitter keeps upstreams that failed at the same time from returning at the same time.
    row.holdUntil = now + model::scaled(hold, 1.0 + 0.1 * m_random.uniformDouble());
}

const upstreams::Pool &HealthSystem::poolOf(model::UpstreamRow upstream) const
{
    return m_upstreams.at(m_upstreams.at(upstream).pool);
}

double HealthSystem::singleAnswerLimit(model::UpstreamRow upstream) const
{
    // A single answer may be slow by chance, so it is compared with the tail of the pool's answer
    // times rather than with the median.
    constexpr double tailShare = 0.95;
    constexpr double tailFactor = 1.5;
    const HealthRow &row = m_table.at(upstream);
    const double median = poolRatio(m_upstreams.at(upstream).pool);
    const double tail = poolOf(upstream).ratios.quantile(tailShare, median);
    const double limit = std::max(m_staged.maxReturnRatio * median, tailFactor * tail);
    return limit * coldFactor(row);
}

double HealthSystem::coldFactor(const HealthRow &row) const
{
    return row.answersSinceReturn < m_staged.coldAnswers ? m_staged.coldRatioFactor : 1.0;
}

uint32_t HealthSystem::stepSlots(model::UpstreamRow upstream) const
{
    const HealthRow &row = m_table.at(upstream);
    if (row.state == HealthState::Trial || m_staged.rampSteps.empty()) {
        return 1;
    }
    const size_t step = std::min<size_t>(row.rampStep, m_staged.rampSteps.size() - 1);
    const double slots = m_staged.rampSteps[step] * poolOf(upstream).config.concurrency;
    return std::max(1U, static_cast<uint32_t>(slots));
}

} // namespace citronpick::health
