#ifndef CITRONPICK_CONFIG_CONFIGERROR_H
#define CITRONPICK_CONFIG_CONFIGERROR_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

namespace citronpick::config
{

//! What can be wrong with a settings or pipeline file.
enum class ConfigError {
    NotJson,
    SchemaViolation,
    DuplicateName,
    UnknownReference,
    Contradiction,
};

std::string_view toString(ConfigError error);

//! One fault of a file: where it is (JSON pointer, RFC 6901) and what was expected there.
struct Finding {
    ConfigError error = ConfigError::SchemaViolation;
    std::string pointer;
    std::string expected;

    friend auto operator<=>(const Finding &, const Finding &) = default;
};

//! InvalidArgument with one line a finding; the first finding's code travels as payload.
absl::Status toStatus(const std::vector<Finding> &findings);

//! The code that toStatus() attached; empty for any other status.
std::optional<ConfigError> configErrorOf(const absl::Status &status);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_CONFIGERROR_H
