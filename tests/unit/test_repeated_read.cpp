// Tests of read_all_repeatedly() with the emulated store in states in which it doesn't answer or refuses.
#include "emulator/emulated_store.hpp"
#include "platform/store_format.hpp"
#include "store/repeated_read.hpp"
#include "store/store_error.hpp"
#include "store/table.hpp"
#include "support/run_until.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <optional>

using namespace borageford;
using emulator::store_state;
using std::chrono::milliseconds;

namespace {

/// A timeout that no test can wait for. A test that depends on it runs into the timeout of the test run.
constexpr milliseconds endless_timeout{3'600'000};
constexpr milliseconds short_period{10};

/// The emulated store and one read of its configuration, on the thread of the test.
class first_read {
public:
    first_read() {
        store::transaction change;
        change.puts.push_back({"op/config", "document"});
        static_cast<void>(m_store.rows().transact(change));
    }

    emulator::emulated_store& store() { return m_store; }

    void start(milliseconds period) {
        boost::asio::co_spawn(
            m_context, store::read_all_repeatedly(m_context.get_executor(), m_timers, m_table, "op/", period),
            [this](const std::exception_ptr& error, store::row_page page) {
                m_error = error;
                m_page = std::move(page);
            });
    }

    template <typename Condition>
    void run_until(Condition condition) {
        test::run_until(m_context, condition);
    }

    [[nodiscard]] bool is_over() const { return m_page.has_value(); }
    [[nodiscard]] const store::row_page& page() const { return *m_page; }
    [[nodiscard]] std::exception_ptr error() const { return m_error; }

private:
    boost::asio::io_context m_context{1};
    timer_service m_timers;
    emulator::emulated_store m_store{m_context.get_executor(), m_timers};
    store::table m_table{m_context.get_executor(),
                         m_store.listen({boost::asio::ip::address_v4::loopback(), 0}), endless_timeout,
                         platform::table_format()};
    std::optional<store::row_page> m_page;
    std::exception_ptr m_error;
};

} // namespace

TEST_CASE("a read that an unresponsive store lost is started again before it times out", "[store]") {
    // All gateways lose power while the store is unresponsive, and restart before the store recovers. The
    // reads that they send until then are never answered. A gateway that waited for these answers would
    // refuse all its callers for seconds after the store's recovery.
    first_read read;
    read.store().set_state(store_state::silent);
    read.start(short_period);
    read.run_until([&] { return read.store().calls() >= 2; });
    read.store().set_state(store_state::available);
    read.run_until([&] { return read.is_over(); });
    REQUIRE(read.error() == nullptr);
    REQUIRE(read.page().rows.size() == 1);
    CHECK(read.page().rows.front().value == "document");
}

TEST_CASE("an answered read is not started again", "[store]") {
    first_read read;
    read.start(endless_timeout);
    read.run_until([&] { return read.is_over(); });
    CHECK(read.error() == nullptr);
    CHECK(read.store().calls() == 1);
}

TEST_CASE("a refusal by the store is reported at once, without further reads", "[store]") {
    // The store refuses calls, for instance because of its rate limit. Further reads would increase its
    // load; the caller of read_all_repeatedly() pauses before it tries again.
    first_read read;
    read.store().set_state(store_state::rate_limited);
    read.start(endless_timeout);
    read.run_until([&] { return read.is_over(); });
    REQUIRE(read.error() != nullptr);
    CHECK_THROWS_AS(std::rethrow_exception(read.error()), store::store_error);
    CHECK(read.store().calls() == 1);
}
