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

TEST_CASE("A chain of stages runs one after the other and hands its results on")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 2, 3});
    CHECK(plan.takeReady() == Stages {0});
    CHECK(plan.takeReady().empty());
    plan.complete(0, {"a"}, never);
    CHECK(plan.takeReady() == Stages {1});
    CHECK(plan.inputsOf(1) == Handles {"a"});
    CHECK(plan.takeSpent().empty());
    plan.complete(1, {"b1", "b2"}, never);
    CHECK(plan.takeSpent() == Handles {"a"});
    CHECK(plan.takeReady() == Stages {2});
    CHECK(plan.inputsOf(2) == Handles {"b1", "b2"});
    plan.complete(2, {"c1", "c2", "c3"}, never);
    CHECK(plan.isDone());
    CHECK(plan.finalResults() == Handles {"c1", "c2", "c3"});
    CHECK(plan.takeSpent() == Handles {"b1", "b2"});
    CHECK(plan.takeAll() == Handles {"c1", "c2", "c3"});
    CHECK(plan.takeAll().empty());
}

TEST_CASE(
    "Load pattern: a stage that nothing follows runs beside the end of the chain, not before it")
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

TEST_CASE("A stage of zero pieces is left out and hands on what is before it")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(plan.takeReady() == Stages {0});
    CHECK(plan.takeReady().empty());
    plan.complete(0, {"a"}, never);
    CHECK(plan.takeReady() == Stages {2});
    CHECK(plan.inputsOf(2) == Handles {"a"});
    CHECK(plan.takeSpent().empty());
    plan.complete(2, {"c"}, never);
    CHECK(plan.finalResults() == Handles {"c"});
}

TEST_CASE("A plan whose stages are all left out is done")
{
    StagePlan plan({stage({}), stage({0})}, {0, 0});
    CHECK(plan.isDone());
    CHECK(plan.finalResults().empty());
    CHECK(StagePlan().isDone());
}

TEST_CASE("Inputs expire with the first of them")
{
    const model::TimePoint soon = model::TimePoint(model::seconds(1));
    const model::TimePoint later = model::TimePoint(model::seconds(2));
    StagePlan plan({stage({}), stage({}), stage({0, 1})}, {});
    CHECK(plan.takeReady() == Stages {0, 1});
    plan.complete(0, {"a"}, later);
    plan.complete(1, {"b"}, soon);
    CHECK(plan.inputsUntil(2) == soon);
}

TEST_CASE("A restarted plan uses nothing that was made before")
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

TEST_CASE("A stage is the last user of its inputs unless another stage takes them too")
{
    const StagePlan chain({stage({}), stage({0})}, {1, 1});
    CHECK(chain.isLastUser(1));
    const StagePlan fork({stage({}), stage({0}), stage({0})}, {1, 1, 1});
    CHECK(!fork.isLastUser(1));
    CHECK(!fork.isLastUser(2));
    const StagePlan gap({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(!gap.isLastUser(2));
}

TEST_CASE("A stage's inputs lie where they were made, past stages left out")
{
    StagePlan plan({stage({}), stage({0}), stage({1})}, {1, 0, 1});
    CHECK(plan.inputsZone(0).isEmpty());
    plan.takeReady();
    plan.complete(0, {"a"}, never, model::ZoneId("z2"));
    CHECK(plan.inputsZone(2) == model::ZoneId("z2"));
}
