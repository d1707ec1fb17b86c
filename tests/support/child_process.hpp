// Runs one program as a child process of a test. The test can kill, freeze (SIGSTOP) and resume it; the child
// never outlives the test.
#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace borageford::test {

/// Invariant: the destructor kills a child that is still running.
class child_process {
public:
    /// Starts the program; its standard error is appended to the file `log`. Throws std::system_error when it
    /// can't be started.
    child_process(const std::filesystem::path& program, std::vector<std::string> arguments,
                  std::filesystem::path log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Waits for a line on standard output that starts with `first_word` and returns it; earlier lines are
    /// dropped. Throws std::runtime_error with the end of the log when the process ends first, or after
    /// `hang_timeout`.
    std::string wait_for_line(std::string_view first_word);

    /// Sends SIGTERM: the process shuts down gracefully.
    void terminate() { signal_child(15); }
    /// Sends SIGHUP: the process reloads its settings.
    void reload() { signal_child(1); }
    /// Sends SIGSEGV, as an invalid memory access would.
    void fault() { signal_child(11); }
    /// Sends SIGKILL and waits for the process to end.
    void kill();
    /// Sends SIGSTOP and waits for it to take effect: the process keeps its connections and does nothing.
    void freeze();
    /// Sends SIGCONT: a frozen process runs again.
    void thaw();

    /// Waits for the process to end and returns its exit code, or 128 plus the number of the signal that
    /// ended it. Throws std::runtime_error when it is still running after `hang_timeout`.
    int wait_for_exit();
    [[nodiscard]] bool is_running();
    /// The end of the standard error, at most 4000 bytes.
    [[nodiscard]] std::string log_text() const;
    /// Standard output that wait_for_line() and take_output() haven't consumed yet.
    [[nodiscard]] std::string output_text();
    /// Returns the same text as output_text() and consumes it.
    [[nodiscard]] std::string take_output();
    [[nodiscard]] pid_t id() const noexcept { return m_id; }
    /// The largest memory that the process has had, in bytes.
    [[nodiscard]] std::size_t peak_memory() const;

private:
    void signal_child(int signal) const;
    bool read_more(std::chrono::milliseconds timeout);
    void collect(bool wait);

    pid_t m_id = -1;
    int m_output = -1;
    std::string m_text; ///< standard output that was read and not yet consumed
    std::filesystem::path m_log;
    std::optional<int> m_exit_code;
};

} // namespace borageford::test
