#ifndef CITRONPICK_APPS_CITRONPICKCTL_TABLE_H
#define CITRONPICK_APPS_CITRONPICKCTL_TABLE_H

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronpick::ctl
{

//! Rows of an array of objects as a table with one column for each key, for people.
std::string formatTable(const nlohmann::json &rows, const std::vector<std::string> &keys);

//! An object as lines of key and value, for people.
std::string formatFields(const nlohmann::json &object);

} // namespace citronpick::ctl

#endif // CITRONPICK_APPS_CITRONPICKCTL_TABLE_H
