// Tests of file_watch with a file in the system's temporary folder.
#include "settings/file_watch.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using borageford::settings::file_watch;

TEST_CASE("a file is read again once it has changed and isn't being written any more", "[settings]") {
    const auto file =
        std::filesystem::temp_directory_path() / ("file_watch_" + std::to_string(::getpid()) + ".ini");
    const auto write = [&](const std::string& text) {
        std::ofstream(file) << text;
    };
    write("a");
    file_watch watch(file);
    CHECK_FALSE(watch.has_changed());
    write("half");
    CHECK_FALSE(watch.has_changed());
    write("half and half");
    CHECK_FALSE(watch.has_changed());
    CHECK(watch.has_changed());
    CHECK_FALSE(watch.has_changed());
    std::filesystem::remove(file);
    CHECK_FALSE(watch.has_changed());
    CHECK_FALSE(watch.has_changed());
}
