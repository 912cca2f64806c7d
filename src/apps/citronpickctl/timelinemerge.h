#ifndef CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H
#define CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronpick::ctl
{

//! Event pages of several daemons as one list in order of wall time; events of one daemon keep
//! their own order whatever its clock did.
nlohmann::json mergeTimelines(const std::vector<nlohmann::json> &pages);

//! The merged list as a picture: one lane for each daemon, time from left to right.
std::string formatTimelineSvg(const nlohmann::json &merged);

} // namespace citronpick::ctl

#endif // CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H
