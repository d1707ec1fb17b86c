// Tests of store_follower against the emulated store, which loses requests and is restored from older copies.
#include "emulator/emulated_store.hpp"
#include "gateway/store_follower.hpp"
#include "platform/store_format.hpp"
#include "support/run_until.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <limits>
#include <string>

using namespace borageford;
using emulator::store_state;
using policy::poll_role;
using namespace std::chrono_literals;

namespace {

/// Timeout of a call to the store. A test that waited for it would be stopped as hanging.
constexpr std::chrono::milliseconds endless{3'600'000};
/// A time of the store's clock that is later than all answers of a test.
constexpr auto far_ahead = std::numeric_limits<std::uint64_t>::max() / 2;
/// Era of the emulated store before its first restore.
constexpr std::uint64_t first_era = 1;
/// Time within which the follower must learn of a change.
constexpr std::chrono::milliseconds change_limit{500};

/// An emulated store and one follower of it, both on the test's thread.
class followed_table {
public:
    explicit followed_table(poll_role role) : m_role(role) {
        write("first");
        m_follower.start();
        run_until([&] { return m_held == "first"; });
        run_until([&] { return m_store.calls() == 2; }); // the read of all rows and the first poll
    }

    emulator::emulated_store& store() { return m_store; }
    [[nodiscard]] const gateway::store_follower& follower() const { return m_follower; }
    [[nodiscard]] const std::string& held() const { return m_held; }
    [[nodiscard]] int outages() const { return m_outages; }

    /// Sets the position up to which another gateway knows all changes.
    void set_known(store::position known) { m_known = known; }
    /// Restores the store's rows as they were at that moment.
    void restore(std::chrono::steady_clock::time_point moment) {
        static_cast<void>(m_store.rows().restore(moment));
    }

    void check() { m_follower.check(); }

    /// Reports a confirmation received by another gateway that holds the same state.
    void report_confirmation(std::uint64_t store_time) {
        m_follower.record_confirmation({first_era, store_time});
    }

    void write(const std::string& value) {
        store::transaction change;
        change.puts.push_back({"op/config", value});
        static_cast<void>(m_store.rows().transact(change));
    }

    /// Makes the store unresponsive until it has lost the follower's open poll.
    void lose_poll() {
        m_store.set_state(store_state::silent);
        run_until([&] { return m_store.unanswered() > 0; });
    }

    template <typename Condition>
    void run_until(Condition condition) {
        test::run_until(m_context, condition);
    }

private:
    gateway::store_follower::handlers make_handlers() {
        return {[this](const store::row_page& page) { m_held = page.rows.front().value; },
                [this](const store::row_change& change) { m_held = change.now.value; },
                [this] { ++m_outages; }, [this] { return m_known; },
                [this] {
                    return m_role;
                }};
    }

    poll_role m_role;
    store::position m_known;
    std::string m_held;
    int m_outages = 0;
    boost::asio::io_context m_context{1};
    timer_service m_timers;
    emulator::emulated_store m_store{m_context.get_executor(), m_timers};
    store::table m_table{m_context.get_executor(),
                         m_store.listen({boost::asio::ip::address_v4::loopback(), 0}), endless,
                         platform::table_format()};
    gateway::store_follower m_follower{m_context.get_executor(), m_timers,       m_table, "op",
                                       {change_limit, 0.5},      make_handlers()};
};

} // namespace

TEST_CASE("a change arrives although the store lost the open poll", "[gateway][store_follower]") {
    // Guards against keeping the previous configuration until the lost poll times out.
    const auto role = GENERATE(poll_role::confirmer, poll_role::poller, poll_role::fallback);
    followed_table table(role);
    table.lose_poll();
    table.store().set_state(store_state::available);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
}

TEST_CASE("a check doesn't skip changes that another gateway is said to know", "[gateway][store_follower]") {
    // Guards against a change that never arrives, since a list that was read in pages names later ones, too.
    followed_table table(poll_role::poller);
    table.lose_poll();
    table.store().set_state(store_state::available);
    table.write("second");
    store::transaction elsewhere;
    elsewhere.puts.push_back({"other/row", "later"});
    static_cast<void>(table.store().rows().transact(elsewhere));
    table.set_known({first_era, table.store().rows().version()});
    table.check();
    table.run_until([&] { return table.held() == "second"; });
    CHECK(table.held() == "second");
}

