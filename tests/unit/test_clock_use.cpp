// Checks which source files read the system clock.
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

namespace {

namespace fs = std::filesystem;

/// Whether the file's text contains the name of a clock that shows the time of day.
bool reads_time_of_day(const fs::path& source) {
    std::ifstream file(source);
    std::stringstream text;
    text << file.rdbuf();
    const auto code = text.str();
    constexpr std::array<std::string_view, 7> clock_names{
        "system_clock", "high_resolution_clock", "utc_clock", "std::time(",
        "gettimeofday", "CLOCK_REALTIME",        "file_clock"};
    return std::ranges::any_of(clock_names,
                               [&](std::string_view name) { return code.find(name) != std::string::npos; });
}

} // namespace

TEST_CASE("no decision of a gateway reads the time of day", "[clock]") {
    // The system clock of a machine can jump forward or back, by seconds or by an hour. A lease, a quota or a
    // server start measured with it would end too early or never, so callers would be refused or requests
    // sent to a server that no longer runs. Only the event log may read it, for the times in its lines.
    const std::set<std::string> allowed_readers{"events/event_log.cpp", "events/log_clock.cpp",
                                                "events/log_clock.hpp"};
    const fs::path root = fs::path(DOCS_FOLDER) / ".." / "src";
    std::set<std::string> readers;
    for (const auto* part : {"base", "policy", "coordination", "gateway", "routing", "http", "net", "store",
                             "events", "process", "metrics", "../platform"}) {
        for (const auto& entry : fs::recursive_directory_iterator(root / part)) {
            if (entry.is_regular_file() && reads_time_of_day(entry.path())) {
                readers.insert(std::string(part) + "/" + entry.path().filename().string());
            }
        }
    }
    CHECK(readers == allowed_readers);
}
