#ifndef CITRONPICK_TESTS_SUPPORT_SCENARIO_H
#define CITRONPICK_TESTS_SUPPORT_SCENARIO_H

#include <stdexcept>
#include <string>
#include <vector>

namespace citronpick::testing
{

//! Syntax error in a scenario script; names the file, line and word.
class ScenarioError : public std::runtime_error
{
public:
    ScenarioError(const std::string &location, const std::string &word, const std::string &expected)
        : std::runtime_error(location + ": at '" + word + "': expected " + expected)
    {
    }
};

//! An expectation of a script and the value that was measured.
struct ExpectationResult {
    std::string location; //!< File name and line number.
    std::string expectation;
    std::string found;
    bool isMet = false;
};

//! Runs a script file in simulated time; docs/SCENARIOS.md describes the language.
std::vector<ExpectationResult> runScenario(const std::string &path);

//! Runs a script given as text. \a name is used in messages; included files are read from
//! \a folder.
std::vector<ExpectationResult> runScenarioText(const std::string &text, const std::string &name,
                                               const std::string &folder);

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_SCENARIO_H
