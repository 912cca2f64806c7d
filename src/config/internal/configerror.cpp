#include "config/configerror.h"

#include <array>

#include <absl/strings/cord.h>

#include "model/abslview.h"

namespace citronpick::config
{

namespace
{

constexpr absl::string_view payloadUrl = "citronpick/config-error";

constexpr std::array allErrors = {
    ConfigError::NotJson,          ConfigError::SchemaViolation, ConfigError::DuplicateName,
    ConfigError::UnknownReference, ConfigError::Contradiction,
};

} // namespace

std::string_view toString(ConfigError error)
{
    switch (error) {
    case ConfigError::NotJson:
        return "not-json";
    case ConfigError::SchemaViolation:
        return "schema-violation";
    case ConfigError::DuplicateName:
        return "duplicate-name";
    case ConfigError::UnknownReference:
        return "unknown-reference";
    case ConfigError::Contradiction:
        return "contradiction";
    }
    return "schema-violation";
}

absl::Status toStatus(const std::vector<Finding> &findings)
{
    if (findings.empty()) {
        return absl::OkStatus();
    }
    std::string message;
    for (const Finding &finding : findings) {
        if (!message.empty()) {
            message += '\n';
        }
        message += finding.pointer.empty() ? "/" : finding.pointer;
        message += ": ";
        message += toString(finding.error);
        message += ": ";
        message += finding.expected;
    }
    absl::Status status = absl::InvalidArgumentError(message);
    status.SetPayload(payloadUrl, absl::Cord(model::toAbsl(toString(findings.front().error))));
    return status;
}

std::optional<ConfigError> configErrorOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(payloadUrl);
    if (!payload) {
        return std::nullopt;
    }
    for (const ConfigError error : allErrors) {
        if (*payload == model::toAbsl(toString(error))) {
            return error;
        }
    }
    return std::nullopt;
}

} // namespace citronpick::config
