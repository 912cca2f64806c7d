#include <algorithm>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include "relay/stageplan.h"

using namespace citronpick;
using namespace citronpick::relay;

namespace
{

//! A route's stages and the pieces that a request has of each.
struct DrawnPlan {
    std::vector<StageRule> stages;
    std::vector<uint32_t> counts;
};

// Stages are numbered in any order: "after" may name later numbers, but never a cycle.
DrawnPlan drawPlan()
{
    constexpr uint32_t maxStages = 9;
    const auto size = *rc::gen::inRange<uint32_t>(1, maxStages);
    std::vector<uint32_t> order(size);
    for (uint32_t i = 0; i < size; ++i) {
        order[i] = i;
    }
    for (uint32_t i = size; i > 1; --i) {
        std::swap(order[i - 1], order[*rc::gen::inRange<uint32_t>(0, i)]);
    }
    DrawnPlan plan {.stages = std::vector<StageRule>(size), .counts = {}};
    for (uint32_t position = 0; position < size; ++position) {
        StageRule &stage = plan.stages[order[position]];
        stage.pool = model::PoolId("pool");
        for (uint32_t before = 0; before < position; ++before) {
            if (*rc::gen::inRange(0, 2) == 0) {
                stage.after.push_back(order[before]);
            }
        }
        plan.counts.push_back(0);
    }
    for (uint32_t &count : plan.counts) {
        count = *rc::gen::element(0U, 0U, 1U, 3U);
    }
    return plan;
}

std::vector<ResultHandle> handlesOf(const DrawnPlan &plan, uint32_t stage)
{
    std::vector<ResultHandle> handles;
    for (uint32_t piece = 0; piece < plan.counts[stage]; ++piece) {
        handles.push_back(absl::StrCat("s", stage, "/", piece));
    }
    return handles;
}

// The model: repeats a replacement until no skipped stage is left.
std::set<uint32_t> usedStages(const DrawnPlan &plan, std::set<uint32_t> stages)
{
    for (;;) {
        const auto skipped = std::find_if(stages.begin(), stages.end(),
                                          [&](uint32_t stage) { return plan.counts[stage] == 0; });
        if (skipped == stages.end()) {
            return stages;
        }
        const std::vector<uint32_t> &after = plan.stages[*skipped].after;
        stages.erase(skipped);
        stages.insert(after.begin(), after.end());
    }
}

std::set<uint32_t> predecessors(const DrawnPlan &plan, uint32_t stage)
{
    const std::vector<uint32_t> &after = plan.stages[stage].after;
    return usedStages(plan, {after.begin(), after.end()});
}

std::vector<ResultHandle> expectedResults(const DrawnPlan &plan, const std::set<uint32_t> &stages)
{
    std::vector<ResultHandle> results;
    for (const uint32_t stage : stages) {
        const std::vector<ResultHandle> handles = handlesOf(plan, stage);
        results.insert(results.end(), handles.begin(), handles.end());
    }
    return results;
}

std::vector<ResultHandle> sorted(std::vector<ResultHandle> handles)
{
    std::sort(handles.begin(), handles.end());
    return handles;
}

std::set<uint32_t> lastStages(const DrawnPlan &plan)
{
    std::set<uint32_t> last;
    for (uint32_t i = 0; i < plan.stages.size(); ++i) {
        last.insert(i);
    }
    for (const StageRule &stage : plan.stages) {
        for (const uint32_t before : stage.after) {
            last.erase(before);
        }
    }
    return last;
}

model::TimePoint expiryOf(uint32_t stage)
{
    return model::TimePoint(model::seconds(100 - stage));
}

model::ZoneId zoneOf(uint32_t stage)
{
    return model::ZoneId(absl::StrCat("z", stage));
}

model::TimePoint expectedExpiry(const std::set<uint32_t> &stages)
{
    model::TimePoint earliest = model::TimePoint::max();
    for (const uint32_t stage : stages) {
        earliest = std::min(earliest, expiryOf(stage));
    }
    return earliest;
}

bool isZoneOfOne(const model::ZoneId &zone, const std::set<uint32_t> &stages)
{
    return stages.empty() ? zone.isEmpty()
                          : std::any_of(stages.begin(), stages.end(),
                                        [&](uint32_t stage) { return zone == zoneOf(stage); });
}

//! Whether another stage, or the request itself, uses one of the inputs of \a stage.
bool areInputsShared(const DrawnPlan &drawn, uint32_t stage)
{
    const std::set<uint32_t> own = predecessors(drawn, stage);
    const auto uses = [&](const std::set<uint32_t> &stages) {
        return std::any_of(own.begin(), own.end(),
                           [&](uint32_t input) { return stages.contains(input); });
    };
    for (uint32_t other = 0; other < drawn.stages.size(); ++other) {
        if (other != stage && drawn.counts[other] > 0 && uses(predecessors(drawn, other))) {
            return true;
        }
    }
    return uses(usedStages(drawn, lastStages(drawn)));
}

//! Runs all stages, in drawn order where several can run, and checks what each is given and what
//! is released.
void runPlan(const DrawnPlan &drawn)
{
    StagePlan plan(drawn.stages, drawn.counts);
    std::set<uint32_t> done;
    std::vector<uint32_t> started;
    std::set<ResultHandle> released;
    while (!plan.isDone()) {
        for (const uint32_t stage : plan.takeReady()) {
            started.push_back(stage);
        }
        RC_ASSERT(!started.empty());
        const auto at = *rc::gen::inRange<size_t>(0, started.size());
        const uint32_t stage = started[at];
        started.erase(started.begin() + static_cast<ptrdiff_t>(at));
        const std::set<uint32_t> before = predecessors(drawn, stage);
        RC_ASSERT(std::includes(done.begin(), done.end(), before.begin(), before.end()));
        RC_ASSERT(!plan.isOnlyUserOfInputs(stage) || !areInputsShared(drawn, stage));
        const std::vector<ResultHandle> inputs = plan.inputsOf(stage);
        RC_ASSERT(sorted(inputs) == sorted(expectedResults(drawn, before)));
        for (const ResultHandle &input : inputs) {
            RC_ASSERT(!released.contains(input));
        }
        RC_ASSERT(plan.inputsExpiry(stage) == expectedExpiry(before));
        RC_ASSERT(isZoneOfOne(plan.inputsZone(stage), before));
        plan.complete(stage, handlesOf(drawn, stage), expiryOf(stage), zoneOf(stage));
        done.insert(stage);
        for (const ResultHandle &handle : plan.takeUnneeded()) {
            RC_ASSERT(released.insert(handle).second);
        }
    }
    const std::vector<ResultHandle> finals = plan.finalResults();
    RC_ASSERT(sorted(finals)
              == sorted(expectedResults(drawn, usedStages(drawn, lastStages(drawn)))));
    for (const ResultHandle &handle : finals) {
        RC_ASSERT(!released.contains(handle));
    }
    for (const ResultHandle &handle : plan.takeAllResults()) {
        RC_ASSERT(released.insert(handle).second);
    }
    size_t made = 0;
    for (const uint32_t count : drawn.counts) {
        made += count;
    }
    RC_ASSERT(released.size() == made);
}

} // namespace

// Guards against inputs that are missing, given twice or released too early (MIXED), in routes of
// any order with any stages skipped.
TEST_CASE("The plan of stages agrees with a simple model on drawn routes")
{
    rc::detail::TestParams params;
    params.seed = 58;
    params.maxSuccess = 2000;
    const auto result = rc::detail::checkTestable([] { runPlan(drawPlan()); },
                                                  rc::detail::TestMetadata {}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}
