#ifndef CITRONPICK_HEALTH_HEALTHTABLE_H
#define CITRONPICK_HEALTH_HEALTHTABLE_H

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <vector>

#include "health/healthstate.h"
#include "model/row.h"
#include "model/time.h"

namespace citronpick::health
{

//! The most recent normalised answer times (actual over expected duration) of one upstream.
class RatioWindow
{
public:
    static constexpr size_t capacity = 9;

    void add(double ratio);
    void clear();
    size_t size() const;

    //! Returns zero when the window is empty.
    double median() const;

    //! Whether the last \a count ratios are all above a limit.
    bool areLastAbove(size_t count, double limit) const;

private:
    std::array<float, capacity> m_ratios {};
    uint8_t m_size = 0;
    uint8_t m_next = 0;
};

//! Outcomes (success or failure) of the most recent requests to one upstream.
class FailureWindow
{
public:
    static constexpr size_t capacity = 32;

    void add(bool isFailure, size_t windowSize);
    void clear();
    size_t size() const;
    size_t failures() const;

private:
    std::bitset<capacity> m_failures;
    uint8_t m_size = 0;
    uint8_t m_next = 0;
};

//! Health of one upstream; has the same row number as the upstream in the upstream table.
struct HealthRow {
    uint64_t generation = 0; //!< Generation of the upstream that the row describes.
    HealthState state = HealthState::Active;
    EjectCause cause = EjectCause::None;
    //! Incremented by each state change; identifies answers that belong to an earlier state.
    uint64_t epoch = 1;
    model::TimePoint since; //!< Start of the current state.
    RatioWindow ratios;
    FailureWindow failures;
    uint32_t consecutiveFailures = 0;
    model::TimePoint lastFailure = model::TimePoint::min();
    uint32_t relapses = 0;
    model::TimePoint lastRelapseChange;
    model::TimePoint holdUntil; //!< End of the hold-down of an ejected upstream.
    model::TimePoint nextProbe;
    uint64_t openProbe = 0; //!< Number of the pending probe; zero if none is pending.
    uint32_t passedProbes = 0;
    uint32_t passedTrials = 0;
    uint32_t rampStep = 0;
    uint32_t stepAnswers = 0;
    RatioWindow stepRatios;
    uint32_t answersSinceReturn = 0;
    std::optional<model::TimePoint> returnedAt; //!< Time of the last return to the active state.
};

//! Health rows of all upstreams.
class HealthTable
{
public:
    HealthRow &at(model::UpstreamRow row);
    const HealthRow &at(model::UpstreamRow row) const;
    size_t size() const
    {
        return m_rows.size();
    }

    //! Grows the table to \a size rows; never shrinks it.
    void resize(size_t size);

private:
    std::vector<HealthRow> m_rows;
};

} // namespace citronpick::health

#endif // CITRONPICK_HEALTH_HEALTHTABLE_H
