#ifndef CITRONPICK_RELAY_STAGEPLAN_H
#define CITRONPICK_RELAY_STAGEPLAN_H

#include <cstdint>
#include <string>
#include <vector>

#include "relay/relayconfiguration.h"

namespace citronpick::relay
{

//! Identifies one stored result of a stage: the address of the upstream that produced it and that
//! upstream's name for it.
using ResultHandle = std::string;

//! Tracks the stages of one request: their order, inputs and results.
class StagePlan
{
public:
    StagePlan() = default;
    //! \a pieceCounts holds the number of pieces of each stage; a stage without an entry has one. A
    //! stage with zero pieces is skipped: its successors use the inputs of the skipped stage.
    StagePlan(const std::vector<StageRule> &stages, const std::vector<uint32_t> &pieceCounts);

    bool isEmpty() const
    {
        return m_stages.empty();
    }
    bool isDone() const;
    //! See stageOrder().
    const std::vector<uint32_t> &order() const
    {
        return m_order;
    }
    //! Returns the stages that can start now and marks them as started.
    std::vector<uint32_t> takeReady();
    uint32_t pieceCount(uint32_t stage) const
    {
        return m_stages[stage].pieceCount;
    }
    //! Results of the preceding stages that \a stage uses, each once, skipped stages replaced by
    //! their inputs.
    std::vector<ResultHandle> inputsOf(uint32_t stage) const;
    //! Whether no other stage uses the inputs of \a stage. False if a preceding stage is skipped.
    bool isOnlyUserOfInputs(uint32_t stage) const;
    //! Stores the results of \a stage, which expire at \a until and are located in \a zone.
    void complete(uint32_t stage, std::vector<ResultHandle> handles, model::TimePoint until,
                  model::ZoneId zone = {});
    //! Zone of the inputs of \a stage; empty if it has no inputs.
    model::ZoneId inputsZone(uint32_t stage) const;
    //! Earliest expiry of the inputs of \a stage.
    model::TimePoint inputsExpiry(uint32_t stage) const;

    //! Results of the stages without successors, in order and each once.
    std::vector<ResultHandle> finalResults() const;
    //! Intermediate results that no unfinished stage needs; each is returned once.
    std::vector<ResultHandle> takeUnneeded();
    //! All results that takeUnneeded() and takeAllResults() have not returned yet.
    std::vector<ResultHandle> takeAllResults();
    //! Whether results that an upstream needs to run the request have been returned by
    //! takeAllResults().
    bool areFinalResultsReleased() const;
    //! Discards all results so that every stage has to run again.
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
        model::TimePoint expiresAt = model::TimePoint::max();
        model::ZoneId zone; //!< Where the results are stored.
        bool isReleased = false;
        bool hasSuccessor = false;
    };

    //! The stages whose results stand for those of \a stages, each once.
    std::vector<uint32_t> sourcesOf(const std::vector<uint32_t> &stages) const;
    void collectSources(uint32_t stage, std::vector<bool> &isVisited,
                        std::vector<uint32_t> &sources) const;
    std::vector<ResultHandle> resultsOf(const std::vector<uint32_t> &sources) const;
    bool areInputsReady(uint32_t stage) const;
    bool isDeferred(const Stage &stage) const;
    bool areSuccessorsDone(uint32_t stage) const;

    std::vector<Stage> m_stages;
    std::vector<uint32_t> m_order;
};

} // namespace citronpick::relay

#endif // CITRONPICK_RELAY_STAGEPLAN_H
