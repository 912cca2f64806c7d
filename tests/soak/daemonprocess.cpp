#include "soak/daemonprocess.h"

#include <csignal>
#include <fstream>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace citronpick::soak
{

namespace
{

//! Delay before a restart, as on the platform.
constexpr model::Duration restartDelay = model::milliseconds(300);
//! Limit of a planned stop: the platform kills a process that runs 8 s after SIGTERM.
constexpr model::Duration stopLimit = model::seconds(8);
//! A pause may have effects for this long after its end.
constexpr model::Duration pauseEffect = model::seconds(3);

} // namespace

DaemonProcess::DaemonProcess(std::string program, std::string settings, std::string log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{
}

DaemonProcess::~DaemonProcess()
{
    if (m_pid > 0) {
        send(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void DaemonProcess::writeSettings(const std::string &text, model::Duration stopLimit)
{
    std::ofstream(m_settings) << text;
    m_writtenStopLimit = stopLimit;
}

void DaemonProcess::start(model::TimePoint now)
{
    std::string settings = "--settings=" + m_settings;
    std::string program = m_program;
    char *arguments[] = {program.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t files {};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // A socket that the daemon inherits stays open when the soak test closes it, and the event loop
    // of the soak test would keep receiving its events.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    if (posix_spawn(&m_pid, m_program.c_str(), &files, nullptr, arguments, environ) != 0) {
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&files);
    m_restartAt.reset();
    m_isPaused = false;
    m_life = {.startedAt = now, .stopLimit = m_writtenStopLimit};
}

void DaemonProcess::send(int signal) const
{
    if (m_pid > 0) {
        ::kill(m_pid, signal);
    }
}

// A program that is still being loaded has no signal handlers; the number in its status is the mask
// of the signals that it handles.
size_t DaemonProcess::peakResidentBytes() const
{
    std::ifstream status(absl::StrCat("/proc/", m_pid, "/status"));
    uint64_t kilobytes = 0;
    for (std::string line; std::getline(status, line);) {
        absl::string_view rest(line);
        if (absl::ConsumePrefix(&rest, "VmHWM:") && absl::ConsumeSuffix(&rest, "kB")
            && absl::SimpleAtoi(rest, &kilobytes)) {
            return kilobytes << 10U;
        }
    }
    return 0;
}

bool DaemonProcess::handles(int signal) const
{
    std::ifstream status(absl::StrCat("/proc/", m_pid, "/status"));
    std::string line;
    while (std::getline(status, line)) {
        absl::string_view digits = line;
        uint64_t mask = 0;
        if (absl::ConsumePrefix(&digits, "SigCgt:")
            && absl::SimpleHexAtoi(absl::StripAsciiWhitespace(digits), &mask)) {
            return ((mask >> static_cast<unsigned>(signal - 1)) & 1U) != 0;
        }
    }
    return false;
}

void DaemonProcess::stop(model::TimePoint now)
{
    if (m_pid > 0 && !m_life.stoppedAt) {
        m_life.stoppedAt = now;
        m_life.wasKilled = m_life.wasKilled || !handles(SIGTERM);
        m_life.wasPaused = m_isPaused || now - m_resumedAt < pauseEffect;
        send(SIGTERM);
    }
}

void DaemonProcess::repeatStop(model::TimePoint now)
{
    if (m_pid > 0 && m_life.stoppedAt && !m_life.stopRepeatedAt) {
        m_life.stopRepeatedAt = now;
        send(SIGTERM);
    }
}

void DaemonProcess::kill()
{
    m_life.wasKilled = true;
    send(SIGKILL);
}

void DaemonProcess::pause()
{
    m_isPaused = true;
    m_life.wasPaused = m_life.stoppedAt.has_value();
    send(SIGSTOP);
}

void DaemonProcess::resume(model::TimePoint now)
{
    m_isPaused = false;
    m_resumedAt = now;
    send(SIGCONT);
}

void DaemonProcess::sendSighup()
{
    if (handles(SIGHUP)) {
        send(SIGHUP);
        m_life.stopLimit = m_life.stoppedAt ? m_life.stopLimit : m_writtenStopLimit;
    }
}

std::optional<std::string> DaemonProcess::run(model::TimePoint now)
{
    if (m_pid == 0) {
        if (m_restartAt && now >= *m_restartAt) {
            start(now);
        }
        return std::nullopt;
    }
    if (m_life.stoppedAt && !m_isPaused && now - *m_life.stoppedAt > 2 * stopLimit) {
        kill();
        return "a planned stop did not finish: " + m_settings;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    m_restartAt = now + restartDelay;
    m_life.endedAt = now;
    m_endedLife = m_life;
    const bool hasExitedCleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (m_life.wasKilled || (m_life.stoppedAt && hasExitedCleanly)) {
        return std::nullopt;
    }
    return absl::StrCat("a daemon exited unexpectedly with status ", status, ": ", m_settings);
}

} // namespace citronpick::soak
