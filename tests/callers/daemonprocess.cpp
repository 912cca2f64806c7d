#include "callers/daemonprocess.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace citronpick::testing
{

pid_t startDaemonProcess(const std::string &folder, const std::string &settings)
{
    const std::string path = folder + "/settings.json";
    std::ofstream(path) << settings;
    std::string program = DAEMON_PROGRAM;
    std::string argument = "--settings=" + path;
    char *arguments[] = {program.data(), argument.data(), nullptr};
    posix_spawn_file_actions_t files {};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    pid_t process = 0;
    REQUIRE(posix_spawn(&process, program.c_str(), &files, nullptr, arguments, environ) == 0);
    posix_spawn_file_actions_destroy(&files);
    return process;
}

void endDaemonProcess(pid_t process)
{
    if (process > 0) {
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
}

bool isProcessAlive(pid_t process)
{
    return waitpid(process, nullptr, WNOHANG) == 0;
}

size_t peakResidentBytes(pid_t process)
{
    std::ifstream status(absl::StrCat("/proc/", process, "/status"));
    for (std::string line; std::getline(status, line);) {
        uint64_t kilobytes = 0;
        if (line.starts_with("VmHWM:")
            && absl::SimpleAtoi(line.substr(6, line.find("kB") - 6), &kilobytes)) {
            return kilobytes << 10U;
        }
    }
    FAIL("no resident memory of the daemon");
    return 0;
}

size_t openDescriptorsOf(pid_t process)
{
    const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", process, "/fd"));
    return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace citronpick::testing
