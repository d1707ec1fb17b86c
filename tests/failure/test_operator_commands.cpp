// Runs the operators' commands as separate processes against running entries, and checks their output and the
// exit codes on which scripts rely.
#include "support/child_process.hpp"
#include "support/cluster.hpp"
#include "support/operator_client.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

/// Runs commands of the program `borageford` against one entry, as an operator would at a terminal.
class terminal {
public:
    terminal(cluster& system, const http::endpoint& entry)
        : m_log(system.write_file("command.log", "")),
          m_flags{"--entry=" + http::to_string(entry),
                  "--token-file=" + system.write_file("token", "operator-token\n").string(),
                  "--operator-name=ana"} {}

    /// Runs a command, checks its exit code, and returns the output line that begins with `word`. With an
    /// empty `word`, no line is expected and the result is empty.
    std::string run(std::vector<std::string> words, const std::string& word, int expected_exit_code) {
        words.insert(words.end(), m_flags.begin(), m_flags.end());
        child_process command(std::filesystem::path(BORAGEFORD_PROGRAM_FOLDER) / "borageford", words, m_log);
        std::string line;
        if (!word.empty()) {
            line = command.wait_for_line(word);
        }
        CHECK(command.wait_for_exit() == expected_exit_code);
        m_last_errors = command.log_text();
        return line;
    }

    /// Whether the error output of the last command contains this text.
    [[nodiscard]] bool has_printed_error(const std::string& text) const {
        return m_last_errors.find(text) != std::string::npos;
    }

private:
    std::filesystem::path m_log;
    std::vector<std::string> m_flags;
    std::string m_last_errors;
};

/// The plan's id in an output line such as "plan ID on revision N".
std::string id_in(const std::string& line) {
    const auto begin = line.find(' ') + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

TEST_CASE("commands: a plan is shown, confirmed and in force at every node") {
    cluster system;
    terminal first(system, system.entry(0).admin);
    const operator_client ana(system.entry(0).admin, "ana");
    const auto text = ana.text_of(1) + "[service nuevo]\n";
    const auto file = system.write_file("next.ini", text).string();
    CHECK(first.run({"check", file}, file, 0).find("an intent, without faults") != std::string::npos);
    const auto plan = first.run({"plan", file}, "plan", 0);
    CHECK(plan.ends_with(" on revision 1"));
    CHECK(first.run({"confirm", id_in(plan), "--wait"}, "in", 0).starts_with("in force on all 4 live nodes"));
    CHECK(first.run({"status"}, "entry", 0) ==
          "entry entry-0 holds revision 2; the platform is reachable, its head is revision 2");
    CHECK(ana.text_of(2) == text);
    CHECK(first.run({"revert", "1"}, "plan", 0).ends_with(" on revision 2"));
    CHECK(first.run({"drain", "pluma-1", "--wait"}, "revision", 0) == "revision 3 accepted");
    CHECK(first.run({"servers"}, "pluma-1", 0).find("yes") != std::string::npos);
    static_cast<void>(first.run({"limits"}, "haian", 0));
    static_cast<void>(first.run({"quarantine"}, "fingerprint", 0));
    CHECK(first.run({"show", "2"}, ";", 0).starts_with("; revision 2 by ana at "));
}

// Commands fail for various reasons. A script must be able to tell a conflict from an outage or an invalid
// file, so each kind of failure has its own exit code and an error message.
TEST_CASE("commands: each kind of failure has its own exit code and message") {
    cluster system;
    terminal first(system, system.entry(0).admin);
    const operator_client bruno(system.entry(1).admin, "bruno");
    const auto text = bruno.text_of(1);
    const auto file = system.write_file("next.ini", text + "[service nuevo]\n").string();
    const auto plan = id_in(first.run({"plan", file}, "plan", 0));
    REQUIRE(bruno.confirm(bruno.plan(text + "[service otro]\n")).state == "accepted");
    static_cast<void>(first.run({"confirm", plan}, "", 3));
    CHECK(first.has_printed_error("plan_conflict: revision 2 by bruno"));

    const auto wrong = system.write_file("wrong.ini", "[tier high]\nrank = top\n").string();
    static_cast<void>(first.run({"check", wrong}, "", 2));
    CHECK(first.has_printed_error("wrong.ini:2: tier high.rank: expected"));
    static_cast<void>(first.run({"plan", wrong}, "", 2));
    CHECK(first.has_printed_error("plan_invalid"));
    static_cast<void>(first.run({"drain", "nadie"}, "", 2));
    static_cast<void>(first.run({"nonsense"}, "", 2));

    system.entry(1).process->freeze();
    static_cast<void>(first.run({"drain", "pluma-1", "--wait", "--wait-limit=500ms"}, "revision", 4));
    system.entry(1).process->thaw();

    system.control_platform(R"({"outage": true})");
    static_cast<void>(first.run({"plan", file}, "", 1));
    CHECK(first.has_printed_error("platform_unavailable"));
    terminal unreachable(system, {boost::asio::ip::address_v4::loopback(), 1});
    static_cast<void>(unreachable.run({"status"}, "", 1));
    CHECK(unreachable.has_printed_error("Nothing was sent"));
}
