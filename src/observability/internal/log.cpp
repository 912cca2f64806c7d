#include "observability/log.h"

#include <algorithm>

#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include "model/abslview.h"
#include "observability/internal/linewriter.h"

INITIALIZE_EASYLOGGINGPP

namespace citronpick::observability
{

namespace
{

EventLevel minLevel = EventLevel::Info;

//! Buffer for a slow reader of standard output: some thousand lines, little compared with the
//! memory that a daemon uses.
constexpr size_t maxBufferedBytes = 512U << 10U;
constexpr const char *callbackName = "line-writer";

LineWriter &lineWriter()
{
    static LineWriter writer(STDOUT_FILENO, maxBufferedBytes);
    return writer;
}

//! Passes the lines formatted by the logging library to lineWriter(), because the library's own
//! writer would block on a slow reader.
class LineWriterCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        lineWriter().add(message->logger()->logBuilder()->build(message, true));
    }
};

EventLevel levelFromName(std::string_view name)
{
    for (const EventLevel level : {EventLevel::Debug, EventLevel::Warning, EventLevel::Error}) {
        if (toString(level) == name) {
            return level;
        }
    }
    return EventLevel::Info;
}

// Prevents log injection: line breaks in values from outside must not start a new log line.
std::string replaceLineBreaks(std::string text)
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
    minLevel = levelFromName(level);
    const bool isDebugEnabled = level == "debug";
    const bool isInfoEnabled = isDebugEnabled || level == "info";
    const bool isWarningEnabled = isInfoEnabled || level == "warning";
    settings.set(el::Level::Debug, el::ConfigurationType::Enabled,
                 isDebugEnabled ? "true" : "false");
    settings.set(el::Level::Info, el::ConfigurationType::Enabled, isInfoEnabled ? "true" : "false");
    settings.set(el::Level::Warning, el::ConfigurationType::Enabled,
                 isWarningEnabled ? "true" : "false");
    el::Loggers::reconfigureLogger("default", settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<LineWriterCallback>(callbackName);
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
    return replaceLineBreaks(std::move(line));
}

void flushLog()
{
    lineWriter().flush();
}

uint64_t takeDroppedLines()
{
    return lineWriter().takeDropped();
}

void writeLog(std::string_view daemon, const Event &event)
{
    if (describe(event.code).level < minLevel) {
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
