// Following a table of a store that loses questions, against the emulated store.
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
using policy::follower_duty;
using namespace std::chrono_literals;

namespace {

/// So long that a test which waited for it would be ended as hanging.
constexpr std::chrono::milliseconds endless{3'600'000};
/// A time of the store's clock after all answers of a test.
constexpr auto far_ahead = std::numeric_limits<std::uint64_t>::max() / 2;
/// Of the emulated store before its first return.
constexpr std::uint64_t first_era = 1;
/// Within which a change must be known.
constexpr std::chrono::milliseconds change_limit{500};

/// The store and one follower of it, on the test's own thread.
class followed_table {
public:
    explicit followed_table(follower_duty duty) : m_duty(duty) {
        write("first");
        m_follower.start();
        run_until([&] { return m_held == "first"; });
        run_until([&] { return m_store.calls() == 2; }); // all rows, then what has changed
    }

    emulator::emulated_store& store() { return m_store; }
    [[nodiscard]] const gateway::store_follower& follower() const { return m_follower; }
    [[nodiscard]] const std::string& held() const { return m_held; }
    [[nodiscard]] int outages() const { return m_outages; }

    /// Another gateway knows all up to there.
    void set_known(store::position known) { m_known = known; }
    /// The store becomes what it was at that moment.
    void restore(std::chrono::steady_clock::time_point moment) {
        static_cast<void>(m_store.rows().restore(moment));
    }

    /// Another gateway, which holds the same, says that the store confirmed it then.
    void hear(std::uint64_t store_time) { m_follower.hear_confirmation({first_era, store_time}); }

    void write(const std::string& value) {
        store::transaction change;
        change.puts.push_back({"op/config", value});
        static_cast<void>(m_store.rows().transact(change));
    }

    /// The store falls silent until the follower's open question is lost.
    void lose_question() {
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
                    return m_duty;
                }};
    }

    follower_duty m_duty;
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

TEST_CASE("a change is heard of although the store lost the open question", "[gateway][store_follower]") {
    // Guards against going on with the former configuration until the lost question's own limit.
    const auto duty = GENERATE(follower_duty::confirm, follower_duty::follow, follower_duty::stand_by);
    followed_table table(duty);
    table.lose_question();
    table.store().set_state(store_state::well);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
}

TEST_CASE("a change is heard of although the store took the question while it was silent",
          "[gateway][store_follower]") {
    // The same where the question itself is lost, after a change that came just before.
    followed_table table(follower_duty::follow);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
    table.store().set_state(store_state::silent);
    table.run_until([&] { return table.store().unanswered() > 0; });
    table.store().set_state(store_state::well);
    table.write("third");
    table.run_until([&] { return table.held() == "third"; });
}

TEST_CASE("a store that stays silent is told as an outage", "[gateway][store_follower]") {
    // Guards against registrations taken as gone that vanished because the store took no heartbeats.
    followed_table table(follower_duty::follow);
    table.lose_question();
    table.run_until([&] { return !table.follower().is_in_touch(); });
    CHECK(table.outages() > 0);
    CHECK_FALSE(table.follower().is_current());
    table.store().set_state(store_state::well);
    table.run_until([&] { return table.follower().is_in_touch() && table.follower().is_current(); });
}

TEST_CASE("questions that were asked again are given up with the first answer", "[gateway][store_follower]") {
    // Guards against connections to the store that pile up with each outage.
    followed_table table(follower_duty::follow);
    table.lose_question();
    table.run_until([&] { return table.store().unanswered() > 2; });
    table.store().set_state(store_state::well);
    table.run_until([&] { return table.store().unanswered() == 0; });
    CHECK(table.follower().is_in_touch());
}

TEST_CASE("what the store confirmed to another gateway counts here as well", "[gateway][store_follower]") {
    // Guards against a call of each gateway for each confirmation.
    followed_table table(follower_duty::follow);
    table.lose_question();
    table.run_until([&] { return !table.follower().is_current(); });
    table.hear(1); // by the store's clock long before its last answer
    CHECK_FALSE(table.follower().is_current());
    auto store_time = far_ahead;
    table.run_until([&] {
        table.hear(++store_time);
        return table.follower().is_current() &&
               table.follower().told_confirmation() == policy::store_moment{first_era, store_time};
    });
}

TEST_CASE("a change is heard of though its version was given out before", "[gateway][store_follower]") {
    // Guards against waiting for versions that a store which came back from an older copy gives out later.
    followed_table table(follower_duty::follow);
    const auto copied_at = std::chrono::steady_clock::now();
    table.write("lost");
    table.run_until([&] { return table.held() == "lost"; });
    table.restore(copied_at);
    table.write("written in the new era");
    table.run_until([&] { return table.held() == "written in the new era"; });
    table.write("next");
    table.run_until([&] { return table.held() == "next"; });
}

TEST_CASE("a position that the store no longer has is asked for once", "[gateway][store_follower]") {
    // Guards against asking thousands of times a second for a version of before the copy.
    followed_table table(follower_duty::follow);
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

TEST_CASE("an answer of a former era counts as none", "[gateway][store_follower]") {
    // It was on its way, on a connection opened before the store came back.
    followed_table table(follower_duty::follow);
    table.set_known({first_era + 1, 0}); // another gateway has heard of the return
    table.store().tell_era(first_era);
    table.write("of the former era");
    table.run_until([&] { return !table.follower().is_in_touch(); });
    CHECK(table.held() == "first");
    table.store().tell_era(first_era + 1);
    table.run_until([&] { return table.held() == "of the former era"; });
    CHECK(table.follower().is_in_touch());
}

TEST_CASE("an unbroken view of the store ends with its return from a copy", "[gateway][store_follower]") {
    // Guards against telling others that the store was there all the while.
    followed_table table(follower_duty::follow);
    const auto returned = std::chrono::steady_clock::now();
    table.restore(returned);
    table.write("second");
    table.run_until([&] { return table.held() == "second"; });
    CHECK(table.follower().unbroken() <= std::chrono::steady_clock::now() - returned);
}
