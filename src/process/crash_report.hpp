// Reports on standard error why a process was ended by a signal.
#pragma once

namespace borageford::process {

/// From now on, a process that ends by a fault of its own, such as an invalid memory access or an uncaught
/// exception, first writes the signal and a backtrace to standard error. Without it, only the exit code tells
/// of the fault. `program` is the path with which the program was started. To be called once, before the
/// first thread is started.
void install_crash_report(const char* program);

} // namespace borageford::process
