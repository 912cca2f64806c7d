#ifndef CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
#define CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H

#include <string_view>

#include <absl/status/statusor.h>

#include "config/revisionstore.h"
#include "core/events.h"

namespace citronpick::documents
{

//! Parse the JSON answers of the platform's configuration and instance list services. Both return
//! InvalidArgument for malformed text.
absl::StatusOr<config::ConfigurationFile> parseConfigurationAnswer(std::string_view text);
absl::StatusOr<core::InstanceListRead> parseInstanceList(std::string_view text);

//! Formats a file as the configuration service does; daemons also use this format to send
//! configuration files to each other.
std::string formatConfigurationAnswer(const config::ConfigurationFile &file);

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
