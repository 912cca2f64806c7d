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

EventLevel lowestLevel = EventLevel::Info;

//! Lines held for a slow reader: some thousand, small beside a daemon's memory.
constexpr size_t maxHeldBytes = 512U << 10U;
constexpr const char *writerName = "line-writer";

LineWriter &lineWriter()
{
    static LineWriter writer(STDOUT_FILENO, maxHeldBytes);
    return writer;
}

//! Takes lines that the logging library has built; its own writer would wait for a slow reader.
class LineDispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        lineWriter().add(message->logger()->logBuilder()->build(message, true));
    }
};

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
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<LineDispatch>(writerName);
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
