#include <catch2/catch.hpp>

#include "support/scenario.h"

using namespace citronpick::testing;

namespace
{

void checkScript(const std::string &name)
{
    for (const ExpectationResult &finding :
         runScenario(std::string(SCENARIO_FOLDER) + "/" + name)) {
        INFO(finding.location << ": " << finding.expectation << "; found " << finding.found);
        CHECK(finding.isMet);
    }
}

std::string errorOf(const std::string &text)
{
    try {
        runScenarioText(text, "test.scn", SCENARIO_FOLDER);
    } catch (const ScenarioError &error) {
        return error.what();
    }
    return "";
}

} // namespace

// One test case per script, so that the test runner names the script that fails.
#define SCENARIO_CASE(name) \
    TEST_CASE("Scenario " name) \
    { \
        checkScript(name); \
    }

SCENARIO_CASE("siam-ordinary.scn")
SCENARIO_CASE("siam-return.scn")
SCENARIO_CASE("siam-crest.scn")
SCENARIO_CASE("siam-order-faults.scn")
SCENARIO_CASE("siam-platform-outage.scn")
SCENARIO_CASE("frostline-ordinary.scn")
SCENARIO_CASE("frostline-long-work.scn")
SCENARIO_CASE("frostline-slow-neighbours.scn")
SCENARIO_CASE("frostline-stops.scn")
SCENARIO_CASE("frostline-crashing-request.scn")

TEST_CASE("A syntax error in a script names its line and word")
{
    CHECK(errorOf("seed x") == "test.scn:1: at 'x': expected a number");
    CHECK(errorOf("# fine\nfrobnicate").find("test.scn:2: at 'frobnicate'") == 0);
    CHECK(errorOf("include nothing.base").find("test.scn:1: at 'nothing.base'") == 0);
    const std::string pool = "pool p upstreams 2\nservice call p\n";
    CHECK(errorOf(pool + "at soon load call 1/s").find("test.scn:3: at 'soon'") == 0);
    CHECK(errorOf(pool + "at 1s load call 1").find("test.scn:3: at '1'") == 0);
    CHECK(errorOf(pool + "at 1s upstream q fail 1").find("test.scn:3: at 'q'") == 0);
    CHECK(errorOf(pool + "at 1s daemon 5 kill").find("test.scn:3: at '5'") == 0);
    CHECK(errorOf(pool + "at 1s load call 1/s for").find("end of line") != std::string::npos);
    CHECK(errorOf(pool + "run 1s more").find("test.scn:3: at 'more'") == 0);
    CHECK(errorOf(pool + "run 1s\nexpect label x p99 <= 1").find("at 'x'") != std::string::npos);
}

TEST_CASE("A failed expectation reports the measured value")
{
    const auto findings = runScenarioText("pool p upstreams 2\nservice call p\n"
                                          "at 0s load call 10/s for 2s\nrun 5s\n"
                                          "expect label call complete == 0\n",
                                          "test.scn", SCENARIO_FOLDER);
    REQUIRE(findings.size() == 1);
    CHECK_FALSE(findings.front().isMet);
    CHECK(findings.front().found == "100.000000");
}
