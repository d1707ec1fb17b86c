// Tests of configuration_follower: the revision in force in a process increases as revisions are committed,
// and never decreases, even with stale reads of the table and outdated messages from peers.
#include "base/compression.hpp"
#include "configuration/configuration_follower.hpp"
#include "configuration/revision_store.hpp"
#include "in_process_platform.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace borageford;
using configuration::revision_number;
using test::platform_timeout;

namespace {

std::string intent(int version) {
    return "[tier high]\nrank = 0\n[model m]\nversion = " + std::to_string(version) + "\n";
}

/// Records the revisions that the follower reported to its listener, and waits for a revision.
class change_log {
public:
    void add(revision_number revision) {
        const std::scoped_lock lock(m_mutex);
        m_seen.push_back(revision);
        m_changed.notify_all();
    }
    void wait_for(revision_number revision) {
        std::unique_lock lock(m_mutex);
        const bool has_come = m_changed.wait_for(
            lock, std::chrono::seconds(30), [&] { return !m_seen.empty() && m_seen.back() >= revision; });
        REQUIRE(has_come);
    }
    std::vector<revision_number> seen() {
        const std::scoped_lock lock(m_mutex);
        return m_seen;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<revision_number> m_seen;
};

struct fixture {
    test::in_process_platform service;
    test::test_runtime runtime;
    timer_service timers;
    store::table table{runtime.executor(), service.address(), platform_timeout};
    store::object_store objects{runtime.executor(), service.address(), platform_timeout};
    configuration::revision_store store{table, objects};
    change_log changes;
    configuration::configuration_follower follower{runtime.executor(), timers, table,
                                                   std::chrono::milliseconds(10)};

    fixture() = default;
    ~fixture() { runtime.stop(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;

    void start() {
        follower.start([this](const auto& next) { changes.add(next->revision); });
    }
    void commit(revision_number on) {
        configuration::plan what;
        what.id = "plan-" + std::to_string(on);
        what.base = on;
        what.text = intent(static_cast<int>(on) + 1);
        runtime.wait_for(store.commit(what, "ana"));
    }
};

} // namespace

TEST_CASE("a follower finds each new revision by polling", "[configuration]") {
    fixture system;
    CHECK(system.follower.current()->is_empty());
    system.start();
    for (revision_number revision = 1; revision <= 3; ++revision) {
        system.commit(revision - 1);
        system.changes.wait_for(revision);
    }
    CHECK(system.follower.current()->find_model("m")->version == "3");
    CHECK(system.changes.seen() == std::vector<revision_number>{1, 2, 3});
}

TEST_CASE("a stale head row never makes a follower go back to an older revision", "[configuration]") {
    // A replica of the table lags behind and returns an old head row. Going back to its revision would undo a
    // change that was reported to an operator as in force.
    fixture system;
    system.commit(0);
    system.service.set_stale_reads(true);
    system.commit(1);
    REQUIRE(system.follower.apply_from_peer(2, deflate_text(intent(2))));
    system.start();
    system.changes.wait_for(2);
    system.follower.poll_soon();
    system.service.set_stale_reads(false);
    system.commit(2);
    system.changes.wait_for(3);
    CHECK(system.changes.seen() == std::vector<revision_number>{2, 3});
}

TEST_CASE("a configuration from a peer is accepted only if it is newer and valid", "[configuration]") {
    // The peer has an older revision, or the text in its message was damaged. In neither case may it replace
    // the configuration in force.
    fixture system;
    CHECK(system.follower.apply_from_peer(5, deflate_text(intent(5))));
    CHECK_FALSE(system.follower.apply_from_peer(5, deflate_text(intent(6))));
    CHECK_FALSE(system.follower.apply_from_peer(4, deflate_text(intent(4))));
    CHECK_FALSE(system.follower.apply_from_peer(6, deflate_text("[tier high\nrank = zero\n")));
    CHECK(system.follower.revision() == 5);
    CHECK(system.follower.current()->find_model("m")->version == "5");
}

TEST_CASE("during an outage of the table a follower gets new revisions from peers", "[configuration]") {
    fixture system;
    system.service.set_status(503);
    system.start();
    REQUIRE(system.follower.apply_from_peer(7, deflate_text(intent(7))));
    system.changes.wait_for(7);
    CHECK(system.follower.revision() == 7);
}

TEST_CASE("a wait for a newer revision ends when the revision is in force or at its time limit",
          "[configuration]") {
    fixture system;
    system.start();
    REQUIRE(system.follower.apply_from_peer(1, deflate_text(intent(1))));
    CHECK(system.runtime.wait_for(system.follower.wait_for_newer(0, std::chrono::hours(1))));
    CHECK_FALSE(system.runtime.wait_for(system.follower.wait_for_newer(1, std::chrono::milliseconds(1))));
    auto waiting = std::async(std::launch::async, [&system] {
        return system.runtime.wait_for(system.follower.wait_for_newer(1, std::chrono::hours(1)));
    });
    REQUIRE(system.follower.apply_from_peer(2, deflate_text(intent(2))));
    CHECK(waiting.get());
}

TEST_CASE("if several threads set revisions concurrently the highest stays in force", "[configuration]") {
    fixture system;
    system.start();
    {
        constexpr revision_number peer_count = 4;
        std::vector<std::jthread> peers;
        peers.reserve(peer_count);
        for (revision_number peer = 1; peer <= peer_count; ++peer) {
            peers.emplace_back([&system, peer] {
                for (revision_number step = 0; step < 50; ++step) {
                    static_cast<void>(
                        system.follower.apply_from_peer(step * peer_count + peer, deflate_text(intent(1))));
                }
            });
        }
    }
    CHECK(system.follower.revision() == 200);
    system.changes.wait_for(200);
    const auto seen = system.changes.seen();
    CHECK(std::ranges::is_sorted(seen));
}
