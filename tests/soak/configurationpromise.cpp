#include "soak/configurationpromise.h"

#include <fstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace citronpick::soak
{

namespace
{

//! The version that a line of the log says to be in force.
std::optional<uint64_t> acceptedVersion(const std::string &line)
{
    constexpr std::string_view mark = "subject=revision-";
    const size_t at = line.find(mark);
    uint64_t version = 0;
    if (at == std::string::npos || line.find(" configuration-accepted ") == std::string::npos) {
        return std::nullopt;
    }
    const size_t begin = at + mark.size();
    const std::string digits = line.substr(begin, line.find(' ', begin) - begin);
    return absl::SimpleAtoi(digits, &version) ? std::optional(version) : std::nullopt;
}

} // namespace

std::optional<std::string> checkConfiguration(const std::string &logFile, uint64_t version)
{
    std::ifstream log(logFile);
    uint64_t inForce = 0;
    for (std::string line; std::getline(log, line);) {
        if (line.find(" daemon-started ") != std::string::npos) {
            inForce = 0;
        }
        const std::optional<uint64_t> accepted = acceptedVersion(line);
        if (accepted && *accepted <= inForce) {
            return absl::StrCat("took configuration ", *accepted, " after ", inForce);
        }
        inForce = accepted.value_or(inForce);
    }
    if (inForce != version) {
        return absl::StrCat("has configuration ", inForce, " in force, not ", version);
    }
    return std::nullopt;
}

} // namespace citronpick::soak
