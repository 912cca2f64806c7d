#ifndef CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H
#define CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronpick::ctl
{

//! Merges the event pages of several daemons into one list ordered by wall time. Events of one
//! daemon keep their order even if its clock was set back.
nlohmann::json mergeTimelines(const std::vector<nlohmann::json> &pages);

//! Renders merged events as an SVG image with one lane for each daemon and time from left to right.
std::string formatTimelineSvg(const nlohmann::json &merged);

} // namespace citronpick::ctl

#endif // CITRONPICK_APPS_CITRONPICKCTL_TIMELINEMERGE_H
