// Tests of what is known of the rate limits that backend servers name: their notation, the order of two
// answers, and times around a pause of the process.
#include "coordination/rate_limit_exchange.hpp"
#include "platform/rate_limit_codec.hpp"
#include "policy/pause_detector.hpp"
#include "policy/rate_limit_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

using namespace borageford;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr server_key server = 5;
const time_point begin = time_point() + 1h;

/// Makes notices with distinct ids.
class notice_maker {
public:
    rate_limit_notice make(std::optional<double> limit, duration asked, duration heard) {
        return {server, ++m_last_id, limit, begin + asked, begin + heard, 1};
    }

private:
    std::uint64_t m_last_id = 0;
};

} // namespace

TEST_CASE("a rate limit is a plain decimal number", "[rate_limit][platform]") {
    CHECK(platform::decode_rate_limit("1.6") == 1.6);
    CHECK(platform::decode_rate_limit("0") == 0);
    CHECK(platform::decode_rate_limit("250") == 250);
    CHECK(platform::decode_rate_limit("0." + std::string(400, '3')) == Approx(1.0 / 3));
    for (const auto* text : {"", "ten", "-1", "+1", "NaN", "nan", "inf", "infinity", "1e308", "0x10", "1,6",
                             "1.2.3", ".", " 1", "1 ", "1;q=2"}) {
        CHECK_THROWS_AS(platform::decode_rate_limit(text), std::invalid_argument);
    }
    CHECK_THROWS_AS(platform::decode_rate_limit(std::string(400, '9')), std::invalid_argument);
}

TEST_CASE("an encoded rate limit is decoded to the same number", "[rate_limit][platform]") {
    for (const double limit : {0.0, 0.001, 1.6, 250.0, 1e300}) {
        CHECK(platform::decode_rate_limit(platform::encode_rate_limit(limit)) == limit);
    }
}

TEST_CASE("a limit holds until an answer without one", "[rate_limit]") {
    notice_maker notices;
    rate_limit_table table;
    CHECK_FALSE(table.observe(notices.make(std::nullopt, 0ms, 10ms), begin));
    CHECK(table.is_empty());
    const auto named = table.observe(notices.make(1.6, 20ms, 30ms), begin);
    REQUIRE(named);
    CHECK_FALSE(named->former);
    CHECK(table.limit_of(server) == 1.6);
    CHECK_FALSE(table.observe(notices.make(1.6, 40ms, 50ms), begin));
    table.expire(begin + 1h, [](server_key) { return true; });
    CHECK(table.limit_of(server) == 1.6);
    const auto ended = table.observe(notices.make(std::nullopt, 1h, 1h + 1ms), begin);
    REQUIRE(ended);
    CHECK(ended->former == 1.6);
    CHECK_FALSE(table.limit_of(server));
}

TEST_CASE("an earlier answer that is heard late doesn't replace a later one", "[rate_limit]") {
    // Two gateways receive answers of one server, and the news of the earlier answer arrives last. If it
    // counted as the later one, a limit would come back after its end, or end while the server still names
    // it.
    notice_maker notices;
    rate_limit_table table;
    const auto early_limit = notices.make(1, 0ms, 100ms);
    const auto late_end = notices.make(std::nullopt, 200ms, 300ms);
    static_cast<void>(table.merge(late_end, begin));
    CHECK_FALSE(table.merge(early_limit, begin));
    CHECK_FALSE(table.limit_of(server));

    const auto new_limit = notices.make(2, 400ms, 500ms);
    static_cast<void>(table.merge(new_limit, begin));
    CHECK_FALSE(table.merge(late_end, begin));
    CHECK(table.limit_of(server) == 2);
}

TEST_CASE("of two answers whose order isn't known the smaller limit is in force", "[rate_limit]") {
    // A long request was sent before the server named a limit and is answered after that. Which of the two
    // answers the server wrote first isn't known; ending the limit too early would send it more than it
    // accepts.
    notice_maker notices;
    const auto limit = notices.make(1, 100ms, 200ms);
    const auto overlapping_end = notices.make(std::nullopt, 0ms, 300ms);
    for (const bool is_limit_first : {true, false}) {
        rate_limit_table table;
        static_cast<void>(table.merge(is_limit_first ? limit : overlapping_end, begin));
        static_cast<void>(table.merge(is_limit_first ? overlapping_end : limit, begin));
        CHECK(table.limit_of(server) == 1);
        static_cast<void>(table.merge(notices.make(std::nullopt, 300ms, 310ms), begin));
        CHECK_FALSE(table.limit_of(server));
    }
}

TEST_CASE("a notice that comes back with other times changes nothing", "[rate_limit]") {
    // Notices travel on several paths, and on each of them their age is rounded. If a returning notice
    // counted as newer, two gateways could keep a limit alive between them that the server has long ended.
    notice_maker notices;
    rate_limit_table table;
    auto limit = notices.make(1, 0ms, 10ms);
    static_cast<void>(table.merge(limit, begin));
    limit.heard += 500ms;
    CHECK_FALSE(table.merge(limit, begin));
    static_cast<void>(table.merge(notices.make(std::nullopt, 20ms, 30ms), begin));
    CHECK_FALSE(table.limit_of(server));
}

