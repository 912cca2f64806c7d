#ifndef CITRONPICK_SOAK_STOPPROMISE_H
#define CITRONPICK_SOAK_STOPPROMISE_H

#include <optional>
#include <string>

#include "platform/standin/ledger.h"
#include "soak/daemonprocess.h"

namespace citronpick::soak
{

/*!
 * Checks a call that was lost at a daemon against the promise that a planned stop ends with an
 * answer or a refusal for each request that the daemon has read whole.
 *
 * Returns a message if the promise was broken in this life of the daemon.
 */
std::optional<std::string> checkLostCall(const platform::standin::LostCall &call,
                                         const platform::standin::UpstreamRecord &upstreams,
                                         const ProcessLife &life);

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_STOPPROMISE_H
