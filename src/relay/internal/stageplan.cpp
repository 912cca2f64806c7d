#include "relay/stageplan.h"

#include <algorithm>

#include "relay/stageorder.h"

namespace citronpick::relay
{

StagePlan::StagePlan(const std::vector<StageRule> &stages, const std::vector<uint32_t> &pieceCounts)
    : m_order(stageOrder(stages))
{
    m_stages.resize(stages.size());
    for (size_t i = 0; i < stages.size(); ++i) {
        m_stages[i].after = stages[i].after;
        m_stages[i].pieceCount = i < pieceCounts.size() ? pieceCounts[i] : 1;
        for (const uint32_t before : stages[i].after) {
            m_stages[before].hasSuccessor = true;
        }
    }
    for (Stage &stage : m_stages) {
        if (stage.pieceCount == 0) {
            stage.phase = Phase::Done;
        }
    }
}

bool StagePlan::isDone() const
{
    return std::all_of(m_stages.begin(), m_stages.end(),
                       [](const Stage &stage) { return stage.phase == Phase::Done; });
}

// A skipped stage is replaced by the stages before it. One of these may precede the same stage
// directly as well, or through another skipped stage; its results are still used once.
void StagePlan::collectSources(uint32_t stage, std::vector<bool> &isVisited,
                               std::vector<uint32_t> &sources) const
{
    if (isVisited[stage]) {
        return;
    }
    isVisited[stage] = true;
    if (m_stages[stage].pieceCount != 0) {
        sources.push_back(stage);
        return;
    }
    for (const uint32_t before : m_stages[stage].after) {
        collectSources(before, isVisited, sources);
    }
}

std::vector<uint32_t> StagePlan::sourcesOf(const std::vector<uint32_t> &stages) const
{
    std::vector<bool> isVisited(m_stages.size());
    std::vector<uint32_t> sources;
    for (const uint32_t stage : stages) {
        collectSources(stage, isVisited, sources);
    }
    return sources;
}

std::vector<ResultHandle> StagePlan::resultsOf(const std::vector<uint32_t> &sources) const
{
    std::vector<ResultHandle> results;
    for (const uint32_t source : sources) {
        const std::vector<ResultHandle> &handles = m_stages[source].handles;
        results.insert(results.end(), handles.begin(), handles.end());
    }
    return results;
}

bool StagePlan::areInputsReady(uint32_t stage) const
{
    const std::vector<uint32_t> sources = sourcesOf(m_stages[stage].after);
    return std::all_of(sources.begin(), sources.end(),
                       [this](uint32_t source) { return m_stages[source].phase == Phase::Done; });
}

// A stage without successors is deferred until all stages with successors are done. If it ran
// at once, its results would occupy storage during all that time; run together with the last stages
// of the chain, it does not delay the request.
bool StagePlan::isDeferred(const Stage &stage) const
{
    return !stage.hasSuccessor
           && std::any_of(m_stages.begin(), m_stages.end(), [](const Stage &other) {
                  return other.hasSuccessor && other.phase != Phase::Done;
              });
}

std::vector<uint32_t> StagePlan::takeReady()
{
    std::vector<uint32_t> ready;
    for (uint32_t i = 0; i < m_stages.size(); ++i) {
        const bool canStart = m_stages[i].phase == Phase::Waiting && areInputsReady(i);
        if (canStart && !isDeferred(m_stages[i])) {
            ready.push_back(i);
        }
    }
    for (const uint32_t stage : ready) {
        m_stages[stage].phase = Phase::Started;
    }
    return ready;
}

std::vector<ResultHandle> StagePlan::inputsOf(uint32_t stage) const
{
    return resultsOf(sourcesOf(m_stages[stage].after));
}

bool StagePlan::isOnlyUserOfInputs(uint32_t stage) const
{
    const std::vector<uint32_t> &after = m_stages[stage].after;
    return std::all_of(after.begin(), after.end(), [this, stage](uint32_t before) {
        // Other successors of a skipped stage may use the same inputs.
        if (m_stages[before].pieceCount == 0) {
            return false;
        }
        for (uint32_t i = 0; i < m_stages.size(); ++i) {
            const std::vector<uint32_t> &others = m_stages[i].after;
            if (i != stage && std::find(others.begin(), others.end(), before) != others.end()) {
                return false;
            }
        }
        return true;
    });
}

model::TimePoint StagePlan::inputsExpiry(uint32_t stage) const
{
    model::TimePoint until = model::TimePoint::max();
    for (const uint32_t source : sourcesOf(m_stages[stage].after)) {
        until = std::min(until, m_stages[source].expiresAt);
    }
    return until;
}

model::ZoneId StagePlan::inputsZone(uint32_t stage) const
{
    const std::vector<uint32_t> sources = sourcesOf(m_stages[stage].after);
    return sources.empty() ? model::ZoneId() : m_stages[sources.back()].zone;
}

void StagePlan::complete(uint32_t stage, std::vector<ResultHandle> handles, model::TimePoint until,
                         model::ZoneId zone)
{
    m_stages[stage].zone = std::move(zone);
    m_stages[stage].expiresAt = until;
    m_stages[stage].phase = Phase::Done;
    m_stages[stage].handles = std::move(handles);
}

std::vector<ResultHandle> StagePlan::finalResults() const
{
    std::vector<uint32_t> last;
    for (uint32_t i = 0; i < m_stages.size(); ++i) {
        if (!m_stages[i].hasSuccessor) {
            last.push_back(i);
        }
    }
    return resultsOf(sourcesOf(last));
}

bool StagePlan::areSuccessorsDone(uint32_t stage) const
{
    return std::all_of(m_stages.begin(), m_stages.end(), [stage](const Stage &other) {
        const bool isSuccessor
            = std::find(other.after.begin(), other.after.end(), stage) != other.after.end();
        // The successors of a skipped stage use this stage's results themselves.
        return !isSuccessor || (other.phase == Phase::Done && other.pieceCount != 0);
    });
}

std::vector<ResultHandle> StagePlan::takeUnneeded()
{
    std::vector<ResultHandle> unneeded;
    for (uint32_t i = 0; i < m_stages.size(); ++i) {
        Stage &stage = m_stages[i];
        const bool isUnneeded = stage.hasSuccessor && !stage.isReleased
                                && stage.phase == Phase::Done && areSuccessorsDone(i);
        if (isUnneeded) {
            unneeded.insert(unneeded.end(), stage.handles.begin(), stage.handles.end());
            stage.isReleased = true;
        }
    }
    return unneeded;
}

std::vector<ResultHandle> StagePlan::takeAllResults()
{
    std::vector<ResultHandle> all;
    for (Stage &stage : m_stages) {
        if (!stage.isReleased) {
            all.insert(all.end(), stage.handles.begin(), stage.handles.end());
            stage.isReleased = true;
        }
    }
    return all;
}

bool StagePlan::areFinalResultsReleased() const
{
    return std::any_of(m_stages.begin(), m_stages.end(),
                       [](const Stage &stage) { return !stage.hasSuccessor && stage.isReleased; });
}

void StagePlan::restart()
{
    for (Stage &stage : m_stages) {
        stage.phase = stage.pieceCount == 0 ? Phase::Done : Phase::Waiting;
        stage.handles.clear();
        stage.expiresAt = model::TimePoint::max();
        stage.isReleased = false;
    }
}

} // namespace citronpick::relay