TEST_CASE("a change arrives although the poll reached an unresponsive store", "[gateway][store_follower]") {
    // Here the poll itself is lost, since the store becomes unresponsive right after a change.
    followed_table table(poll_role::poller);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
    table.store().set_state(store_state::silent);
    table.run_until([&] { return table.store().unanswered() > 0; });
    table.store().set_state(store_state::available);
    table.write("third");
    table.run_until([&] { return table.held() == "third"; });
}

TEST_CASE("a store that stays unresponsive is reported as an outage", "[gateway][store_follower]") {
    // Guards against removing servers whose registrations vanished only because the store accepted no
    // heartbeats.
    followed_table table(poll_role::poller);
    table.lose_poll();
    table.run_until([&] { return !table.follower().is_polling_answering_store(); });
    CHECK(table.outages() > 0);
    CHECK_FALSE(table.follower().is_current());
    table.store().set_state(store_state::available);
    table.run_until(
        [&] { return table.follower().is_polling_answering_store() && table.follower().is_current(); });
}

TEST_CASE("repeated polls are cancelled with the first answer", "[gateway][store_follower]") {
    // Guards against connections to the store that accumulate with each outage.
    followed_table table(poll_role::poller);
    table.lose_poll();
    table.run_until([&] { return table.store().unanswered() > 2; });
    table.store().set_state(store_state::available);
    table.run_until([&] { return table.store().unanswered() == 0; });
    CHECK(table.follower().is_polling_answering_store());
}

TEST_CASE("a confirmation received by another gateway counts", "[gateway][store_follower]") {
    // Guards against one call from each gateway for each confirmation.
    followed_table table(poll_role::poller);
    table.lose_poll();
    table.run_until([&] { return !table.follower().is_current(); });
    table.report_confirmation(1); // a time of the store's clock long before its last answer
    CHECK_FALSE(table.follower().is_current());
    auto store_time = far_ahead;
    table.run_until([&] {
        table.report_confirmation(++store_time);
        return table.follower().is_current() &&
               table.follower().recent_confirmation() == policy::store_moment{first_era, store_time};
    });
}

TEST_CASE("a change arrives although its version was assigned before a restore",
          "[gateway][store_follower]") {
    // Guards against waiting for version numbers that a store restored from an older copy reaches only later.
    followed_table table(poll_role::poller);
    const auto copied_at = std::chrono::steady_clock::now();
    table.write("lost");
    table.run_until([&] { return table.held() == "lost"; });
    table.restore(copied_at);
    table.write("written in the new era");
    table.run_until([&] { return table.held() == "written in the new era"; });
    table.write("next");
    table.run_until([&] { return table.held() == "next"; });
}

TEST_CASE("a position that the store no longer has is requested once", "[gateway][store_follower]") {
    // Guards against thousands of polls per second for a version that the restored store doesn't have.
    followed_table table(poll_role::poller);
    const auto copied_at = std::chrono::steady_clock::now();
    table.write("lost");
    table.write("lost too");
    table.run_until([&] { return table.held() == "lost too"; });
    table.restore(copied_at);
    const auto before = table.store().calls();
    table.run_until([&] { return table.held() == "first"; });
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
    CHECK(table.store().calls() - before < 8);
}

TEST_CASE("an answer of a previous era is ignored", "[gateway][store_follower]") {
    // The answer was sent before the store was restored, on a connection opened before.
    followed_table table(poll_role::poller);
    table.set_known({first_era + 1, 0}); // another gateway has learned of the restore
    table.store().set_era_override(first_era);
    table.write("of the former era");
    table.run_until([&] { return !table.follower().is_polling_answering_store(); });
    CHECK(table.held() == "first");
    table.store().set_era_override(first_era + 1);
    table.run_until([&] { return table.held() == "of the former era"; });
    CHECK(table.follower().is_polling_answering_store());
}

TEST_CASE("a restore of the store ends its uninterrupted availability", "[gateway][store_follower]") {
    // Guards against reporting to other gateways that the store was available all the time.
    followed_table table(poll_role::poller);
    const auto returned = std::chrono::steady_clock::now();
    table.restore(returned);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
    CHECK(table.follower().unbroken() <= std::chrono::steady_clock::now() - returned);
}
