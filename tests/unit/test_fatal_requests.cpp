// Tests of how experiments state what goes wrong: requests that crash servers, and which of their arrivals
// are late, and irregular answers.
#include "emulator/fatal_record.hpp"
#include "experiment/experiment_reader.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford;
using namespace std::chrono_literals;

namespace {

std::string with_callers(const std::string& first, const std::string& second = "") {
    return "[experiment]\nname = x\nlength = 1s\nstore = 127.0.0.1:1\ngateways = 127.0.0.1:100\n"
           "[service s]\nkind = plain\naddress = 127.0.0.1:200\n[route r]\nservice = s\n"
           "[callers a]\nroute = r\n" +
           first + "\n[callers b]\nroute = r\n" + second + "\n";
}

experiment::experiment_plan read(const std::string& text, std::size_t problems) {
    std::vector<settings::problem> found;
    auto result = experiment::read_experiment(text, "file", found);
    CHECK(found.size() == problems);
    return result;
}

} // namespace

TEST_CASE("experiments state which requests crash servers", "[experiment]") {
    const auto plan =
        read(with_callers("crash_servers_by = request", "parts = 5c, 91\ncrash_servers_by = part"), 0);
    CHECK(plan.crash_rule.body_text == experiment::fatal_body_text);
    CHECK(plan.crash_rule.part == "91");
    CHECK(read(with_callers(""), 0).crash_rule.part.empty());
    static_cast<void>(read(with_callers("crash_servers_by = part"), 1));
    static_cast<void>(read(with_callers("crash_servers_by = anything"), 1));
    static_cast<void>(
        read(with_callers("parts = 5c\ncrash_servers_by = part", "parts = 91\ncrash_servers_by = part"), 1));
}

TEST_CASE("experiments state which of a server's answers are irregular", "[experiment]") {
    const std::string fault = "[fault f]\nkind = irregular\nservice = s\n";
    const auto plan = read(with_callers("", fault + "refused = 0.4\nrepeated = 0.03\nunavailable = 1"), 0);
    CHECK(plan.faults.front().kind == experiment::fault_kind::irregular);
    CHECK(plan.faults.front().faults.refused == Approx(0.4));
    CHECK(plan.faults.front().faults.repeated == Approx(0.03));
    CHECK(plan.faults.front().faults.nameless == 0);
    CHECK(plan.faults.front().faults.unavailable == 1);
    static_cast<void>(read(with_callers("", fault + "refused = 1.5"), 1));
}

TEST_CASE("arrivals are late once every gateway must know that they crash servers", "[emulator]") {
    const policy::time_point begin{1000s};
    emulator::fatal_record record;
    record.crashes = {begin + 2s, begin, begin + 1s};
    record.arrivals = {begin, begin + 4900ms, begin + 5s, begin + 5100ms, begin + 9s};
    CHECK(record.count_late(3) == 2);
    CHECK(record.count_late(4) == 0);
    CHECK(record.count_late(1) == 4);
}
