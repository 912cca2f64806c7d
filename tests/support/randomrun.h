#ifndef CITRONPICK_TESTS_SUPPORT_RANDOMRUN_H
#define CITRONPICK_TESTS_SUPPORT_RANDOMRUN_H

#include <cstdint>
#include <string>
#include <vector>

namespace citronpick::testing
{

//! Result of a random run.
struct RandomRunReport {
    bool hasPassed = true;
    std::string failure; //!< Description of the failed check; empty when all have passed.
    std::vector<std::string> trace; //!< The injected faults with their times.
    size_t requests = 0;
    size_t complete = 0;
};

//! Simulates six daemons with random load and overlapping faults drawn from a seed, and checks the
//! promises to callers, operation keys and the recovery after all faults are removed. The invariant
//! checks of the core are enabled as well.
RandomRunReport runRandomly(uint64_t seed, int steps);

//! Command line that repeats a run.
std::string repeatCommand(uint64_t seed, int steps);

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_SUPPORT_RANDOMRUN_H
