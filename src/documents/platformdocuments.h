#ifndef CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
#define CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H

#include <string_view>

#include <absl/status/statusor.h>

#include "config/revisionstore.h"
#include "core/events.h"

namespace citronpick::documents
{

//! What the platform's services answer, as JSON text. InvalidArgument for anything else.
absl::StatusOr<config::OfferedFile> parseConfigurationAnswer(std::string_view text);
absl::StatusOr<core::InstanceListRead> parseInstanceList(std::string_view text);

//! The same text as the configuration service answers; daemons hand files to each other in it.
std::string formatConfigurationAnswer(const config::OfferedFile &file);

} // namespace citronpick::documents

#endif // CITRONPICK_DOCUMENTS_PLATFORMDOCUMENTS_H
