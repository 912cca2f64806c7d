#ifndef CITRONPICK_SOAK_DAEMONPROCESS_H
#define CITRONPICK_SOAK_DAEMONPROCESS_H

#include <optional>
#include <string>
#include <utility>

#include <sys/types.h>

#include "model/time.h"

namespace citronpick::soak
{

//! From a start of a daemon to its end.
struct ProcessLife {
    model::TimePoint startedAt;
    std::optional<model::TimePoint> stoppedAt; //!< First SIGTERM.
    std::optional<model::TimePoint> stopRepeatedAt; //!< Second SIGTERM.
    model::TimePoint endedAt; //!< Not before the end.
    model::Duration stopLimit {}; //!< In force at the first SIGTERM.
    bool wasKilled = false;
    bool wasPaused = false; //!< While it stopped, or less than 3 s before.

    friend bool operator==(const ProcessLife &, const ProcessLife &) = default;
};

//! Runs a daemon as a child process and restarts it whenever it exits.
class DaemonProcess
{
public:
    //! All starts of the daemon append to the same log file.
    DaemonProcess(std::string program, std::string settings, std::string log);
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;
    ~DaemonProcess();

    void start(model::TimePoint now);
    //! Writes the settings file; a running daemon reads it at the next SIGHUP or start.
    void writeSettings(const std::string &text, model::Duration stopLimit);
    //! Begins a planned stop by SIGTERM, which ends a program that is still being loaded. All
    //! signals are sent to the id of this process only.
    void stop(model::TimePoint now);
    //! Sends a second SIGTERM to a daemon that is stopping.
    void repeatStop(model::TimePoint now);
    void kill();
    void pause();
    void resume(model::TimePoint now);
    //! Does nothing while the program may not have been loaded: SIGHUP would end the process.
    void sendSighup();
    //! Path of the log file.
    const std::string &log() const
    {
        return m_log;
    }
    //! Greatest resident memory of the current life; zero while it does not run.
    size_t peakResidentBytes() const;
    bool isPaused() const
    {
        return m_isPaused;
    }

    //! Restarts the process after it has exited; returns a message if the exit was not expected.
    std::optional<std::string> run(model::TimePoint now);
    //! The life that ended since the last call.
    std::optional<ProcessLife> takeEndedLife()
    {
        return std::exchange(m_endedLife, std::nullopt);
    }

private:
    void send(int signal) const;
    bool handles(int signal) const;

    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
    bool m_isPaused = false;
    model::TimePoint m_resumedAt;
    ProcessLife m_life;
    std::optional<ProcessLife> m_endedLife;
    model::Duration m_writtenStopLimit {};
    std::optional<model::TimePoint> m_restartAt;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_DAEMONPROCESS_H
