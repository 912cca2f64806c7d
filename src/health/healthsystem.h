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

//! A change of an upstream's state.
struct Transition {
    model::UpstreamRow upstream;
    HealthState from = HealthState::Active;
    HealthState to = HealthState::Active;
    EjectCause cause = EjectCause::None;
    uint32_t relapses = 0;
};

//! A probe that is to be sent.
struct Probe {
    model::UpstreamRow upstream;
    uint64_t number = 0;
    model::Duration timeout {};
};

//! What one run decided.
struct HealthDecisions {
    std::vector<Transition> transitions;
    std::vector<Probe> probes;
};

//! Takes upstreams out of service and lets them return by stages.
class HealthSystem
{
public:
    HealthSystem(HealthOptions options, const upstreams::UpstreamTable &upstreams,
                 const IReturnShare &share, uint64_t seed);

    //! Matches the rows to the upstream table after a change of configuration.
    void synchronise(model::TimePoint now);

    //! Tells the passing of time; a long gap means that this process was paused.
    void observeTime(model::TimePoint now);

    //! An answer came; \a ratio is its time over the expected one.
    void onAnswer(model::UpstreamRow upstream, uint64_t epoch, double ratio, model::TimePoint now);
    //! The upstream could not be connected to.
    void onConnectFailure(model::UpstreamRow upstream, uint64_t epoch, model::TimePoint startedAt,
                          model::TimePoint now);
    //! No usable answer came.
    void onFailure(model::UpstreamRow upstream, uint64_t epoch, model::TimePoint startedAt,
                   model::TimePoint now);
    //! An attempt has been out for \a ratio times its expected duration.
    void onOverdue(model::UpstreamRow upstream, uint64_t epoch, double ratio,
                   model::TimePoint startedAt, model::TimePoint now);
    void onProbe(model::UpstreamRow upstream, uint64_t number, bool isGood, model::TimePoint now);

    //! Forgives relapses that a crashing request has caused.
    void forgive(model::UpstreamRow upstream);

    //! A new instance stands in the upstream's place: it returns as after an ejection.
    void requireReturn(model::UpstreamRow upstream, model::TimePoint now);

    //! Moves every row on and reports what changed and which probes are due.
    HealthDecisions run(model::TimePoint now);

    const HealthRow &row(model::UpstreamRow upstream) const
    {
        return m_table.at(upstream);
    }

    //! Requests that a returning upstream may hold from this daemon; zero in any other state.
    uint32_t returningSlots(model::UpstreamRow upstream) const;

    //! Requests that the last step of a ramp allows this daemon.
    uint32_t lastStepSlots(model::UpstreamRow upstream) const;

    //! Median normalised answer time over the pool's upstreams in service.
    double poolRatio(model::PoolRow pool) const;

    //! Answers slower than this, normalised, are slow for the pool at present.
    double slowThreshold(model::PoolRow pool) const
    {
        return m_options.slowRatio * poolRatio(pool);
    }

private:
    struct Verdict {
        bool isBad = false;
        EjectCause cause = EjectCause::None;
    };

    void moveTo(model::UpstreamRow upstream, HealthState state, EjectCause cause,
                model::TimePoint now);
    void eject(model::UpstreamRow upstream, EjectCause cause, model::TimePoint now);
    void onReturningAnswer(model::UpstreamRow upstream, double ratio, model::TimePoint now);
    void updatePoolRatios();
    Verdict judge(model::UpstreamRow upstream) const;
    bool isFailing(const HealthRow &row) const;
    bool isSlow(model::UpstreamRow upstream) const;
    bool mayEject(model::UpstreamRow upstream, model::TimePoint now) const;
    bool isPoolDegraded(const upstreams::Pool &pool, model::UpstreamRow except,
                        model::TimePoint now) const;
    bool isZoneDegraded(const upstreams::Pool &pool, model::UpstreamRow upstream,
                        model::TimePoint now) const;
    bool isTroubled(model::UpstreamRow upstream, model::TimePoint now) const;

    void runInService(model::UpstreamRow upstream, model::TimePoint now);
    void runEjected(model::UpstreamRow upstream, model::TimePoint now);
    void runProbing(model::UpstreamRow upstream, model::TimePoint now);
    void runReturning(model::UpstreamRow upstream, model::TimePoint now);
    bool followPeers(model::UpstreamRow upstream, model::TimePoint now);
    void confirmStep(model::UpstreamRow upstream, model::TimePoint now);
    void forgiveWithTime(HealthRow &row, model::TimePoint now) const;

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
    model::TimePoint m_wokeAt = model::TimePoint::min(); //!< End of the last pause.
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHSYSTEM_H
