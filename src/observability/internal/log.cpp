#include "observability/log.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include "model/abslview.h"

INITIALIZE_EASYLOGGINGPP

namespace citronpick::observability
{

namespace
{

EventLevel lowestLevel = EventLevel::Info;

EventLevel levelNamed(std::string_view name)
{
    for (const EventLevel level : {EventLevel::Debug, EventLevel::Warning, EventLevel::Error}) {
        if (toString(level) == name) {
            return level;
        }
    }
    return EventLevel::Info;
}

// A value from outside must not be able to begin a line of its own.
std::string oneLine(std::string text)
{
    std::replace(text.begin(), text.end(), '\n', ';');
    std::replace(text.begin(), text.end(), '\r', ';');
    return text;
}

} // namespace

void openLog(std::string_view level)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    lowestLevel = levelNamed(level);
    const bool hasDebug = level == "debug";
    const bool hasInfo = hasDebug || level == "info";
    const bool hasWarning = hasInfo || level == "warning";
    settings.set(el::Level::Debug, el::ConfigurationType::Enabled, hasDebug ? "true" : "false");
    settings.set(el::Level::Info, el::ConfigurationType::Enabled, hasInfo ? "true" : "false");
    settings.set(el::Level::Warning, el::ConfigurationType::Enabled, hasWarning ? "true" : "false");
    el::Loggers::reconfigureLogger("default", settings);
}

std::string formatEvent(std::string_view daemon, const Event &event)
{
    const EventDescription &description = describe(event.code);
    std::string line
        = absl::StrCat(static_cast<int>(event.code), " ", model::toAbsl(description.name),
                       " daemon=", model::toAbsl(daemon));
    if (!event.subject.empty()) {
        absl::StrAppend(&line, " subject=", event.subject);
    }
    if (!event.request.isEmpty()) {
        absl::StrAppend(&line, " request=", event.request.text());
    }
    if (!event.detail.empty()) {
        absl::StrAppend(&line, " ", event.detail);
    }
    return oneLine(std::move(line));
}

void writeLog(std::string_view daemon, const Event &event)
{
    if (describe(event.code).level < lowestLevel) {
        return;
    }
    switch (describe(event.code).level) {
    case EventLevel::Debug:
        LOG(DEBUG) << formatEvent(daemon, event);
        break;
    case EventLevel::Info:
        LOG(INFO) << formatEvent(daemon, event);
        break;
    case EventLevel::Warning:
        LOG(WARNING) << formatEvent(daemon, event);
        break;
    case EventLevel::Error:
        LOG(ERROR) << formatEvent(daemon, event);
        break;
    }
}

} // namespace citronpick::observability
