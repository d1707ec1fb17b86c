// The processes that tests start.
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
    // A soak draws two freezes of one gateway that overlap. It waited for a second stop that never comes, and
    // hung for good without a verdict.
    auto process = start_sleeper();
    process.freeze();
    process.freeze();
    process.thaw();
    CHECK(process.is_running());
    process.freeze();
    process.kill();
    CHECK_FALSE(process.is_running());
}

TEST_CASE("freezing a process that has ended doesn't hide its end", "[support]") {
    auto process = start_sleeper();
    process.kill();
    process.freeze();
    CHECK_FALSE(process.is_running());
}
