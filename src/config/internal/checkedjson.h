#ifndef CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H
#define CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/configerror.h"

namespace citronpick::config::internal
{

//! Parses text and holds it against a schema; faults are appended to the findings.
nlohmann::json readChecked(std::string_view text, const char *schemaText,
                           std::vector<Finding> &findings);

} // namespace citronpick::config::internal

#endif // CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H
