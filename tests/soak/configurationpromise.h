#ifndef CITRONPICK_SOAK_CONFIGURATIONPROMISE_H
#define CITRONPICK_SOAK_CONFIGURATIONPROMISE_H

#include <cstdint>
#include <optional>
#include <string>

namespace citronpick::soak
{

//! What is broken if the daemon with this log file does not end with the configuration
//! \a version in force, or took back a newer one in one of its lives.
std::optional<std::string> checkConfiguration(const std::string &logFile, uint64_t version);

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_CONFIGURATIONPROMISE_H
