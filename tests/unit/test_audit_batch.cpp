// Tests of audit batches: encoding and decoding of batches, their keys and request ids, and the backlog,
// which replaces batches by gap records when memory is full.
#include "audit/backlog.hpp"
#include "audit/batch.hpp"
#include "audit/batch_key.hpp"
#include "audit/request_identifier.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace std::chrono_literals;
using std::chrono::system_clock;

namespace {

const system_clock::time_point noon = std::chrono::sys_days(std::chrono::year(2026) / 12 / 2) + 12h;

audit::record make_record(std::chrono::microseconds after_noon, audit::event what) {
    audit::record entry;
    entry.time = noon + after_noon;
    entry.what = what;
    entry.request = {1, 2};
    entry.workspace = "reader \"one\"";
    entry.tier = 2;
    entry.target = "pluma";
    entry.revision = 7;
    return entry;
}

audit::batch make_batch() {
    auto refused = make_record(3us, audit::event::refused);
    refused.dispatch = {3, 4};
    refused.backend_server = "pluma-1";
    refused.reason = error_kind::overloaded;
    refused.detail = "queue full";
    return {{"entry", "entry-1", ""}, false, {make_record(0us, audit::event::received), refused}};
}

audit::backlog make_backlog(std::size_t batch, std::size_t memory) {
    return {{"sidecar", "vm-9", "pluma-1"}, {5, 6}, {batch, memory}};
}

} // namespace

TEST_CASE("every event can be found by its name", "[audit]") {
    for (int value = 0; value <= static_cast<int>(audit::event::gap); ++value) {
        const auto what = static_cast<audit::event>(value);
        CHECK(audit::find_event(audit::to_string(what)) == what);
    }
    CHECK_FALSE(audit::find_event("nothing"));
}

TEST_CASE("decoding an encoded batch restores its records", "[audit]") {
    const auto written = make_batch();
    const auto read = audit::decode_batch(audit::encode_batch(written));
    CHECK(read.origin.role == "entry");
    CHECK(read.origin.vm == "entry-1");
    CHECK_FALSE(read.is_last);
    REQUIRE(read.records.size() == 2);
    CHECK(read.records[0].what == audit::event::received);
    CHECK(read.records[0].time == noon);
    CHECK(read.records[0].workspace == "reader \"one\"");
    CHECK(read.records[0].dispatch.is_none());
    const auto& refused = read.records[1];
    CHECK(refused.time == noon + 3us);
    CHECK(refused.request == request_id{1, 2});
    CHECK(refused.dispatch == dispatch_id{3, 4});
    CHECK(refused.backend_server == "pluma-1");
    CHECK(refused.tier == 2);
    CHECK(refused.target == "pluma");
    CHECK(refused.revision == 7);
    CHECK(refused.reason == error_kind::overloaded);
    CHECK(refused.detail == "queue full");
}

TEST_CASE("a truncated batch is an error and isn't read as a shorter batch", "[audit]") {
    // The connection to the object store breaks in the middle of a read. If the received part were accepted,
    // an auditor could see a request that was received but not its refusal.
    const auto text = audit::encode_batch(make_batch());
    for (std::size_t length = 0; length < text.size(); ++length) {
        CHECK_THROWS_AS(audit::decode_batch(std::string_view(text).substr(0, length)), audit::batch_error);
    }
    CHECK_THROWS_AS(audit::decode_batch(R"({"format":2})"
                                        "\n"),
                    audit::batch_error);
}

TEST_CASE("parsing the key of a batch restores its parts", "[audit]") {
    const audit::batch_key key{
        std::chrono::floor<std::chrono::minutes>(noon + 7min), "sidecar", "a/b 1", 12, {1, 2}};
    const auto text = key.to_string();
    CHECK(text == "audit/2026-12-02/12/07/sidecar/a~2Fb~201/00000012-00000000000000010000000000000002");
    CHECK(text.starts_with(audit::key_prefix(key.minute, "sidecar", "a/b 1")));
    const auto read = audit::batch_key::parse(text);
    REQUIRE(read);
    CHECK(read->minute == key.minute);
    CHECK(read->role == "sidecar");
    CHECK(read->writer == "a/b 1");
    CHECK(read->sequence == 12);
    CHECK(read->incarnation == identifier{1, 2});
    CHECK_FALSE(audit::batch_key::parse("audit/2026-12-02/12/07/sidecar/x/12"));
    CHECK_FALSE(audit::batch_key::parse("audit/2026-13-02/12/07/sidecar/x/00000012-" + std::string(32, '0')));
    CHECK_FALSE(audit::batch_key::parse("elsewhere/2026-12-02/12/07/sidecar/x/1-" + std::string(32, '0')));
}

