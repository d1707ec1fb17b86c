// Tests what a gateway leaves behind when it ends by itself.
#include "support/gateway_site.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>

using namespace borageford;
using namespace borageford::test;

TEST_CASE("gateway: one that is ended by an invalid memory access leaves a backtrace", "[gateway][crash]") {
    // A gateway crashes in the middle of its work. With nothing but an exit code, nobody can tell where.
    gateway_site site(plain_site(1));
    CHECK(site.send(0, make_call("/plain/x", "before")).status == 200);
    site.process(0).fault();
    constexpr int signal_exit_code = 128;
    CHECK(site.process(0).wait_for_exit() == signal_exit_code + SIGSEGV);
    const auto report = site.process(0).log_text();
    CHECK(report.find("SIGSEGV") != std::string::npos);
    CHECK(report.find("boost::asio") != std::string::npos); // a function of the backtrace
}

TEST_CASE("gateway: one whose address is in use names the address and ends", "[gateway][crash]") {
    // An operator starts a gateway with the settings of one that is running. It aborted with a backtrace that
    // named no address, so the operator couldn't tell which setting was wrong.
    gateway_site site(plain_site(1));
    const auto& settings = site.settings_file(0);
    child_process second(std::filesystem::path(BORAGEFORD_PROGRAM_FOLDER) / "borageford",
                         {"gateway", "--settings=" + settings.string()},
                         settings.parent_path() / "second.log");
    CHECK(second.wait_for_exit() == EXIT_FAILURE);
    const auto report = second.log_text() + second.output_text();
    CHECK(report.find("can't listen on 127.0.0.") != std::string::npos);
    CHECK(report.find("Address already in use") != std::string::npos);
    CHECK(site.send(0, make_call("/plain/x", "after")).status == 200);
}
