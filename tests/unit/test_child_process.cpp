// Tests child_process, with which tests start and stop other processes.
#include "support/child_process.hpp"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace borageford::test;

namespace {

child_process start_sleeper() {
    const auto log = std::filesystem::temp_directory_path() / "borageford-sleeper.log";
    return child_process("/bin/sleep", {"600"}, log);
}

} // namespace

TEST_CASE("a process that is frozen already may be frozen again", "[support]") {
    // A soak test chose two overlapping freezes of one gateway. The second one waited for another stop of a
    // process that was already stopped, so the test hung forever without a result.
    auto process = start_sleeper();
    process.freeze();
    process.freeze();
    process.thaw();
    CHECK(process.is_running());
    process.freeze();
    process.kill();
    CHECK_FALSE(process.is_running());
}

TEST_CASE("freezing a process that has ended doesn't make it appear to run", "[support]") {
    auto process = start_sleeper();
    process.kill();
    process.freeze();
    CHECK_FALSE(process.is_running());
}
