#ifndef CITRONPICK_TESTS_CALLERS_DAEMONPROCESS_H
#define CITRONPICK_TESTS_CALLERS_DAEMONPROCESS_H

#include <cstddef>
#include <string>

#include <sys/types.h>

namespace citronpick::testing
{

//! Starts the daemon with \a settings, which are written to a file in \a folder.
pid_t startDaemonProcess(const std::string &folder, const std::string &settings);
void endDaemonProcess(pid_t process);
bool isProcessAlive(pid_t process);
size_t peakResidentBytes(pid_t process);
size_t openDescriptorsOf(pid_t process);

} // namespace citronpick::testing

#endif // CITRONPICK_TESTS_CALLERS_DAEMONPROCESS_H