TEST_CASE("a request id contains the time and the entry at which the request was received", "[audit]") {
    const auto request = audit::make_request_identifier("entry-1", noon + 12ms);
    CHECK(audit::start_time(request) == noon + 12ms);
    CHECK(audit::may_come_from(request, "entry-1"));
    CHECK_FALSE(audit::may_come_from(request, "entry-2"));
    CHECK(audit::make_request_identifier("entry-1", noon) != audit::make_request_identifier("entry-1", noon));
}

TEST_CASE("a batch is closed when it is full or at the end of a period", "[audit]") {
    auto backlog = make_backlog(2, 100);
    backlog.close(noon, false);
    CHECK(backlog.closed_batches() == 0);
    backlog.add(make_record(0us, audit::event::queued));
    CHECK(backlog.closed_batches() == 0);
    backlog.add(make_record(1us, audit::event::granted));
    CHECK(backlog.closed_batches() == 1);
    backlog.add(make_record(2us, audit::event::started));
    backlog.close(noon + 1min, true);
    CHECK(backlog.closed_batches() == 2);
    CHECK(backlog.held_records() == 3);

    const auto first = backlog.begin_write();
    REQUIRE(first);
    CHECK(first->key.starts_with("audit/2026-12-02/12/00/sidecar/pluma-1/00000001-"));
    backlog.end_write(first->sequence, true);
    const auto second = backlog.begin_write();
    REQUIRE(second);
    CHECK(second->key.starts_with("audit/2026-12-02/12/01/sidecar/pluma-1/00000002-"));
    CHECK(audit::decode_batch(second->text).is_last);
    backlog.end_write(second->sequence, true);
    CHECK(backlog.held_records() == 0);
    CHECK_FALSE(backlog.begin_write());
}

TEST_CASE("when memory is full the oldest batch is replaced by a gap under the same key", "[audit]") {
    // The object store is down for hours and a busy process reaches its memory limit for records. Memory must
    // stay bounded, and an auditor who later searches that time must find out how many records were lost.
    auto backlog = make_backlog(2, 4);
    for (int index = 0; index < 7; ++index) {
        backlog.add(make_record(std::chrono::seconds(index), audit::event::queued));
    }
    CHECK(backlog.held_records() <= 4);
    CHECK(backlog.lost_records() == 4);
    const auto gap = backlog.begin_write();
    REQUIRE(gap);
    CHECK(gap->sequence == 1);
    const auto read = audit::decode_batch(gap->text);
    REQUIRE(read.records.size() == 1);
    CHECK(read.records[0].what == audit::event::gap);
    CHECK(read.records[0].time == noon);
    CHECK(read.records[0].detail.starts_with("2 records of 1 s"));
}

TEST_CASE("a batch that is being written isn't replaced by a gap", "[audit]") {
    // The store is slow but not down: the write of a batch takes effect after memory has become full. If the
    // batch were replaced by a gap in the meantime, the gap would later overwrite the written records.
    auto backlog = make_backlog(2, 2);
    backlog.add(make_record(0us, audit::event::queued));
    backlog.add(make_record(1us, audit::event::granted));
    const auto writing = backlog.begin_write();
    REQUIRE(writing);
    for (int index = 0; index < 4; ++index) {
        backlog.add(make_record(std::chrono::seconds(index), audit::event::queued));
    }
    backlog.end_write(writing->sequence, true);
    CHECK(backlog.lost_records() == 4);
    const auto next = backlog.begin_write();
    REQUIRE(next);
    CHECK(next->sequence == 2);
}

TEST_CASE("gaps are joined so that they don't fill the memory", "[audit]") {
    // During an outage of several days the gaps themselves must be joined. The joined gap must contain the
    // number of all records that were lost.
    auto backlog = make_backlog(1, 0);
    const std::size_t records = audit::backlog::gap_limit + 50;
    for (std::size_t index = 0; index < records; ++index) {
        backlog.add(make_record(std::chrono::seconds(index), audit::event::queued));
    }
    CHECK(backlog.closed_batches() <= audit::backlog::gap_limit);
    CHECK(backlog.lost_records() == records);
    const auto joined = backlog.begin_write();
    REQUIRE(joined);
    CHECK(audit::decode_batch(joined->text).records.at(0).detail.starts_with("51 records"));
}