TEST_CASE("a changed limit is sent at once and all others in turn", "[rate_limit]") {
    rate_limit_table table;
    constexpr std::uint64_t servers = 100;
    for (std::uint64_t key = 1; key <= servers; ++key) {
        static_cast<void>(table.merge({key, key, 1.0, begin, begin, 1}, begin));
    }
    const auto later = begin + 10s;
    const auto changed = table.merge({50, 1000, 2.0, begin + 9s, begin + 10s, 1}, later);
    REQUIRE(changed);
    std::set<server_key> sent;
    for (int heartbeat = 0; heartbeat < 25; ++heartbeat) {
        const auto notices = table.take_next(later);
        CHECK(notices.size() <= 20);
        CHECK(std::ranges::count(notices, server_key(50), &rate_limit_notice::server) == 1);
        for (const auto& notice : notices) {
            sent.insert(notice.server);
        }
    }
    CHECK(sent.size() == servers);
}

TEST_CASE("limits of servers that are gone are forgotten, and so are ended limits", "[rate_limit]") {
    notice_maker notices;
    rate_limit_table table;
    static_cast<void>(table.merge(notices.make(1, 0ms, 0ms), begin));
    table.expire(begin + 59s, [](server_key) { return false; });
    CHECK(table.limit_of(server) == 1);
    table.expire(begin + 61s, [](server_key) { return false; });
    CHECK(table.is_empty());
    static_cast<void>(table.merge(notices.make(std::nullopt, 0ms, 0ms), begin));
    table.expire(begin + 31s, [](server_key) { return true; });
    CHECK(table.is_empty());
}

TEST_CASE("bytes that are read after a pause may have arrived at its begin", "[rate_limit]") {
    // A gateway's machine freezes with an answer in its socket, and reads it seconds later. The answer isn't
    // newer than what other gateways have heard meanwhile.
    pause_detector pauses(begin);
    CHECK(pauses.update(begin + 50ms, 0ms) == 0ms);
    CHECK(pauses.earliest_arrival(begin + 60ms) == begin + 60ms);
    CHECK(pauses.update(begin + 4s, 0ms) == 0ms);
    CHECK(pauses.earliest_arrival(begin + 4s) == begin + 50ms);
    CHECK(pauses.correct(begin) == begin);
    CHECK(pauses.update(begin + 4s + 50ms, 0ms) == 0ms);
    CHECK(pauses.earliest_arrival(begin + 4s + 150ms) == begin + 4s + 150ms);
}

TEST_CASE("a suspension that the steady clock missed sets earlier times back", "[rate_limit]") {
    // The steady clock stands still while the machine is suspended. Without the correction, what was heard
    // before it would look seconds younger than it is, and win against what others heard meanwhile.
    pause_detector pauses(begin);
    CHECK(pauses.update(begin, 10s) == 0s);
    CHECK(pauses.update(begin + 50ms, 13s) == 3s);
    CHECK(pauses.correct(begin + 20ms) == begin + 20ms - 3s);
    CHECK(pauses.earliest_arrival(begin + 60ms) == begin - 3s);
    CHECK(pauses.update(begin + 100ms, 13s) == 0s);
    CHECK(pauses.correct(begin + 90ms) == begin + 90ms);
}

TEST_CASE("two gateways that can't reach each other learn of a limit from a third one", "[rate_limit]") {
    // The path between the gateway that hears a limit and the coordinator is cut, and both reach another
    // gateway.
    const auto ignore = [](const rate_limit_table::change&) {
    };
    coordination::rate_limit_exchange hearing(1, 11, ignore);
    coordination::rate_limit_exchange between(2, 12, ignore);
    coordination::rate_limit_exchange coordinating(3, 13, ignore);
    hearing.observe(server, 1.6, std::chrono::steady_clock::now());
    between.merge(hearing.take_next());
    coordinating.merge(between.take_next());
    CHECK(coordinating.limit_of(server) == 1.6);
    hearing.observe(server, std::nullopt, std::chrono::steady_clock::now());
    between.merge(hearing.take_next());
    coordinating.merge(between.take_next());
    CHECK_FALSE(coordinating.limit_of(server));
}

TEST_CASE("a process that restarts under its address is sent all limits again", "[rate_limit]") {
    coordination::rate_limit_exchange exchange(1, 11, [](const rate_limit_table::change&) {});
    for (server_key key = 1; key <= 30; ++key) {
        exchange.observe(key, 1, std::chrono::steady_clock::now());
    }
    CHECK(exchange.is_new_process(2, 21));
    CHECK_FALSE(exchange.is_new_process(2, 21));
    CHECK(exchange.is_new_process(2, 22));
    std::size_t notices = 0;
    for (const auto& part : exchange.list_for_new_process()) {
        CHECK(part.size() <= 24);
        notices += part.size();
    }
    CHECK(notices == 30);
}
