#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "config/settings.h"
#include "daemon/daemon.h"
#include "net/eventloop.h"
#include "observability/log.h"

ABSL_FLAG(std::string, settings, "", "Path of the daemon's settings file (JSON).");

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

// Signal handlers may only set flags; the loop looks at them every few milliseconds.
volatile std::sig_atomic_t stopSignals = 0;
volatile std::sig_atomic_t ignoredSignal = 0;

void onStopSignal(int)
{
    stopSignals = stopSignals + 1;
}

void onOtherSignal(int number)
{
    ignoredSignal = number;
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

int run(citronpick::config::Settings settings)
{
    using namespace citronpick;
    observability::openLog(settings.logLevel);
    net::EventLoop loop;
    daemon::Daemon daemon(loop, std::move(settings));
    installSignalHandlers();
    const absl::Status status = daemon.start();
    if (!status.ok()) {
        std::cerr << "citronpickd: " << status.message() << '\n';
        return exitFailure;
    }
    int seenStops = 0;
    while (daemon.runOnce()) {
        if (stopSignals > seenStops) {
            ++seenStops;
            daemon.requestStop();
        }
        if (ignoredSignal != 0) {
            daemon.record({.code = observability::EventCode::SignalIgnored,
                           .request = {},
                           .subject = "signal",
                           .detail = "number=" + std::to_string(ignoredSignal)});
            ignoredSignal = 0;
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Serves multi-stage model pipelines.\n"
                                 "  citronpickd --settings=FILE");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("citronpickd " CITRONPICK_VERSION "\n");
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    const std::string path = absl::GetFlag(FLAGS_settings);
    std::ifstream file(path);
    if (path.empty() || !file) {
        std::cerr << "citronpickd: cannot read the settings file '" << path
                  << "' (--settings=FILE)\n";
        return exitUsage;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = citronpick::config::parseSettings(text.str());
    if (!settings.ok()) {
        std::cerr << "citronpickd: " << path << " is not valid:\n"
                  << settings.status().message() << '\n';
        return exitUsage;
    }
    return run(*std::move(settings));
}
