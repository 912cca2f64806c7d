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

//! Kinds of errors in settings and pipeline files.
enum class ConfigError {
    NotJson,
    SchemaViolation,
    DuplicateName,
    UnknownReference,
    Contradiction,
};

std::string_view toString(ConfigError error);

//! One error in a file: its place as a JSON pointer (RFC 6901) and what was expected there.
struct Finding {
    ConfigError error = ConfigError::SchemaViolation;
    std::string pointer;
    std::string expected;

    friend auto operator<=>(const Finding &, const Finding &) = default;
};

//! InvalidArgument with one line per finding, or OK without findings. The kind of the first finding
//! is attached as a status payload.
absl::Status toStatus(const std::vector<Finding> &findings);

//! The kind that toStatus() attached; empty for any other status.
std::optional<ConfigError> configErrorOf(const absl::Status &status);

} // namespace citronpick::config

#endif // CITRONPICK_CONFIG_CONFIGERROR_H
