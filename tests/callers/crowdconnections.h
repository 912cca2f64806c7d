#ifndef CITRONPICK_TESTS_CALLERS_CROWDCONNECTIONS_H
#define CITRONPICK_TESTS_CALLERS_CROWDCONNECTIONS_H

#include <functional>
#include <string>
#include <vector>

#include "net/tests/rawpeer.h"

namespace citronpick::testing
{

using net::testing::RawPeer;

//! Iterations of a millisecond without a byte after which a daemon is taken to have stopped
//! reading.
constexpr int idleIterations = 300;

//! Opens \a callers connections to each of \a ports and adds them to \a connections. Each sends one
//! of \a texts in turn, as far as the daemon takes it. Calls \a runOnce in each iteration.
void sendFromEach(std::vector<RawPeer> &connections, const std::vector<uint16_t> &ports,
                  size_t callers, const std::vector<std::string> &texts,
                  const std::function<void()> &runOnce);

//! Sends \a request to \a port, again after each refusal, until it is answered with status 200.
//! Returns false after \a maxIterations of a millisecond; no check depends on their number
//! otherwise.
bool isAnswered(const std::string &request, uint16_t port, int maxIterations,
                const std::function<void()> &runOnce);

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_CALLERS_CROWDCONNECTIONS_H
