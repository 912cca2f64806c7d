#include <catch2/catch.hpp>

#include "relay/stageplan.h"

using namespace citronpick;
using namespace citronpick::relay;

namespace
{

constexpr model::TimePoint never = model::TimePoint::max();

StageRule stage(std::vector<uint32_t> after)
{
    return {.pool = model::PoolId("pool"), .after = std::move(after)};
}

using Handles = std::vector<ResultHandle>;
using Stages = std::vector<uint32_t>;

} // namespace

TEST_CASE("The stages of a chain run in order and use the results of the stage before")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 2, 3});
    CHECK(plan.takeReady() == Stages {0});
    CHECK(plan.takeReady().empty());
    plan.complete(0, {"a"}, never);
    CHECK(plan.takeReady() == Stages {1});
    CHECK(plan.inputsOf(1) == Handles {"a"});
    CHECK(plan.takeUnneeded().empty());
    plan.complete(1, {"b1", "b2"}, never);
    CHECK(plan.takeUnneeded() == Handles {"a"});
    CHECK(plan.takeReady() == Stages {2});
    CHECK(plan.inputsOf(2) == Handles {"b1", "b2"});
    plan.complete(2, {"c1", "c2", "c3"}, never);
    CHECK(plan.isDone());
    CHECK(plan.finalResults() == Handles {"c1", "c2", "c3"});
    CHECK(plan.takeUnneeded() == Handles {"b1", "b2"});
    CHECK(plan.takeAllResults() == Handles {"c1", "c2", "c3"});
    CHECK(plan.takeAllResults().empty());
}

TEST_CASE("Load pattern: a stage without successors runs together with the last stage of the chain")
{
    StagePlan plan({stage({}), stage({}), stage({1})}, {2, 1, 1});
    CHECK(plan.takeReady() == Stages {1});
    plan.complete(1, {"b"}, never);
    CHECK(plan.takeReady() == Stages {0, 2});
    plan.complete(2, {"c"}, never);
    CHECK_FALSE(plan.isDone());
    plan.complete(0, {"a1", "a2"}, never);
    CHECK(plan.finalResults() == Handles {"a1", "a2", "c"});
}

TEST_CASE("A stage with zero pieces is skipped and its successor uses its inputs")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(plan.takeReady() == Stages {0});
    CHECK(plan.takeReady().empty());
    plan.complete(0, {"a"}, never);
    CHECK(plan.takeReady() == Stages {2});
    CHECK(plan.inputsOf(2) == Handles {"a"});
    CHECK(plan.takeUnneeded().empty());
    plan.complete(2, {"c"}, never);
    CHECK(plan.finalResults() == Handles {"c"});
}

// Guards against pieces that are given a result twice (MIXED): a stage precedes another one both
// directly and through a skipped stage, or through two of them.
TEST_CASE("A stage that is reached over several skipped stages gives its results once")
{
    StagePlan direct({stage({}), stage({0}), stage({0, 1})}, {2, 0, 1});
    CHECK(direct.takeReady() == Stages {0});
    direct.complete(0, {"a1", "a2"}, never);
    CHECK(direct.takeReady() == Stages {2});
    CHECK(direct.inputsOf(2) == Handles {"a1", "a2"});

    StagePlan diamond({stage({}), stage({0}), stage({0}), stage({1, 2})}, {1, 0, 0, 1});
    CHECK(diamond.takeReady() == Stages {0});
    diamond.complete(0, {"a"}, never);
    CHECK(diamond.takeReady() == Stages {3});
    CHECK(diamond.inputsOf(3) == Handles {"a"});

    StagePlan repeated({stage({}), stage({0, 0})}, {1, 1});
    repeated.takeReady();
    repeated.complete(0, {"a"}, never);
    CHECK(repeated.inputsOf(1) == Handles {"a"});
}

// Guards against requests that are given a result twice (MIXED).
TEST_CASE("Skipped last stages after the same stage add its results to the request once")
{
    StagePlan plan({stage({}), stage({0}), stage({0})}, {2, 0, 0});
    plan.takeReady();
    plan.complete(0, {"a1", "a2"}, never);
    CHECK(plan.isDone());
    CHECK(plan.finalResults() == Handles {"a1", "a2"});
    CHECK(plan.takeAllResults() == Handles {"a1", "a2"});
}

// Guards against stages that run far from their inputs.
TEST_CASE("A skipped stage without inputs leaves the zone of the other inputs known")
{
    StagePlan plan({stage({}), stage({}), stage({0, 1})}, {1, 0, 1});
    plan.takeReady();
    plan.complete(0, {"a"}, never, model::ZoneId("z2"));
    CHECK(plan.inputsZone(2) == model::ZoneId("z2"));
}

// Guards against a time that doubles with each skipped stage.
TEST_CASE("Many skipped stages that all follow each other are handled at once")
{
    constexpr uint32_t count = 64;
    std::vector<StageRule> stages;
    std::vector<uint32_t> counts;
    Stages before;
    for (uint32_t i = 0; i < count; ++i) {
        stages.push_back(stage(before));
        counts.push_back(i == 0 || i + 1 == count ? 1 : 0);
        before.push_back(i);
    }
    StagePlan plan(stages, counts);
    CHECK(plan.takeReady() == Stages {0});
    plan.complete(0, {"a"}, never);
    CHECK(plan.takeReady() == Stages {count - 1});
    CHECK(plan.inputsOf(count - 1) == Handles {"a"});
}

TEST_CASE("A plan whose stages are all skipped is done")
{
    StagePlan plan({stage({}), stage({0})}, {0, 0});
    CHECK(plan.isDone());
    CHECK(plan.finalResults().empty());
    CHECK(StagePlan().isDone());
}

TEST_CASE("The inputs of a stage expire with the first of them")
{
    const model::TimePoint soon = model::TimePoint(model::seconds(1));
    const model::TimePoint later = model::TimePoint(model::seconds(2));
    StagePlan plan({stage({}), stage({}), stage({0, 1})}, {});
    CHECK(plan.takeReady() == Stages {0, 1});
    plan.complete(0, {"a"}, later);
    plan.complete(1, {"b"}, soon);
    CHECK(plan.inputsExpiry(2) == soon);
}

TEST_CASE("A restarted plan uses no earlier results")
{
    StagePlan plan({stage({}), stage({0})}, {});
    plan.takeReady();
    plan.complete(0, {"a"}, never);
    plan.takeReady();
    plan.restart();
    CHECK(plan.takeReady() == Stages {0});
    plan.complete(0, {"new"}, never);
    plan.takeReady();
    CHECK(plan.inputsOf(1) == Handles {"new"});
}

TEST_CASE("A stage is the only user of its inputs unless another stage uses them too")
{
    const StagePlan chain({stage({}), stage({0})}, {1, 1});
    CHECK(chain.isOnlyUserOfInputs(1));
    const StagePlan fork({stage({}), stage({0}), stage({0})}, {1, 1, 1});
    CHECK(!fork.isOnlyUserOfInputs(1));
    CHECK(!fork.isOnlyUserOfInputs(2));
    const StagePlan gap({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(!gap.isOnlyUserOfInputs(2));
}

TEST_CASE("The zone of a stage's inputs is found through skipped stages")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(plan.inputsZone(0).isEmpty());
    plan.takeReady();
    plan.complete(0, {"a"}, never, model::ZoneId("z2"));
    CHECK(plan.inputsZone(2) == model::ZoneId("z2"));
}
