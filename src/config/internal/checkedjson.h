#ifndef CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H
#define CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/configerror.h"

namespace citronpick::config::internal
{

//! Parses JSON text and validates it against a JSON Schema; errors are appended to \a findings.
nlohmann::json parseAndValidate(std::string_view text, const char *schemaText,
                                std::vector<Finding> &findings);

} // namespace citronpick::config::internal

#endif // CITRONPICK_CONFIG_INTERNAL_CHECKEDJSON_H
