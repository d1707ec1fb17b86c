// Tests of the search for audit records and of the explanations that describe_request() makes from them:
// records of entries and sidecars are found among the batches of many writers and combined into one text.
#include "audit/backlog.hpp"
#include "audit/record_finder.hpp"
#include "audit/request_description.hpp"
#include "audit/request_history.hpp"
#include "audit/request_identifier.hpp"
#include "store/object_store.hpp"
#include "support/object_store_stub.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <string>

using namespace borageford;
using namespace std::chrono_literals;
using audit::event;

namespace {

const audit::time_point noon = std::chrono::sys_days(std::chrono::year(2026) / 12 / 2) + 12h;
const dispatch_id first_dispatch{3, 1};
const dispatch_id second_dispatch{3, 2};

/// Backlogs of entries and sidecars whose batches the test closes, and a search that reads those batches.
struct fixture {
    boost::asio::io_context context;
    test::object_store_stub stub{context.get_executor()};
    store::object_store store{context.get_executor(), stub.address(), 10s};
    std::map<std::string, audit::backlog> writers;
    request_id request = audit::make_request_identifier("entry-1", noon);

    audit::backlog& writer(const std::string& name, const std::string& role) {
        const bool is_sidecar = role == "sidecar";
        const audit::batch_origin origin{role, is_sidecar ? "vm-of-" + name : name, is_sidecar ? name : ""};
        return writers.try_emplace(name, origin, identifier::random(), audit::backlog_limits{1000, 1000})
            .first->second;
    }

    audit::backlog& entry() { return writer("entry-1", "entry"); }
    audit::backlog& sidecar(const std::string& server) { return writer(server, "sidecar"); }

    audit::record make(std::chrono::milliseconds after_noon, event what, const dispatch_id& dispatch = {},
                       const std::string& server = {}) const {
        audit::record entry;
        entry.time = noon + after_noon;
        entry.what = what;
        entry.request = request;
        entry.dispatch = dispatch;
        entry.workspace = "tinta";
        entry.target = "pluma";
        entry.backend_server = server;
        entry.revision = 7;
        return entry;
    }

    audit::record make_refusal(std::chrono::milliseconds after_noon, error_kind reason) const {
        auto entry = make(after_noon, event::refused);
        entry.reason = reason;
        return entry;
    }

    /// Closes the backlog's open batch at this time and writes all its batches to the store.
    void close(audit::backlog& from, std::chrono::milliseconds after_noon) {
        from.close(noon + after_noon, false);
        while (const auto object = from.begin_write()) {
            stub.objects[object->key] = object->text;
            from.end_write(object->sequence, true);
        }
    }

    void close_all(std::chrono::milliseconds after_noon) {
        for (auto& [name, writer] : writers) {
            close(writer, after_noon);
        }
    }

    audit::search_result run_search(boost::asio::awaitable<audit::search_result> search) {
        auto answer = boost::asio::co_spawn(context, std::move(search), boost::asio::use_future);
        context.restart();
        while (answer.wait_for(0s) != std::future_status::ready && context.run_one_for(20s) > 0) {
        }
        REQUIRE(answer.wait_for(0s) == std::future_status::ready);
        return answer.get();
    }

    audit::search_result find(audit::time_point now = noon + 1h) {
        audit::record_finder record_finder(store, {}, [now] { return now; });
        return run_search(record_finder.find_request(request));
    }

    std::string explain(audit::time_point now = noon + 1h) {
        std::string text;
        for (const auto& line : audit::describe_request(request, find(now))) {
            text += line + "\n";
        }
        return text;
    }

