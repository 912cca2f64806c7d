#ifndef CITRONPICK_HEALTH_HEALTHSYSTEM_H
#define CITRONPICK_HEALTH_HEALTHSYSTEM_H

#include <cstdint>
#include <vector>

#include "health/healthoptions.h"
#include "health/healthtable.h"
#include "health/ireturnshare.h"
#include "model/random.h"
#include "upstreams/upstreamtable.h"

namespace citronpick::health
{

//! A change of an upstream's health state.
struct Transition {
    model::UpstreamRow upstream;
    HealthState from = HealthState::Active;
    HealthState to = HealthState::Active;
    EjectCause cause = EjectCause::None;
    uint32_t relapses = 0;
};

//! A health probe to be sent by the caller of HealthSystem::run().
struct Probe {
    model::UpstreamRow upstream;
    uint64_t number = 0;
    model::Duration timeout {};
};

//! State changes and probes that resulted from one HealthSystem::run().
struct HealthDecisions {
    std::vector<Transition> transitions;
    std::vector<Probe> probes;
};

//! Ejects failing or slow upstreams and returns them to service in stages.
class HealthSystem
{
public:
    HealthSystem(HealthOptions options, const upstreams::UpstreamTable &upstreams,
                 const IReturnShare &share, uint64_t seed);

    //! Aligns the health rows with the upstream table after a configuration change.
    void synchronise(model::TimePoint now);

    //! Detects pauses of this process from long gaps between calls and discards stale samples.
    void observeTime(model::TimePoint now);

    //! Records an answer; \a ratio is its duration divided by the expected duration.
    void onAnswer(model::UpstreamRow upstream, uint64_t epoch, double ratio, model::TimePoint now);
    //! Records a failed connection attempt.
    void onConnectFailure(model::UpstreamRow upstream, uint64_t epoch, model::TimePoint startedAt,
                          model::TimePoint now);
    //! Records a request that got no usable answer.
    void onFailure(model::UpstreamRow upstream, uint64_t epoch, model::TimePoint startedAt,
                   model::TimePoint now);
    //! Records a pending attempt that has already taken \a ratio times its expected duration.
    void onOverdue(model::UpstreamRow upstream, uint64_t epoch, double ratio,
                   model::TimePoint startedAt, model::TimePoint now);
    //! Records the result of the probe with this \a number; results of older probes are ignored.
    void onProbe(model::UpstreamRow upstream, uint64_t number, bool isSuccess,
                 model::TimePoint now);

    //! Clears relapses that were caused by a crashing request and shortens a pending hold-down.
    void resetRelapses(model::UpstreamRow upstream);

    //! A new instance replaced the upstream: it must pass probes, trials and ramp before full use.
    void requireReturn(model::UpstreamRow upstream, model::TimePoint now);

    //! Advances the state of every upstream; returns the state changes and the probes that are due.
    HealthDecisions run(model::TimePoint now);

    const HealthRow &row(model::UpstreamRow upstream) const
    {
        return m_table.at(upstream);
    }

    //! Concurrent requests from this daemon that a returning upstream may hold; zero in other
    //! states.
    uint32_t returningSlots(model::UpstreamRow upstream) const;

    //! Concurrent requests that the last ramp step allows this daemon.
    uint32_t lastStepSlots(model::UpstreamRow upstream) const;

    //! Median of the normalised answer times of the pool's upstreams in service.
    double poolRatio(model::PoolRow pool) const;

    //! Normalised answer time above which an answer currently counts as slow in the pool.
    double slowThreshold(model::PoolRow pool) const
    {
        return m_options.slowRatio * poolRatio(pool);
    }

private:
    struct Assessment {
        bool isUnhealthy = false;
        EjectCause cause = EjectCause::None;
    };

    void moveTo(model::UpstreamRow upstream, HealthState state, EjectCause cause,
                model::TimePoint now);
    void eject(model::UpstreamRow upstream, EjectCause cause, model::TimePoint now);
    void onReturningAnswer(model::UpstreamRow upstream, double ratio, model::TimePoint now);
    void updatePoolRatios();
    Assessment assess(model::UpstreamRow upstream) const;
    bool isFailing(const HealthRow &row) const;
    bool isSlow(model::UpstreamRow upstream) const;
    bool mayEject(model::UpstreamRow upstream, model::TimePoint now) const;
    bool isPoolDegraded(const upstreams::Pool &pool, model::UpstreamRow excluded,
                        model::TimePoint now) const;
    bool isZoneDegraded(const upstreams::Pool &pool, model::UpstreamRow upstream,
                        model::TimePoint now) const;
    bool isUnhealthy(model::UpstreamRow upstream, model::TimePoint now) const;

    void runInService(model::UpstreamRow upstream, model::TimePoint now);
    void runEjected(model::UpstreamRow upstream, model::TimePoint now);
    void runProbing(model::UpstreamRow upstream, model::TimePoint now);
    void runReturning(model::UpstreamRow upstream, model::TimePoint now);
    bool adoptPeerState(model::UpstreamRow upstream, model::TimePoint now);
    void confirmStep(model::UpstreamRow upstream, model::TimePoint now);
    void decayRelapses(HealthRow &row, model::TimePoint now) const;

    const upstreams::Pool &poolOf(model::UpstreamRow upstream) const;
    double coldFactor(const HealthRow &row) const;
    double singleAnswerLimit(model::UpstreamRow upstream) const;
    uint32_t stepSlots(model::UpstreamRow upstream) const;

    HealthOptions m_options;
    StagedReturn m_staged;
    const upstreams::UpstreamTable &m_upstreams;
    const IReturnShare &m_share;
    model::Random m_random;
    HealthTable m_table;
    std::vector<double> m_poolRatios;
    HealthDecisions m_decisions;
    uint64_t m_lastProbe = 0;
    model::TimePoint m_lastTime = model::TimePoint::min();
    //! End of the last pause of this process.
    model::TimePoint m_pauseEndedAt = model::TimePoint::min();
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHSYSTEM_H
