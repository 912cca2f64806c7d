#ifndef CITRONPICK_SOAK_DAEMONPROCESS_H
#define CITRONPICK_SOAK_DAEMONPROCESS_H

#include <optional>
#include <string>

#include <sys/types.h>

#include "model/time.h"

namespace citronpick::soak
{

//! Runs a daemon as a child process and restarts it whenever it exits.
class DaemonProcess
{
public:
    //! All starts of the daemon append to the same log file.
    DaemonProcess(std::string program, std::string settings, std::string log);
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;
    ~DaemonProcess();

    void start();
    //! Begins a planned stop by SIGTERM, which ends a program that is still being loaded. All
    //! signals are sent to the id of this process only.
    void stop(model::TimePoint now);
    void kill();
    void pause();
    void resume();
    //! Does nothing while the program may not have been loaded: SIGHUP would end the process.
    void sendSighup();
    bool isPaused() const
    {
        return m_isPaused;
    }

    //! Restarts the process after it has exited; returns a message if the exit was not expected.
    std::optional<std::string> run(model::TimePoint now);

private:
    void send(int signal) const;
    bool handles(int signal) const;

    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
    bool m_isPaused = false;
    bool m_wasKilled = false;
    std::optional<model::TimePoint> m_stoppedAt;
    std::optional<model::TimePoint> m_restartAt;
};

} // namespace citronpick::soak

#endif // CITRONPICK_SOAK_DAEMONPROCESS_H