    /// Adds the records of a request that was offered to two backend servers and ran on the second, up to the
    /// end of its dispatch. The entry's record of the outcome is left to the test.
    void serve() {
        auto& entry_side = entry();
        entry_side.add(make(0ms, event::received));
        entry_side.add(make(1ms, event::offered, first_dispatch, "pluma-1"));
        entry_side.add(make(1ms, event::offered, second_dispatch, "pluma-2"));
        entry_side.add(make(14ms, event::started, second_dispatch, "pluma-2"));
        sidecar("pluma-1").add(make(2ms, event::queued, first_dispatch, "pluma-1"));
        sidecar("pluma-1").add(make(16ms, event::withdrawn, first_dispatch, "pluma-1"));
        sidecar("pluma-2").add(make(2ms, event::queued, second_dispatch, "pluma-2"));
        sidecar("pluma-2").add(make(13ms, event::granted, second_dispatch, "pluma-2"));
        sidecar("pluma-2").add(make(15ms, event::started, second_dispatch, "pluma-2"));
        sidecar("pluma-2").add(make(900ms, event::ended, second_dispatch, "pluma-2"));
    }
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the explanation of a served request combines records of the entry and the sidecars", "[audit]") {
    fixture parts;
    parts.serve();
    parts.entry().add(parts.make(901ms, event::answered, second_dispatch, "pluma-2"));
    parts.close_all(30s);
    const auto text = parts.explain();
    INFO(text);
    CHECK(contains(text, "of workspace tinta, tier 0, for pluma, came in at entry entry-1 at "
                         "2026-12-02T12:00:00.000000Z under revision 7."));
    CHECK(contains(text, "It ran on pluma-2 under revision 7, which was the first"));
    CHECK(contains(text, "12.0 ms after the offer"));
    CHECK(contains(text, "Elsewhere: pluma-1 had no room for it by then."));
    CHECK(contains(text, "The caller had its whole answer at 2026-12-02T12:00:00.901000Z."));
    CHECK_FALSE(contains(text, "Missing:"));
    const auto json = audit::describe_request_as_json(parts.request, parts.find());
    CHECK(contains(json, "\"verdict\":\"served\""));
}

TEST_CASE("the number of batches that a search reads doesn't depend on the number of writers", "[audit]") {
    // A full-size system has 350 entries and 1,300 sidecars. A search that read all their batches would use
    // up the platform's read rate for seconds.
    fixture parts;
    parts.serve();
    parts.entry().add(parts.make(901ms, event::answered, second_dispatch, "pluma-2"));
    for (int index = 0; index < 200; ++index) {
        auto& other = parts.writer("other-" + std::to_string(index), index % 2 == 0 ? "entry" : "sidecar");
        auto entry = parts.make(5ms, event::received);
        entry.request = {1, 1};
        other.add(entry);
    }
    parts.close_all(30s);
    const auto found = parts.find();
    CHECK(found.records.size() == 11);
    CHECK(found.objects_read == 3);
    CHECK(parts.stub.lists <= 6);
}

TEST_CASE("the explanation of a refused request contains the reason of each backend server", "[audit]") {
    fixture parts;
    parts.entry().add(parts.make(0ms, event::received));
    parts.entry().add(parts.make(1ms, event::offered, first_dispatch, "pluma-1"));
    auto refusal = parts.make(2ms, event::refused, first_dispatch, "pluma-1");
    refusal.reason = error_kind::overloaded;
    refusal.detail = "queue full for tier 0";
    parts.sidecar("pluma-1").add(refusal);
    parts.entry().add(parts.make_refusal(3ms, error_kind::overloaded));
    parts.close_all(30s);
    const auto text = parts.explain();
    INFO(text);
    CHECK(contains(text, "It did not run. pluma-1 refused it as overloaded (queue full for tier 0)."));
    CHECK(contains(text, "Entry entry-1 refused it as overloaded at 2026-12-02T12:00:00.003000Z."));
}

TEST_CASE("a quarantined request is explained although no backend server received it", "[audit]") {
    fixture parts;
    parts.entry().add(parts.make(0ms, event::received));
    parts.entry().add(parts.make_refusal(1ms, error_kind::quarantined));
    parts.close_all(30s);
    const auto text = parts.explain();
    INFO(text);
    CHECK(contains(text, "It did not run."));
    CHECK(contains(text, "refused it as quarantined"));
    CHECK(contains(audit::describe_request_as_json(parts.request, parts.find()), "\"verdict\":\"not_run\""));
}

TEST_CASE("a request is explained from sidecars' records if its entry crashed without writing any",
          "[audit]") {
    // An entry is killed right after it started a request, before it wrote its batch. The auditor has the
    // request id from the caller's log and must find out that and where it ran, and that the entry's records
    // are missing.
    fixture parts;
    parts.serve();
    parts.close(parts.sidecar("pluma-1"), 30s);
    parts.close(parts.sidecar("pluma-2"), 95s);
    const auto text = parts.explain();
    INFO(text);
    CHECK(contains(text, "It ran on pluma-2"));
    CHECK(contains(text, "No entry left a record of it"));
    CHECK(contains(audit::describe_request_as_json(parts.request, parts.find()),
                   "\"verdict\":\"interrupted\""));
}

TEST_CASE("a search continues until the end of a request that ran for minutes", "[audit]") {
    fixture parts;
    parts.entry().add(parts.make(0ms, event::received));
    parts.entry().add(parts.make(1ms, event::offered, first_dispatch, "pluma-1"));
    parts.sidecar("pluma-1").add(parts.make(2ms, event::queued, first_dispatch, "pluma-1"));
    parts.sidecar("pluma-1").add(parts.make(3ms, event::started, first_dispatch, "pluma-1"));
    parts.close_all(30s);
    parts.sidecar("pluma-1").add(parts.make(280s, event::ended, first_dispatch, "pluma-1"));
    parts.entry().add(parts.make(280s, event::answered, first_dispatch, "pluma-1"));
    parts.close_all(300s);
    const auto text = parts.explain();
    INFO(text);
    CHECK(contains(text, "It ended there in full at 2026-12-02T12:04:40.000000Z."));
    CHECK(contains(text, "The caller had its whole answer"));
}

TEST_CASE("an explanation lists missing and unreadable records", "[audit]") {
    // Batches were lost in an outage, deleted from the store, truncated, or aren't written yet. Without a
    // remark, an auditor could take the missing records as proof that nothing happened.
    fixture parts;
    auto& entry = parts.entry();
    entry.add(parts.make(0ms, event::received));
    parts.close(entry, 1s);
    auto gap = parts.make(2s, event::gap);
    gap.request = {};
    gap.detail = "12 records of 3 s from here on were lost";
    entry.add(gap);
    parts.close(entry, 10s);
    entry.add(parts.make(20s, event::offered, first_dispatch, "pluma-1"));
    parts.close(entry, 20s);
    entry.add(parts.make_refusal(21s, error_kind::draining));
    parts.close(entry, 30s);

    SECTION("a gap") {
        CHECK(contains(parts.explain(),
                       "Missing: entry entry-1 lost records: from "
                       "2026-12-02T12:00:02.000000Z, 12 records of 3 s from here on were lost."));
    }
    SECTION("a deleted batch") {
        auto object = parts.stub.objects.begin();
        std::advance(object, 2);
        parts.stub.objects.erase(object);
        CHECK(contains(parts.explain(), "Missing: 1 batches of entry entry-1 between those read"));
    }
    SECTION("a truncated batch") {
        parts.stub.objects.begin()->second.resize(20);
        CHECK(contains(parts.explain(), "can't be read"));
    }
    SECTION("records not written yet") {
        CHECK(contains(parts.explain(noon + 40s), "may not be written yet"));
    }
    SECTION("an id of another system") {
        parts.request = {~0ULL, 1};
        CHECK(contains(parts.explain(), "no entry of this system made it"));
    }
}

TEST_CASE("an explanation points out that a request ran twice", "[audit]") {
    fixture parts;
    parts.serve();
    parts.sidecar("pluma-1").add(parts.make(17ms, event::started, first_dispatch, "pluma-1"));
    parts.close_all(30s);
    CHECK(contains(parts.explain(), "It ran 2 times, which must not happen"));
}

TEST_CASE("a start that the sidecar revoked doesn't count as a run", "[audit]") {
    fixture parts;
    parts.serve();
    auto taken_back = parts.make(17ms, event::refused, second_dispatch, "pluma-2");
    taken_back.reason = error_kind::no_backend_server;
    taken_back.detail = "never begun";
    parts.sidecar("pluma-2").add(taken_back);
    parts.entry().add(parts.make_refusal(20ms, error_kind::no_backend_server));
    parts.close_all(30s);
    CHECK(contains(parts.explain(), "It did not run."));
}

TEST_CASE("the requests of a workspace in a period of time are listed", "[audit]") {
    fixture parts;
    parts.serve();
    parts.entry().add(parts.make(901ms, event::answered, second_dispatch, "pluma-2"));
    auto other = parts.make(2s, event::received);
    other.request = {9, 9};
    other.workspace = "haian";
    parts.entry().add(other);
    parts.close_all(30s);
    audit::record_finder record_finder(parts.store, {}, [] { return noon + 1h; });
    const auto found = parts.run_search(record_finder.find_workspace("tinta", noon, noon + 1min));
    const auto lines = audit::list_requests("tinta", found, 10);
    REQUIRE(lines.size() == 1);
    CHECK(contains(lines[0], parts.request.to_string() + " tinta tier 0 pluma: served"));
    const auto all = parts.run_search(record_finder.find_workspace("", noon, noon + 1min));
    CHECK(audit::list_requests("", all, 10).size() == 2);
    CHECK(contains(audit::list_requests("", all, 1).back(), "1 more requests were left out"));
}

TEST_CASE("a search stops at its limit of batches and adds a remark", "[audit]") {
    fixture parts;
    for (int index = 0; index < 5; ++index) {
        parts.writer("entry-" + std::to_string(index), "entry").add(parts.make(1ms, event::received));
    }
    parts.close_all(30s);
    audit::record_finder_limits limits;
    limits.object_limit = 3;
    audit::record_finder record_finder(parts.store, limits, [] { return noon + 1h; });
    const auto found = parts.run_search(record_finder.find_workspace("", noon, noon + 1min));
    CHECK(found.objects_read == 3);
    REQUIRE(found.remarks.size() == 1);
    CHECK(contains(found.remarks[0], "those past that number were not"));
}
