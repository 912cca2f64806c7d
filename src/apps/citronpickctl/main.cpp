#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "adminclient.h"
#include "config/configuration.h"
#include "config/relaysettings.h"
#include "config/settings.h"
#include "requesttrace.h"
#include "table.h"
#include "timelinemerge.h"

ABSL_FLAG(std::string, daemon, "127.0.0.1:18001",
          "Address of a daemon's administration API, HOST:PORT.");
ABSL_FLAG(std::string, daemons, "",
          "timeline: addresses of administration APIs, separated by commas.");
ABSL_FLAG(std::string, token, "", "Bearer token of the administration API.");
ABSL_FLAG(bool, json, false, "Print JSON instead of tables.");
ABSL_FLAG(uint64_t, after, 0, "events: show only events after this sequence number.");
ABSL_FLAG(std::string, svg, "", "timeline: also write an SVG image to this file.");
ABSL_FLAG(std::string, to, "127.0.0.1:18000",
          "request: address of the daemon for callers, HOST:PORT.");
ABSL_FLAG(std::string, route, "", "request: name of the pipeline or service.");
ABSL_FLAG(std::string, account, "", "request: name of the client account.");
ABSL_FLAG(std::string, id, "ctl-1", "request: request identifier chosen by the caller.");
ABSL_FLAG(std::string, body, "", "request: request body.");
ABSL_FLAG(std::string, priority, "", "request: name of a priority.");
ABSL_FLAG(std::string, operation, "", "request: operation key.");
ABSL_FLAG(uint32_t, deadline_ms, 0,
          "request: deadline in milliseconds; zero uses the deadline of the route.");

namespace
{

using namespace citronpick;
using Json = nlohmann::json;

constexpr int exitSuccess = 0;
constexpr int exitInvalid = 1;
constexpr int exitUsage = 2;

constexpr const char *usageText
    = R"(Queries citronpick daemons, checks their files and sends requests.
  citronpickctl check FILE                 check a settings or pipeline file
  citronpickctl status|upstreams|config|members|events --daemon=HOST:PORT --token=TOKEN
  citronpickctl timeline --daemons=HOST:PORT,... --token=TOKEN [--svg=FILE]
  citronpickctl explain REQUEST LOG...     print a request's lines from several logs
  citronpickctl request --to=HOST:PORT --route=NAME --account=NAME --body=TEXT
Exit status: 0 success, 1 invalid file or failed request, 2 wrong usage or no daemon reached.)";

int printError(const absl::Status &status)
{
    std::cerr << "citronpickctl: " << status.message() << '\n';
    return exitUsage;
}

int checkFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "citronpickctl: cannot read '" << path << "'\n";
        return exitUsage;
    }
    std::stringstream text;
    text << file.rdbuf();
    const Json document = Json::parse(text.str(), nullptr, false);
    const bool isPipelineFile = document.is_object() && document.contains("pools");
    const absl::Status status = isPipelineFile ? config::parseConfiguration(text.str()).status()
                                : config::isRelaySettings(text.str())
                                    ? config::parseRelaySettings(text.str()).status()
                                    : config::parseSettings(text.str()).status();
    if (!status.ok()) {
        std::cerr << path << ":\n" << status.message() << '\n';
        return exitInvalid;
    }
    std::cout << path << ": a valid " << (isPipelineFile ? "pipeline" : "settings") << " file\n";
    return exitSuccess;
}

// Exit status 0 if at least one line concerns the request.
int explainRequest(const std::string &request, const std::vector<std::string> &paths)
{
    ctl::RequestTrace trace(request);
    for (const std::string &path : paths) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << "citronpickctl: cannot read '" << path << "'\n";
            return exitUsage;
        }
        trace.addLog(log);
    }
    for (const std::string &line : trace.lines()) {
        std::cout << line << '\n';
    }
    std::cout << trace.outcome() << '\n';
    return trace.isEmpty() ? exitInvalid : exitSuccess;
}

std::string formatTime(int64_t wallMicroseconds)
{
    constexpr int64_t microsecondsPerSecond = 1000000;
    const time_t seconds = wallMicroseconds / microsecondsPerSecond;
    std::array<char, 32> text {};
    tm parts {};
    gmtime_r(&seconds, &parts);
    const size_t length = strftime(text.data(), text.size(), "%H:%M:%S", &parts);
    std::string micros = std::to_string(wallMicroseconds % microsecondsPerSecond);
    micros.insert(0, 6 - micros.size(), '0');
    return std::string(text.data(), length) + "." + micros;
}

void printEvents(const Json &events)
{
    Json rows = events;
    for (Json &row : rows) {
        row["time"] = formatTime(row.at("wallUs"));
    }
    const bool hasDaemon = !rows.empty() && rows.front().contains("daemon");
    std::vector<std::string> keys {"time", "code", "level", "name", "subject", "request", "detail"};
    if (hasDaemon) {
        keys.insert(keys.begin() + 1, "daemon");
    }
    std::cout << ctl::formatTable(rows, keys);
}

