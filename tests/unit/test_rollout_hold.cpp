// A version that is being rolled out gets nothing while another one serves.
#include "platform/backend_codec.hpp"
#include "platform/rollout_codec.hpp"
#include "policy/version_hold.hpp"
#include "support/known_servers.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using test::known_servers;
using namespace std::chrono_literals;

namespace {

const policy::time_point start_time = policy::time_point{} + 1h;

} // namespace

TEST_CASE("a new version is let in where nobody else serves, after the order's time", "[policy][rollout]") {
    // Within it a bad version would get everything; after it, refusing for good helps nobody.
    policy::version_hold hold;
    CHECK(hold.set_order("engines", "v2", 10s, start_time));
    REQUIRE(hold.find_order("engines") != nullptr);
    const auto& order = *hold.find_order("engines");
    CHECK(order.to == "v2");
    CHECK(policy::version_hold::holds_back(order, false, start_time + 9s));
    CHECK_FALSE(policy::version_hold::holds_back(order, false, start_time + 10s));
    CHECK(policy::version_hold::holds_back(order, true, start_time + 1h));
    CHECK(hold.find_order("other") == nullptr);
    hold.withdraw_order("engines");
    CHECK(hold.find_order("engines") == nullptr);
}

TEST_CASE("an order that is read again begins no new time", "[policy][rollout]") {
    // Guards against a store that forgets its history, after which everything is read anew.
    policy::version_hold hold;
    CHECK(hold.set_order("engines", "v2", 10s, start_time));
    CHECK_FALSE(hold.set_order("engines", "v2", 10s, start_time + 9s));
    CHECK(hold.find_order("engines")->until == start_time + 10s);
    CHECK(hold.set_order("engines", "v3", 10s, start_time + 20s));
    CHECK(hold.find_order("engines")->until == start_time + 30s);
}

TEST_CASE("servers of a version that is rolled out are held back, whatever is known first",
          "[gateway][rollout]") {
    known_servers here;
    here.write("old", "engines#v1", 1);
    const bool is_server_first = GENERATE(true, false);
    if (is_server_first) {
        here.write("new", "engines#v2", 2);
        CHECK_FALSE(here.roster().is_held_back("new"));
    }
    here.roster().set_rollout({"engines", "v2", 10s});
    here.write("new", "engines#v2", 3);
    CHECK(here.roster().is_held_back("new"));
    CHECK_FALSE(here.roster().is_held_back("old"));
    here.write("new", "leaving engines#v2", 4);
    CHECK_FALSE(here.roster().is_held_back("new")); // it takes no work at all
    here.write("other", "plain#v2", 5);
    CHECK_FALSE(here.roster().is_held_back("other"));
    here.write("newer", "engines#v2", 6);
    CHECK(here.roster().is_held_back("newer"));
    here.roster().withdraw_rollout("engines");
    CHECK_FALSE(here.roster().is_held_back("newer"));
}

TEST_CASE("versions and orders mean the same to whoever reads them", "[platform][rollout]") {
    const auto order = platform::decode_rollout(platform::encode_rollout({"engines", "v2", 12s}));
    CHECK(order.service == "engines");
    CHECK(order.to == "v2");
    CHECK(order.duration == 12s);
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","duration_s":12})"));
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","to":"","duration_s":12})"));
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","to":"v2","duration_s":-1})"));
    CHECK_THROWS(platform::decode_rollout("v2"));
    constexpr std::string_view numbered =
        R"({"service":"engines","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","version":2})";
    CHECK(platform::decode_backend("a", numbered).version == "2");
    routing::backend_record record;
    record.id = "a";
    record.service = "engines";
    record.version = "v2";
    record.address = {boost::asio::ip::make_address("10.0.0.1"), 80};
    record.failure_domain = "a";
    CHECK(platform::decode_backend("a", platform::encode_backend(record)).version == "v2");
}
