#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "config/relaysettings.h"
#include "config/settings.h"
#include "daemon/daemon.h"
#include "daemon/relaydaemon.h"
#include "model/abslview.h"
#include "net/eventloop.h"
#include "observability/log.h"
#include "platform/wireformat.h"

ABSL_FLAG(std::string, settings, "",
          "Path of the daemon's settings file (JSON). Default: the value of $CITRONPICK_SETTINGS.");

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Signal handlers may only set flags. The main loop polls them every few milliseconds.
volatile std::sig_atomic_t stopSignalCount = 0;
volatile std::sig_atomic_t hasHungUp = 0;
volatile std::sig_atomic_t otherSignal = 0;

void onStopSignal(int)
{
    stopSignalCount = stopSignalCount + 1;
}

void onOtherSignal(int number)
{
    if (number == SIGHUP) {
        hasHungUp = 1;
    } else {
        otherSignal = number;
    }
}

void installSignalHandlers()
{
    struct sigaction action {
    };
    action.sa_handler = &onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    action.sa_handler = &onOtherSignal;
    for (const int number : {SIGHUP, SIGUSR1, SIGUSR2}) {
        sigaction(number, &action, nullptr);
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int printInvalidSettings(const std::string &path, const absl::Status &status)
{
    std::cerr << "citronpickd: " << path << " is not valid:\n" << status.message() << '\n';
    return exitUsage;
}

void reloadSettings(citronpick::daemon::RelayDaemon &daemon, const std::string &path)
{
    const auto settings = citronpick::config::parseRelaySettings(readFile(path));
    if (settings.ok()) {
        daemon.reload(*settings);
        return;
    }
    daemon.record(
        {.code = citronpick::observability::EventCode::SettingsRejected,
         .request = {},
         .subject = path,
         .detail = std::string(citronpick::model::fromAbsl(settings.status().message()))});
}

int runRelayDaemon(citronpick::config::RelaySettings settings, const std::string &path)
{
    using namespace citronpick;
    observability::openLog(settings.logLevel);
    net::EventLoop loop;
    const platform::WireFormat format;
    daemon::RelayDaemon daemon(loop, std::move(settings), format);
    const absl::Status status = daemon.start();
    if (!status.ok()) {
        std::cerr << "citronpickd: " << status.message() << '\n';
        return exitFailure;
    }
    int handledStopSignals = 0;
    while (daemon.runOnce()) {
        observability::flushLog();
        if (stopSignalCount > handledStopSignals) {
            ++handledStopSignals;
            daemon.requestStop();
        }
        if (hasHungUp != 0) {
            hasHungUp = 0;
            reloadSettings(daemon, path);
        }
    }
    observability::flushLog();
    return 0;
}

int runPipelineDaemon(citronpick::config::Settings settings)
{
    using namespace citronpick;
    observability::openLog(settings.logLevel);
    net::EventLoop loop;
    daemon::Daemon daemon(loop, std::move(settings));
    const absl::Status status = daemon.start();
    if (!status.ok()) {
        std::cerr << "citronpickd: " << status.message() << '\n';
        return exitFailure;
    }
    int handledStopSignals = 0;
    while (daemon.runOnce()) {
        observability::flushLog();
        if (stopSignalCount > handledStopSignals) {
            ++handledStopSignals;
            daemon.requestStop();
        }
        const int ignored = hasHungUp != 0 ? SIGHUP : otherSignal;
        if (ignored != 0) {
            daemon.record({.code = observability::EventCode::SignalIgnored,
                           .request = {},
                           .subject = "signal",
                           .detail = "number=" + std::to_string(ignored)});
            hasHungUp = 0;
            otherSignal = 0;
        }
    }
    observability::flushLog();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // Installed first: before that, SIGHUP, SIGUSR1 and SIGUSR2 terminate the process, and SIGTERM
    // and SIGINT do so without draining.
    installSignalHandlers();
    absl::SetProgramUsageMessage("Serves multi-stage model pipelines.\n"
                                 "  citronpickd --settings=FILE");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("citronpickd " CITRONPICK_VERSION "\n");
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    std::string path = absl::GetFlag(FLAGS_settings);
    const char *environment = std::getenv("CITRONPICK_SETTINGS");
    if (path.empty() && environment) {
        path = environment;
    }
    if (path.empty() || !std::ifstream(path)) {
        std::cerr << "citronpickd: cannot read the settings file '" << path
                  << "' (--settings=FILE)\n";
        return exitUsage;
    }
    const std::string text = readFile(path);
    if (citronpick::config::isRelaySettings(text)) {
        auto settings = citronpick::config::parseRelaySettings(text);
        return settings.ok() ? runRelayDaemon(*std::move(settings), path)
                             : printInvalidSettings(path, settings.status());
    }
    auto settings = citronpick::config::parseSettings(text);
    return settings.ok() ? runPipelineDaemon(*std::move(settings))
                         : printInvalidSettings(path, settings.status());
}