int showPage(const std::string &page)
{
    const auto endpoint = ctl::parseEndpoint(absl::GetFlag(FLAGS_daemon));
    if (!endpoint.ok()) {
        return printError(endpoint.status());
    }
    const std::string path
        = page == "events" ? absl::StrCat("events?after=", absl::GetFlag(FLAGS_after)) : page;
    const auto document = ctl::readAdminPage(*endpoint, absl::GetFlag(FLAGS_token), path);
    if (!document.ok()) {
        return printError(document.status());
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << document->dump(2) << '\n';
    } else if (page == "status") {
        std::cout << ctl::formatFields(*document);
    } else if (page == "upstreams") {
        std::cout << ctl::formatTable(document->at("upstreams"),
                                      {"pool", "upstream", "zone", "state", "cause", "relapses",
                                       "leaving", "inFlight", "limit", "slowness"});
    } else if (page == "members") {
        std::cout << ctl::formatTable(document->at("members"),
                                      {"daemon", "state", "zone", "host", "port", "incarnation"});
    } else if (page == "config") {
        std::cout << "revision " << document->at("revision") << '\n'
                  << ctl::formatTable(document->at("routes"),
                                      {"route", "idempotent", "deadlineMs", "stages"});
    } else {
        printEvents(document->at("events"));
    }
    return exitSuccess;
}

int printTimeline()
{
    std::vector<Json> pages;
    const std::string list = absl::GetFlag(FLAGS_daemons);
    const std::vector<std::string> addresses = absl::StrSplit(list, ',', absl::SkipEmpty());
    if (addresses.empty()) {
        return printError(absl::InvalidArgumentError("timeline needs --daemons=HOST:PORT,..."));
    }
    for (const std::string &address : addresses) {
        const auto endpoint = ctl::parseEndpoint(address);
        if (!endpoint.ok()) {
            return printError(endpoint.status());
        }
        auto page = ctl::readAdminPage(*endpoint, absl::GetFlag(FLAGS_token), "events");
        if (!page.ok()) {
            // Continues without it: the events of the other daemons are most useful when one is
            // down.
            std::cerr << "citronpickctl: " << page.status().message() << '\n';
            continue;
        }
        pages.push_back(*std::move(page));
    }
    if (pages.empty()) {
        return exitUsage;
    }
    const Json merged = ctl::mergeTimelines(pages);
    if (const std::string path = absl::GetFlag(FLAGS_svg); !path.empty()) {
        std::ofstream(path) << ctl::formatTimelineSvg(merged);
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << merged.dump(2) << '\n';
    } else {
        printEvents(merged);
    }
    return exitSuccess;
}

int sendRequest()
{
    const auto endpoint = ctl::parseEndpoint(absl::GetFlag(FLAGS_to));
    if (!endpoint.ok()) {
        return printError(endpoint.status());
    }
    net::HttpCall call;
    call.method = "POST";
    call.to = *endpoint;
    call.path = "/v1/run/" + absl::GetFlag(FLAGS_route);
    call.body = model::makeBody(absl::GetFlag(FLAGS_body));
    call.timeout = model::seconds(600);
    call.maxBodyBytes = 256U << 20U;
    call.headers = {{.name = "x-citronpick-request", .value = absl::GetFlag(FLAGS_id)},
                    {.name = "x-citronpick-account", .value = absl::GetFlag(FLAGS_account)}};
    const auto addHeaderIfGiven = [&call](const char *name, const std::string &value) {
        if (!value.empty()) {
            call.headers.push_back({.name = name, .value = value});
        }
    };
    addHeaderIfGiven("x-citronpick-priority", absl::GetFlag(FLAGS_priority));
    addHeaderIfGiven("x-citronpick-operation", absl::GetFlag(FLAGS_operation));
    if (absl::GetFlag(FLAGS_deadline_ms) > 0) {
        addHeaderIfGiven("x-citronpick-deadline-ms",
                         absl::StrCat(absl::GetFlag(FLAGS_deadline_ms)));
    }
    const auto answer = ctl::call(call);
    if (!answer.ok()) {
        return printError(answer.status());
    }
    const std::string outcome = net::headerValue(answer->headers, "x-citronpick-outcome");
    std::cerr << "status " << answer->status << ", outcome " << outcome << ", reason "
              << net::headerValue(answer->headers, "x-citronpick-reason") << '\n';
    std::cout << *answer->body << '\n';
    return outcome == "complete" ? exitSuccess : exitInvalid;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("citronpickctl " CITRONPICK_VERSION "\n");
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    const std::vector<std::string> adminPages {"status", "upstreams", "config", "members",
                                               "events"};
    if (command == "check" && arguments.size() == 3) {
        return checkFile(arguments[2]);
    }
    if (command == "explain" && arguments.size() > 3) {
        return explainRequest(arguments[2], {arguments.begin() + 3, arguments.end()});
    }
    if (command == "timeline") {
        return printTimeline();
    }
    if (command == "request") {
        return sendRequest();
    }
    if (std::find(adminPages.begin(), adminPages.end(), command) != adminPages.end()) {
        return showPage(command);
    }
    std::cerr << usageText << '\n';
    return exitUsage;
}
