// Fuzz tests of the decoders for what other programs write and a gateway reads: rows of servers,
// configurations and datagrams of other gateways. Damaged input is either rejected with an exception or
// decoded into a value that can be encoded again.
#include "coordination/message.hpp"
#include "fuzz/mutator.hpp"
#include "platform/backend_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/rate_limit_codec.hpp"
#include "routing/routing_table.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

using namespace borageford;

namespace {

constexpr std::uint64_t first_seed = 20261203;
constexpr int iterations = 60'000;

const std::vector<std::string> registrations{
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":8,"state":"ready",
        "cold_remaining_ms":0,"sequence":4,"born":1764800000000})",
    R"({"state":"draining","slots":"8","address":"[::1]:1","zone":null,"service":"s","born":-1.5e300})",
    R"({"slots":18446744073709551615,"cold_remaining_ms":1e308,"address":":","state":{},"zone":[[[[]]]]})",
};

const std::vector<std::string> configurations{
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","type":"streaming","timeout_ms":4000,
        "target_latency_ms":500,"priority":1,"service":"s","max_attempts":2,"sticky":true,"resumable":true,
        "traffic_split":[{"service":"s","weight":90}]}],"services":[{"name":"s","max_connections":610,
        "engine":{"slots":8,"kv_capacity":375171,"stride":4}}],"limits":{"idle_timeout_ms":15000},
        "tenants":[{"name":"t","api_keys":["k"],"priority":1,"unit":"tokens","rate_per_s":1.5,"burst":9}]})",
    R"({"version":-1,"routes":{},"services":[{"name":7,"max_connections":1e308}],"limits":[],"tenants":[[]]})",
};

/// An encoded datagram with one item of each kind.
std::string full_datagram() {
    coordination::datagram message;
    message.sender.incarnation = 7;
    message.sender.processor_share = 0.5;
    message.session = 9;
    message.batch = 1;
    message.known = {1, 2, 3};
    message.items.asks.emplace_back().ticket = 5;
    message.items.holds.push_back({4, 1, 2, 3, {10, 20}});
    message.items.withdrawals = {8};
    message.items.releases.push_back({4, 1, policy::slot_outcome::served, {}, {}});
    message.items.grants.push_back({5, 1});
    message.items.rate_limits.push_back({1, 2, 1.6, {}, {}, 3});
    message.items.refusals.push_back({6, policy::refusal_reason::overloaded, std::chrono::milliseconds(400)});
    const auto bytes = coordination::encode(message, policy::time_point{});
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Decodes mutations of the samples and counts those for which `decode` throws no exception.
template <typename Decode>
int count_accepted(const std::vector<std::string>& samples, Decode decode) {
    test::mutator mutations(first_seed);
    int accepted = 0;
    for (int index = 0; index < iterations; ++index) {
        const auto input = mutations.mutate(samples);
        try {
            decode(input);
            ++accepted;
        } catch (const std::exception&) {
            continue; // rejected
        }
    }
    return accepted;
}

} // namespace

TEST_CASE("damaged rows of servers are rejected or describe one valid server", "[fuzz][registration]") {
    const auto accepted = count_accepted(registrations, [](const std::string& input) {
        const auto record = platform::decode_backend("id", input);
        REQUIRE(record.slots >= 1);
        REQUIRE(record.address.port() != 0);
        REQUIRE(platform::decode_backend("id", platform::encode_backend(record)).key() == record.key());
    });
    CHECK(accepted > 0);
}

TEST_CASE("server ids that would break a header field are rejected", "[fuzz][registration]") {
    const std::vector<std::string> ids{"i-7f3a91c2", "i\r\nX: y", std::string("\0\t ", 3)};
    const auto accepted = count_accepted(ids, [](const std::string& id) {
        const auto record = platform::decode_backend(id, registrations.front());
        REQUIRE(record.id.find_first_of(std::string("\r\n\0 \t", 5)) == std::string::npos);
    });
    CHECK(accepted > 0);
}

TEST_CASE("damaged rate limits are rejected or are finite numbers of requests", "[fuzz][rate_limit]") {
    const std::vector<std::string> limits{"1.6",   "0",  "0.0001", "12345678901234567890",
                                          "1e308", "-1", "nan",    "inf"};
    const auto accepted = count_accepted(limits, [](const std::string& input) {
        const auto limit = platform::decode_rate_limit(input);
        REQUIRE(std::isfinite(limit));
        REQUIRE(limit >= 0);
    });
    CHECK(accepted > 0);
}

TEST_CASE("damaged configurations are rejected or can be applied", "[fuzz][configuration]") {
    const auto accepted = count_accepted(configurations, [](const std::string& input) {
        const auto document = platform::decode_configuration(input);
        const routing::routing_table table(document);
        static_cast<void>(table.find_route("h", "/p/x"));
        static_cast<void>(platform::encode_configuration(document));
    });
    CHECK(accepted > 0);
}

TEST_CASE("damaged datagrams are dropped or can be encoded again", "[fuzz][coordination]") {
    const auto accepted = count_accepted({full_datagram()}, [](const std::string& input) {
        const auto now = policy::time_point(std::chrono::hours(1));
        const auto bytes = std::as_bytes(std::span(input));
        const auto message = coordination::decode(bytes, now);
        if (!message.has_value()) {
            throw std::invalid_argument("dropped");
        }
        static_cast<void>(coordination::encode(*message, now));
    });
    CHECK(accepted > 0);
}
