// Defines the flags of the operators' subcommands. Where a flag isn't given, an environment variable may take
// its place.
#include "program/command_flags.hpp"

#include "settings/ini_document.hpp"
#include "settings/section_reader.hpp"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <vector>

ABSL_FLAG(std::string, entry, "", "the administration address of an entry, IP:PORT (or BORAGEFORD_ENTRY)");
ABSL_FLAG(std::string, token_file, "", "a file with the operators' token (or BORAGEFORD_TOKEN)");
ABSL_FLAG(std::string, operator_name, "", "your name, which is recorded with each revision (or USER)");
ABSL_FLAG(bool, json, false, "print the body of the response unchanged");
ABSL_FLAG(bool, wait, false, "wait until the change is in force everywhere");
ABSL_FLAG(std::string, wait_limit, "30s", "how long --wait waits at most");
ABSL_FLAG(std::string, workspace, "", "only requests of this workspace");
ABSL_FLAG(std::string, since, "1h", "how far back to list requests, for example 30m");
ABSL_FLAG(int, limit, 20, "the most entries to list");

namespace borageford::program {
namespace {

/// The value of an environment variable; empty when it isn't set.
std::string environment(const char* name) {
    const auto* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): before any thread starts
    return value == nullptr ? std::string() : std::string(value);
}

std::string flag_or_environment(const std::string& value, const char* name) {
    return value.empty() ? environment(name) : value;
}

std::string read_token() {
    const auto file = absl::GetFlag(FLAGS_token_file);
    if (file.empty()) {
        return environment("BORAGEFORD_TOKEN");
    }
    std::vector<settings::problem> problems;
    auto token = settings::read_file(file, problems);
    if (!problems.empty()) {
        throw usage_error(problems.front().to_string());
    }
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' ')) {
        token.pop_back();
    }
    return token;
}

std::optional<std::chrono::milliseconds> read_wait() {
    if (!absl::GetFlag(FLAGS_wait)) {
        return std::nullopt;
    }
    const auto limit = settings::parse_duration(absl::GetFlag(FLAGS_wait_limit));
    if (!limit) {
        throw usage_error("--wait-limit needs a duration with its unit, for example 30s");
    }
    return limit;
}

} // namespace

command_flags read_command_flags() {
    command_flags flags;
    flags.entry = flag_or_environment(absl::GetFlag(FLAGS_entry), "BORAGEFORD_ENTRY");
    flags.token = read_token();
    flags.operator_name = flag_or_environment(absl::GetFlag(FLAGS_operator_name), "USER");
    flags.json = absl::GetFlag(FLAGS_json);
    flags.wait = read_wait();
    flags.workspace = absl::GetFlag(FLAGS_workspace);
    flags.since = absl::GetFlag(FLAGS_since);
    flags.limit = absl::GetFlag(FLAGS_limit);
    return flags;
}

} // namespace borageford::program
