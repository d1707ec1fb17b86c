// Starts a program with posix_spawn, reads its standard output through a pipe and sends it signals.
#include "support/child_process.hpp"

#include "support/wait_until.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace borageford::test {

namespace {

/// log_text() returns at most this many bytes from the end of the log.
constexpr std::size_t shown_log_bytes = 4000;
/// A process that a signal ended has this plus the signal's number as its exit code, as in a shell.
constexpr int signal_exit_base = 128;
constexpr std::size_t read_size = 4096;

void check(int result, const char* what) {
    if (result != 0) {
        throw std::system_error(result, std::generic_category(), what);
    }
}

/// Connects the child's standard output to a pipe and its standard error to the log file. An owner, so that
/// the actions are freed when posix_spawn fails, too.
class spawn_actions {
public:
    spawn_actions(int output, const std::string& log) {
        check(posix_spawn_file_actions_init(&m_actions), "posix_spawn_file_actions_init");
        check(posix_spawn_file_actions_adddup2(&m_actions, output, STDOUT_FILENO), "adddup2");
        check(posix_spawn_file_actions_addopen(&m_actions, STDERR_FILENO, log.c_str(),
                                               O_WRONLY | O_CREAT | O_APPEND, 0644),
              "addopen");
        // Closes the test's own sockets in the child. Otherwise the port of a fault_proxy would stay open
        // after the test closed it.
        check(posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1), "addclosefrom");
    }
    ~spawn_actions() { posix_spawn_file_actions_destroy(&m_actions); }
    spawn_actions(const spawn_actions&) = delete;
    spawn_actions& operator=(const spawn_actions&) = delete;
    spawn_actions(spawn_actions&&) = delete;
    spawn_actions& operator=(spawn_actions&&) = delete;

    [[nodiscard]] const posix_spawn_file_actions_t* get() const { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

child_process::child_process(const std::filesystem::path& program, std::vector<std::string> arguments,
                             std::filesystem::path log)
    : m_log(std::move(log)) {
    std::array<int, 2> ends{};
    // Closed at exec, so that no other child keeps this pipe open after this child has ended.
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    m_output = ends[0];
    const spawn_actions actions(ends[1], m_log.string());
    arguments.insert(arguments.begin(), program.string());
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const int result = posix_spawn(&m_id, program.c_str(), actions.get(), nullptr, pointers.data(), environ);
    close(ends[1]);
    if (result != 0) {
        close(m_output);
        check(result, program.c_str());
    }
}

child_process::~child_process() {
    if (!m_exit_code) {
        ::kill(m_id, SIGKILL);
        collect(true);
    }
    close(m_output);
}

std::string child_process::wait_for_line(std::string_view first_word) {
    const auto limit = std::chrono::steady_clock::now() + hang_timeout;
    while (std::chrono::steady_clock::now() < limit) {
        for (auto end = m_text.find('\n'); end != std::string::npos; end = m_text.find('\n')) {
            const auto line = m_text.substr(0, end);
            m_text.erase(0, end + 1);
            if (line.starts_with(first_word)) {
                return line;
            }
        }
        if (!read_more(std::chrono::milliseconds(500)) && !is_running()) {
            throw std::runtime_error("the process ended before it printed " + std::string(first_word) + ": " +
                                     log_text());
        }
    }
    throw std::runtime_error("the process printed no line that begins with " + std::string(first_word) +
                             ": " + log_text());
}

void child_process::kill() {
    if (m_exit_code) {
        return;
    }
    signal_child(SIGKILL);
    collect(true);
}

void child_process::freeze() {
    signal_child(SIGSTOP);
    // Returns only once the process has stopped or ended, so that the test's next step can't overtake the
    // signal. WNOWAIT keeps the stopped state readable: a process that is frozen twice stops only once, and
    // without WNOWAIT the second call would wait forever.
    siginfo_t state{};
    waitid(P_PID, static_cast<id_t>(m_id), &state, WSTOPPED | WEXITED | WNOWAIT);
}

void child_process::thaw() {
    signal_child(SIGCONT);
}

int child_process::wait_for_exit() {
    wait_until("the end of process " + std::to_string(m_id), [this] { return !is_running(); });
    return *m_exit_code;
}

bool child_process::is_running() {
    collect(false);
    return !m_exit_code;
}

std::string child_process::output_text() {
    while (read_more(std::chrono::milliseconds(0))) {
    }
    return m_text;
}

std::string child_process::take_output() {
    static_cast<void>(output_text());
    return std::exchange(m_text, {});
}

std::string child_process::log_text() const {
    std::ifstream file(m_log);
    std::stringstream text;
    text << file.rdbuf();
    auto content = text.str();
    if (content.size() > shown_log_bytes) {
        content.erase(0, content.size() - shown_log_bytes);
    }
    return content;
}

void child_process::signal_child(int signal) const {
    if (!m_exit_code) {
        ::kill(m_id, signal);
    }
}

bool child_process::read_more(std::chrono::milliseconds timeout) {
    pollfd wanted{m_output, POLLIN, 0};
    if (poll(&wanted, 1, static_cast<int>(timeout.count())) <= 0) {
        return false;
    }
    std::array<char, read_size> piece{};
    const auto count = read(m_output, piece.data(), piece.size());
    if (count <= 0) {
        return false;
    }
    m_text.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

void child_process::collect(bool wait) {
    if (m_exit_code) {
        return;
    }
    int status = 0;
    if (waitpid(m_id, &status, wait ? 0 : WNOHANG) != m_id) {
        return;
    }
    m_exit_code = WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status) : WEXITSTATUS(status);
}

std::size_t child_process::peak_memory() const {
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
        }
    }
    return 0;
}

} // namespace borageford::test
