// Tests of recorder: each audit record is written to the object store exactly once, also if the store is down
// for a while or its answers are lost.
#include "audit/batch.hpp"
#include "audit/recorder.hpp"
#include "store/object_store.hpp"
#include "support/object_store_stub.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford;
using namespace std::chrono_literals;

namespace {

constexpr auto guard = 20s; ///< timeout of a test, so that it can't hang

struct fixture {
    boost::asio::io_context context;
    test::object_store_stub stub{context.get_executor()};
    store::object_store store{context.get_executor(), stub.address(), 2s};
    timer_service timers;

    audit::recorder_settings settings(std::chrono::milliseconds period) const {
        audit::recorder_settings chosen;
        chosen.vm = "entry-1";
        chosen.role = "entry";
        chosen.flush_period = period;
        return chosen;
    }

    /// Runs the event loop until a callback of the test calls context.stop().
    void run() {
        context.restart();
        context.run_for(guard);
        REQUIRE(context.stopped());
    }

    std::vector<audit::record> written() const {
        std::vector<audit::record> out;
        for (const auto& [key, bytes] : stub.objects) {
            const auto batch = audit::decode_batch(bytes);
            out.insert(out.end(), batch.records.begin(), batch.records.end());
        }
        return out;
    }
};

audit::record make_record(audit::event what) {
    audit::record entry;
    entry.what = what;
    entry.request = {1, 2};
    return entry;
}

} // namespace

TEST_CASE("a graceful shutdown writes all records and marks the last batch", "[audit]") {
    fixture parts;
    audit::recorder recorder(parts.context.get_executor(), parts.timers, parts.store, parts.settings(1h));
    recorder.start();
    recorder.record(make_record(audit::event::received));
    recorder.record(make_record(audit::event::answered));
    recorder.flush(10s, [&] { parts.context.stop(); });
    parts.run();
    REQUIRE(parts.stub.objects.size() == 1);
    CHECK(audit::decode_batch(parts.stub.objects.begin()->second).is_last);
    CHECK(parts.written().size() == 2);
    CHECK(recorder.held_records() == 0);
    CHECK(recorder.lost_records() == 0);
}

TEST_CASE("records made during an outage of the store are written after it", "[audit]") {
    // The object store refuses writes for a while. Requests continue, and an auditor must later find their
    // records as if there had been no outage.
    fixture parts;
    parts.stub.is_unavailable = true;
    audit::recorder recorder(parts.context.get_executor(), parts.timers, parts.store, parts.settings(5ms));
    recorder.start();
    recorder.record(make_record(audit::event::received));
    parts.stub.after_put = [&] {
        parts.context.stop();
    };
    const auto restore = parts.timers.after(parts.context.get_executor(), 50ms, [&] {
        CHECK(recorder.held_records() == 1);
        parts.stub.is_unavailable = false;
    });
    parts.run();
    CHECK(parts.written().size() == 1);
}

TEST_CASE("a batch that is written again after a lost answer is stored once", "[audit]") {
    // The store accepted the batch and the connection broke before the answer, so the batch is written again.
    // If it were stored twice, an auditor would see two dispatches instead of one.
    fixture parts;
    parts.stub.lost_answers = 2;
    audit::recorder recorder(parts.context.get_executor(), parts.timers, parts.store, parts.settings(5ms));
    recorder.start();
    recorder.record(make_record(audit::event::started));
    parts.stub.after_put = [&] {
        if (parts.stub.puts == 3) {
            parts.context.stop();
        }
    };
    parts.run();
    CHECK(parts.stub.objects.size() == 1);
    CHECK(parts.written().size() == 1);
}

TEST_CASE("a graceful shutdown doesn't wait for a store that is down", "[audit]") {
    // The platform is down while an operator restarts the process. Records that can't be written must not
    // prevent the restart.
    fixture parts;
    parts.stub.is_unavailable = true;
    audit::recorder recorder(parts.context.get_executor(), parts.timers, parts.store, parts.settings(1h));
    recorder.record(make_record(audit::event::received));
    recorder.flush(50ms, [&] { parts.context.stop(); });
    parts.run();
    CHECK(parts.stub.objects.empty());
    CHECK(recorder.held_records() == 1);
}
