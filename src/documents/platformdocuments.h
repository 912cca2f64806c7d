#ifndef CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
#define CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H

#include <string_view>

#include <absl/status/statusor.h>

#include "config/revisionstore.h"
#include "core/events.h"
#include "documents/texthistory.h"

namespace citronpick::documents
{

//! Parse the JSON answers of the platform's configuration and instance list services. Both return
//! InvalidArgument for malformed text.
absl::StatusOr<config::ConfigurationFile> parseConfigurationAnswer(std::string_view text);
absl::StatusOr<core::InstanceListRead> parseInstanceList(std::string_view text);

//! Formats a file as the configuration service does.
std::string formatConfigurationAnswer(const config::ConfigurationFile &file);

//! The format in which daemons send configuration files to each other: that of the service, or with
//! the difference from a text that the other daemon has (\a known) if the file is large.
std::string formatConfigurationAnswer(const config::ConfigurationFile &file, TextHistory &texts,
                                      const KnownTexts &known);
absl::StatusOr<config::ConfigurationFile> parseConfigurationAnswer(std::string_view text,
                                                                   const TextHistory &texts);

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
