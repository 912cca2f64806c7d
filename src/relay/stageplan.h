#ifndef CITRONPICK_RELAY_STAGEPLAN_H
#define CITRONPICK_RELAY_STAGEPLAN_H

#include <cstdint>
#include <string>
#include <vector>

#include "relay/relayconfiguration.h"

namespace citronpick::relay
{

//! Names one result of a stage: the address of its maker and the maker's own name for it.
using ResultHandle = std::string;

//! The stages of one request: which may start, what they take, what they made.
class StagePlan
{
public:
    StagePlan() = default;
    //! \a pieceCounts gives the pieces of each stage; a stage without an entry has one. A stage
    //! of zero pieces is left out.
    StagePlan(const std::vector<StageRule> &stages, const std::vector<uint32_t> &pieceCounts);

    bool isEmpty() const
    {
        return m_stages.empty();
    }
    bool isDone() const;
    //! Stages whose inputs are there and that were not started; they count as started now.
    std::vector<uint32_t> takeReady();
    uint32_t pieceCount(uint32_t stage) const
    {
        return m_stages[stage].pieceCount;
    }
    //! Results that a stage takes: those of the stages before it, past stages left out.
    std::vector<ResultHandle> inputsOf(uint32_t stage) const;
    //! Whether no other stage takes what this one does.
    bool isLastUser(uint32_t stage) const;
    //! Its results expire at \a until and lie in \a zone.
    void complete(uint32_t stage, std::vector<ResultHandle> handles, model::TimePoint until,
                  model::ZoneId zone = {});
    //! Where what a stage takes lies; empty when it takes nothing.
    model::ZoneId inputsZone(uint32_t stage) const;
    //! When the first result that a stage takes expires.
    model::TimePoint inputsUntil(uint32_t stage) const;

    //! Results of the stages that no other stage follows, in order.
    std::vector<ResultHandle> finalResults() const;
    //! Results that no unfinished stage and no final step needs any more; each is given once.
    std::vector<ResultHandle> takeSpent();
    //! All results not yet given by takeSpent().
    std::vector<ResultHandle> takeAll();
    //! Begins from the start; nothing of what was made is used again.
    void restart();

private:
    enum class Phase {
        Waiting,
        Started,
        Done,
    };
    struct Stage {
        std::vector<uint32_t> after;
        uint32_t pieceCount = 1;
        Phase phase = Phase::Waiting;
        std::vector<ResultHandle> handles;
        model::TimePoint until = model::TimePoint::max();
        model::ZoneId zone; //!< Of its results.
        bool isReleased = false;
        bool hasFollower = false;
    };

    void appendInputs(uint32_t stage, std::vector<ResultHandle> &inputs) const;
    bool isSettled(const Stage &stage) const;
    bool isHeldBack(const Stage &stage) const;
    bool areSettled(const std::vector<uint32_t> &stages) const;
    bool areFollowersDone(uint32_t stage) const;

    std::vector<Stage> m_stages;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STAGEPLAN_H
