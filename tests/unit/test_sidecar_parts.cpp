// Tests the parts of a sidecar that need no sockets: dispatch_store, the answer checkers, plan_orders(),
// cached_block_index and the rows of crash marks.
#include "backend/answer_checker.hpp"
#include "sidecar/cached_block_index.hpp"
#include "sidecar/crash_marks.hpp"
#include "sidecar/dispatch_store.hpp"
#include "sidecar/engine_plan.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::sidecar;
using namespace std::chrono_literals;

namespace {

const time_point begin = time_point{} + 1h;

dispatch_store::record_pointer make_record(std::uint64_t number, std::uint64_t resend_key = 0) {
    auto record = std::make_shared<dispatch_record>();
    record->request.dispatch = {1, number};
    record->request.resend_key = resend_key;
    record->request.fingerprint = 5;
    return record;
}

/// Ends the record's answer with `bytes` bytes and hands it to the store to be kept.
void finish(dispatch_store& store, const dispatch_store::record_pointer& record, std::size_t bytes,
            time_point now, std::optional<error_kind> failure = std::nullopt) {
    REQUIRE(store.add_bytes(record->answer.length(), bytes));
    record->answer.append(std::string(bytes, 'x'));
    record->answer.end({failure, {}, {}});
    record->ended = now;
    store.keep(record, now);
}

} // namespace

TEST_CASE("kept answers are bounded by count, bytes and time, and running ones are never dropped",
          "[sidecar]") {
    // Entries may die before they acknowledge answers. The answers kept for them must not grow until the
    // sidecar runs out of memory.
    dispatch_store store({.kept_answers = 3, .memory = 1000, .retention = 1min});
    const auto running = make_record(100);
    store.add(running);
    REQUIRE(store.add_bytes(0, 500));
    running->answer.append(std::string(500, 'r'));
    for (std::uint64_t number = 0; number < 5; ++number) {
        const auto record = make_record(number);
        store.add(record);
        finish(store, record, 10, begin);
    }
    CHECK(store.kept_count() == 3);
    CHECK(store.memory() == 530);
    const auto large = make_record(50);
    store.add(large);
    finish(store, large, 490, begin + 1s);
    CHECK(store.memory() <= 1000);
    CHECK(store.kept_count() == 2);
    CHECK(store.find({1, 50}) == large);
    store.forget_old(begin + 61s);
    CHECK(store.kept_count() == 0);
    CHECK(store.find({1, 100}) == running);
    CHECK(store.memory() == 500);
    CHECK(store.running_count() == 1);
}

TEST_CASE("running answers that take all of the memory get no more than equal shares of it", "[sidecar]") {
    // A faulty server sends bodies without an end to several callers. Short answers still find room.
    constexpr std::uint64_t memory = 1000;
    constexpr std::uint64_t piece = 10;
    dispatch_store store({.memory = memory});
    const auto kept = make_record(100);
    store.add(kept);
    finish(store, kept, 500, begin);
    std::vector<dispatch_store::record_pointer> endless;
    for (std::uint64_t number = 0; number < 4; ++number) {
        endless.push_back(make_record(number));
        store.add(endless.back());
    }
    bool has_grown = true;
    while (has_grown) {
        has_grown = false;
        for (const auto& record : endless) {
            if (store.add_bytes(record->answer.length(), piece)) {
                record->answer.append(std::string(piece, 'x'));
                has_grown = true;
            }
        }
        REQUIRE(store.memory() <= memory);
    }
    CHECK(store.kept_count() == 0);
    CHECK(store.memory() == memory);
    const auto ordinary = make_record(50);
    store.add(ordinary);
    CHECK(store.add_bytes(0, piece));
}

TEST_CASE("resends find running and complete answers, not failed or acknowledged ones", "[sidecar]") {
    dispatch_store store({});
    const auto good = make_record(1, 11);
    const auto bad = make_record(2, 22);
    good->request.is_idempotent = true;
    store.add(good);
    store.add(bad);
    CHECK(store.find_resend(11, 5) == good);
    CHECK(store.find_resend(0, 5) == nullptr);
    CHECK(store.find_resend(11, 6) == nullptr);
    bad->is_cancelled = true; // The dispatch is about to end, so a resend must not find it.
    CHECK(store.find_resend(22, 5) == nullptr);
    finish(store, good, 1, begin);
    finish(store, bad, 1, begin, error_kind::backend_failed);
    CHECK(store.find_resend(11, 5) == good);
    CHECK(store.find_resend(22, 5) == nullptr);
    CHECK(store.has_undelivered(10s, begin + 9s));
    CHECK_FALSE(store.has_undelivered(10s, begin + 10s));
    store.acknowledge({1, 1});
    CHECK(store.find_resend(11, 5) == nullptr);
    CHECK_FALSE(store.has_undelivered(10s, begin));
    // A request that isn't idempotent stays in the store after its acknowledgement.
    const auto once = make_record(3);
    store.add(once);
    finish(store, once, 1, begin);
    CHECK(store.has_undelivered(10s, begin));
    store.acknowledge({1, 3});
    CHECK_FALSE(store.has_undelivered(10s, begin));
    CHECK(store.find({1, 3}) == once);
}

