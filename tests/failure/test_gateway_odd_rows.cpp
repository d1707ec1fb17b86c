// Tests that gateways go on following the tables of the store although another program has written rows into
// them that can't be read.
#include "platform/backend_codec.hpp"
#include "platform/header_field_names.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::size_t deep = 100'000;

/// A registration that could be read, with one more field.
std::string registration_with(const std::string& field) {
    return R"({"service":"engines","address":"127.0.0.9:7000","zone":"a","slots":4,"state":"ready",)" +
           field + "}";
}

std::string registration_at(const std::string& address) {
    return R"({"service":"engines","address":")" + address + R"(","zone":"a","slots":4,"state":"ready"})";
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Values that no server would write.
std::vector<std::string> odd_values() {
    return {std::string(deep, '['),
            nested(deep),
            registration_with(R"("x":)" + nested(deep / 20)),
            registration_with(R"("cold_remaining_ms":1e999)"),
            registration_with(R"("born":99999999999999999999999)"),
            registration_with(R"("version":1e400)"),
            registration_at("127.0.0.9:70000"),
            registration_at("127.0.0.9:-1"),
            registration_at("127.0.0.9:99999999999999999999"),
            R"({"service":"engines","address":7,"zone":null,"slots":18446744073709551616,"state":"ready"})",
            "",
            "null",
            "\xff\xfe",
            std::string("\0\0", 2)};
}

/// Names after which no server is called.
std::vector<std::string> odd_names() {
    return {"", "a/b", std::string(5000, 'k'), "q\n\"x", "\xff\xfe", std::string("\0", 1), "\xed\xa0\x80"};
}

void write_row(gateway_site& site, std::string key, std::string_view name, const std::string& value) {
    store::transaction change;
    change.puts.push_back({key.append("/").append(name), value});
    site.on_emulator([&] { static_cast<void>(site.store().rows().transact(change)); });
}

/// Writes a row for each odd value and for each odd name into a table.
void write_odd_rows(gateway_site& site, const std::string& table) {
    int number = 0;
    for (const auto& value : odd_values()) {
        write_row(site, table, "odd-" + std::to_string(number++), value);
    }
    for (const auto& name : odd_names()) {
        write_row(site, table, name, registration_at("127.0.0.9:7000"));
    }
}

http::request stream_call(const std::string& target, const std::string& id) {
    auto call = make_call(target, id);
    call.headers.push_back({platform::header_field_names().tokens, "10,24"});
    return call;
}

} // namespace

TEST_CASE("gateway: rows that can't be read don't keep gateways from following the others",
          "[gateway][odd_rows]") {
    // Guards against a gateway that stops or ends, since one row among those that it reads is odd.
    const std::string table = GENERATE("servers", "op", "status", "software");
    site_options options;
    options.gateways = 3;
    options.configuration = stream_configuration(true);
    options.backends = {engine_backend("engine-0")};
    gateway_site site(options);
    write_odd_rows(site, table);
    site.start_backend(1, engine_backend("engine-1"));
    for (std::size_t gateway = 0; gateway < options.gateways; ++gateway) {
        wait_until("it follows the changes",
                   [&] { return site.has_logged(gateway, R"("backend":"engine-1")"); });
    }
    site.process(0).kill();
    site.start_gateway(0);
    site.wait_until_ready(0);
    auto changed = options.configuration;
    ++changed.version;
    changed.routes.push_back(changed.routes.front());
    changed.routes.back().prefix = "/added/";
    site.configure(changed);
    int number = 0;
    for (std::size_t gateway = 0; gateway < options.gateways; ++gateway) {
        wait_until("it follows the configuration", [&] {
            const auto answer = site.send(gateway, stream_call("/added/x", std::to_string(number++)));
            return answer.status == 200 && answer.is_complete;
        });
    }
}

TEST_CASE("gateway: a record of the versions that can't be read is replaced", "[gateway][odd_rows]") {
    // Guards against gateways that refuse to resume streams after each start, for as long as the row stands.
    site_options options;
    options.configuration = stream_configuration(true);
    options.backends = {engine_backend("engine-0")};
    gateway_site site(options);
    const std::string odd = GENERATE(std::string(R"({"seven":[1]})"), std::string(R"({"7":["v1"]})"),
                                     std::string(R"({"7":[1e99]})"), nested(deep), std::string("\xff\xfe"));
    write_row(site, "software", "versions", odd);
    site.process(0).kill();
    site.start_gateway(0);
    wait_until("the record is replaced", [&] {
        return site.on_emulator([&] { return site.store().rows().read("software/versions")->value; }) != odd;
    });
}
