#ifndef CITRONPICK_APPS_CITRONPICKCTL_TABLE_H
#define CITRONPICK_APPS_CITRONPICKCTL_TABLE_H

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronpick::ctl
{

//! Formats an array of objects as a text table with one column for each key.
std::string formatTable(const nlohmann::json &rows, const std::vector<std::string> &keys);

//! Formats an object as text, one line for each key and its value.
std::string formatFields(const nlohmann::json &object);

} // namespace citronpick::ctl

#endif // CITRONPICK_APPS_CITRONPICKCTL_TABLE_H
