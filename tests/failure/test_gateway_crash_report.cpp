// Tests what a gateway leaves behind when it ends by a fault of its own.
#include "support/gateway_site.hpp"

#include <catch2/catch.hpp>

#include <csignal>
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
