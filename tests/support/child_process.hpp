// One process under test: started with arguments, killed, frozen and thawed at will, and never left behind.
#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace borageford::test {

/// Invariant: the child is ended, at the latest, by the destructor.
class child_process {
public:
    /// Starts the program; its standard error goes to `log`.
    child_process(const std::filesystem::path& program, std::vector<std::string> arguments,
                  std::filesystem::path log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// The first line on standard output that starts with this word. Throws, with the end of the log, when
    /// the process ends or stays silent instead.
    std::string wait_for_line(std::string_view first_word);

    /// SIGTERM: asks for the graceful stop.
    void terminate() { signal_child(15); }
    /// SIGHUP: asks for its settings to be read again.
    void reload() { signal_child(1); }
    /// SIGKILL, and waits for its end.
    void kill();
    /// SIGSTOP: the process keeps its connections and does nothing.
    void freeze();
    /// SIGCONT.
    void thaw();

    /// The exit code, or 128 plus the signal. Throws when it doesn't end within the guard against hanging.
    int wait_for_exit();
    [[nodiscard]] bool is_running();
    [[nodiscard]] std::string log_text() const;
    /// What it has written to standard output and no line was taken from yet.
    [[nodiscard]] std::string output_text();
    /// The same, and the next call begins after it.
    [[nodiscard]] std::string take_output();
    [[nodiscard]] pid_t id() const noexcept { return m_id; }

private:
    void signal_child(int signal) const;
    bool read_more(std::chrono::milliseconds patience);
    void collect(bool wait);

    pid_t m_id = -1;
    int m_output = -1;
    std::string m_text; ///< standard output that no line was taken from yet
    std::filesystem::path m_log;
    std::optional<int> m_exit_code;
};

} // namespace borageford::test