TEST_CASE("where a request was started elsewhere is remembered for a while, within a bound", "[sidecar]") {
    dispatch_store store({.known_elsewhere = 2, .known_elsewhere_time = 1min});
    store.remember_elsewhere(1, {{1, 1}, "pluma-1", 5}, begin);
    store.remember_elsewhere(2, {{1, 2}, "pluma-2", 5}, begin + 1s);
    store.remember_elsewhere(3, {{1, 3}, "pluma-3", 5}, begin + 2s);
    CHECK_FALSE(store.find_elsewhere(1, 5, begin + 2s).has_value());
    CHECK_FALSE(store.find_elsewhere(2, 6, begin + 2s).has_value());
    CHECK(store.find_elsewhere(2, 5, begin + 2s)->backend_server == "pluma-2");
    CHECK_FALSE(store.find_elsewhere(2, 5, begin + 61s).has_value());
    store.forget_old(begin + 63s);
    CHECK_FALSE(store.find_elsewhere(3, 5, begin + 3s).has_value());
}

TEST_CASE("a streamed answer is complete only with its closing event, however it is split into pieces",
          "[sidecar]") {
    // An engine that is stopped ends its HTTP body correctly in the middle of an answer. Without the check,
    // the caller would take the truncated answer for the complete one.
    const std::string stream = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
                               ": comment\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\r\n\r\n"
                               "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,"
                               "\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n"
                               "data: [DONE]\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        backend::event_stream_checker checker;
        std::size_t tokens = 0;
        for (std::size_t offset = 0; offset < stream.size(); offset += size) {
            tokens += checker.check(std::string_view(stream).substr(offset, size));
        }
        CHECK_NOTHROW(checker.finish());
        CHECK(tokens == 2);
        CHECK(checker.measured().cached_tokens == 5);
        CHECK(checker.measured().output_tokens == 2);
    }
    const auto done = stream.find("data: [DONE]\n") + 12;
    for (std::size_t length = 0; length <= done; ++length) {
        backend::event_stream_checker checker;
        checker.check(std::string_view(stream).substr(0, length));
        CHECK_THROWS_AS(checker.finish(), backend::backend_error);
    }
}

TEST_CASE("text that is not an event, or follows the closing event, is an error", "[sidecar]") {
    for (const auto* text :
         {"hello\n", "data: {\"cut\": \n", "data: 7\n", "<html>\n", "data: [DONE]\ndata: {}\n"}) {
        backend::event_stream_checker checker;
        CHECK_THROWS_AS(checker.check(text), backend::backend_error);
    }
    backend::event_stream_checker checker;
    CHECK_THROWS_AS(checker.check(std::string(backend::event_stream_checker::line_limit + 1, 'x')),
                    backend::backend_error);
    for (const auto* text : {"", "[]", "{\"cut\":", "{} {}"}) {
        CHECK_THROWS_AS(backend::check_complete_answer(text), backend::backend_error);
    }
    CHECK(backend::check_complete_answer(R"({"usage":{"completion_tokens":3}})").output_tokens == 3);
}

TEST_CASE("orders cover only the differences: the role first, loads before unloads", "[sidecar]") {
    configuration::configuration wanted;
    wanted.models.resize(2);
    wanted.models[0].name = "pluma";
    wanted.models[0].version = "2";
    wanted.models[1].name = "estante";
    wanted.models[1].version = "1";
    configuration::backend_server server;
    server.models = {"pluma", "estante"};
    server.adapters = {"tono"};
    server.role = "decode";
    backend::engine_state now;
    now.models = {{"pluma", "1"}, {"viejo", "1"}};
    now.adapters = {"antiguo"};
    const auto orders = plan_orders(wanted, server, now);
    using enum backend::order_kind;
    const std::vector<backend::order> expected{
        {0, set_role, "decode", ""},   {0, load_model, "pluma", "2"},      {0, load_model, "estante", "1"},
        {0, load_adapter, "tono", ""}, {0, unload_adapter, "antiguo", ""}, {0, unload_model, "viejo", "1"}};
    CHECK(orders == expected);
    now.models = {{"pluma", "2"}, {"estante", "1"}};
    now.adapters = {"tono"};
    now.role = "decode";
    CHECK(plan_orders(wanted, server, now).empty());
}

TEST_CASE("cached blocks count from the prompt's beginning without a gap, within a bound", "[sidecar]") {
    cached_block_index memory(3);
    const std::array<std::uint64_t, 3> prompt{1, 2, 3};
    memory.add(prompt);
    CHECK(memory.cached_tokens(prompt) == 3 * cached_block_index::tokens_per_block);
    memory.remove(std::array<std::uint64_t, 1>{2});
    CHECK(memory.cached_tokens(prompt) == cached_block_index::tokens_per_block);
    memory.add(std::array<std::uint64_t, 3>{7, 8, 9});
    CHECK(memory.size() == 3);
    CHECK(memory.cached_tokens(prompt) == 0);
}

TEST_CASE("rows of crash marks are decoded as they were encoded, and invalid rows are refused", "[sidecar]") {
    CHECK(marks::key_for(0x2a) == "mark/000000000000002a");
    const std::vector<crash_mark> written{{{1, 2}, "pluma-1", 1700000000000}};
    const auto decoded = marks::decode_row(marks::encode_row(written));
    REQUIRE(decoded.size() == 1);
    CHECK(decoded.front().mark == written.front().mark);
    CHECK(decoded.front().backend_server == "pluma-1");
    CHECK(decoded.front().time == 1700000000000);
    for (const auto* text :
         {"", "{}", R"({"marks":[{}]})", R"({"marks":[{"mark":"x","backend_server":"a","time":1}]})"}) {
        CHECK_THROWS_AS(marks::decode_row(text), std::invalid_argument);
    }
}
