#ifndef CITRONPICK_SOAK_DEADLYPARTPROMISE_H
#define CITRONPICK_SOAK_DEADLYPARTPROMISE_H

#include <string>
#include <vector>

#include "platform/standin/ledger.h"

namespace citronpick::soak
{

//! Requests with a prompt part that crashes upstreams, on one route.
struct DeadlyPart {
    std::string route;
    model::TimePoint from;
    model::TimePoint until;

    friend bool operator==(const DeadlyPart &, const DeadlyPart &) = default;
};

/*!
 * Checks the promises about a part that crashes upstreams: soon after the fifth crash almost no
 * request with it reaches an upstream, and sound requests of its route go on being served.
 *
 * Returns a message for each broken promise.
 */
std::vector<std::string> checkDeadlyPart(const DeadlyPart &part,
                                         const platform::standin::Ledger &ledger,
                                         model::TimePoint trafficStart);

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_DEADLYPARTPROMISE_H
