#include "documents/platformdocuments.h"

#include <nlohmann/json.hpp>

namespace citronpick::documents
{

namespace
{

using Json = nlohmann::json;

absl::Status malformed(const char *message)
{
    return absl::InvalidArgumentError(message);
}

bool isLeaving(const Json &entry)
{
    return entry.value("state", "live") == "leaving";
}

} // namespace

absl::StatusOr<config::ConfigurationFile> parseConfigurationAnswer(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    const bool isValid = document.is_object() && document.contains("revision")
                         && document["revision"].is_number_unsigned() && document.contains("text")
                         && document["text"].is_string();
    if (!isValid) {
        return malformed("configuration answer has no valid 'revision' or 'text' field");
    }
    return config::ConfigurationFile {.revision = model::Revision(document["revision"]),
                                      .text = document["text"]};
}

std::string formatConfigurationAnswer(const config::ConfigurationFile &file)
{
    return Json {{"revision", file.revision.value()}, {"text", file.text}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

std::string formatConfigurationAnswer(const config::ConfigurationFile &file, TextHistory &texts,
                                      const KnownTexts &known)
{
    if (!known || !texts.isLarge(file.text)) {
        return formatConfigurationAnswer(file);
    }
    return Json {{"revision", file.revision.value()},
                 {"difference", toJson(texts.difference(file.text, *known))}}
        .dump();
}

absl::StatusOr<config::ConfigurationFile> parseConfigurationAnswer(std::string_view text,
                                                                   const TextHistory &texts)
{
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("difference")) {
        return parseConfigurationAnswer(text);
    }
    try {
        auto restored = texts.restore(toTextDifference(document["difference"]));
        if (!restored.ok()) {
            return restored.status();
        }
        return config::ConfigurationFile {
            .revision = model::Revision(document.at("revision").get<uint64_t>()),
            .text = *std::move(restored)};
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

absl::StatusOr<core::InstanceListRead> parseInstanceList(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return malformed("instance list is not a JSON object");
    }
    core::InstanceListRead list;
    try {
        for (const Json &entry : document.value("upstreams", Json::array())) {
            list.upstreams.push_back({.id = model::UpstreamId(entry.at("name").get<std::string>()),
                                      .incarnation = entry.value("incarnation", uint64_t {1}),
                                      .isLeaving = isLeaving(entry)});
        }
        for (const Json &entry : document.value("daemons", Json::array())) {
            list.daemons.push_back({.id = model::DaemonId(entry.at("name").get<std::string>()),
                                    .fleet = {.host = entry.at("host"), .port = entry.at("port")},
                                    .isLeaving = isLeaving(entry)});
        }
    } catch (const Json::exception &) {
        return malformed("instance list has a missing or invalid field");
    }
    return list;
}

} // namespace citronpick::documents
