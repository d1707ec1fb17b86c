// Follows one table of the store: reads all its rows once, then receives its changes by long polls (reads of
// changes that the store holds open until something changes).
#pragma once

#include "base/timer_service.hpp"
#include "policy/confirmation.hpp"
#include "policy/open_poll.hpp"
#include "policy/poll_role.hpp"
#include "policy/poll_schedule.hpp"
#include "store/repeated_poll.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Runs on one executor, from start() until the process ends. Whether it polls the store or relies on other
/// gateways depends on its role, see policy::poll_role.
class store_follower {
public:
    using clock = std::chrono::steady_clock;

    struct handlers {
        /// All rows as of one moment: at the start, after the store has dropped the needed history, and at
        /// the beginning of a new era.
        std::function<void(const store::row_page&)> on_all;
        /// One change, of the same era as the rows last passed to on_all.
        std::function<void(const store::row_change&)> on_change;
        /// Called repeatedly while the store can't be reached, refuses calls or leaves a poll unanswered, and
        /// before the first answer after a time in which it may have done so unnoticed. Not called when only
        /// the confirmations of other gateways are missing and the store answers this gateway's poll.
        std::function<void()> on_outage;
        /// Returns the position up to which all changes are known from another source, for instance another
        /// gateway. Version 0: no changes are known, but the store is in that era.
        std::function<store::position()> known_position;
        /// Returns the current role, which decides whether and how often this gateway polls the store.
        std::function<policy::poll_role()> read_role;
        /// The store has answered a question of check().
        std::function<void()> on_checked = [] {
        };
    };

    store_follower(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                   std::string table_name, policy::poll_schedule pace, handlers to_call);

    void start();

    /// Asks the store for changes now, whatever the role, and calls on_checked if it answers. A call while
    /// such a question is open lets another one follow.
    void check();
    /// Returns when the last question of check() that the store has answered was asked; time_point::min() if
    /// there was none. An answer that a poll has waited for may have arrived long before it was read, so
    /// polls don't count.
    [[nodiscard]] clock::time_point checked_at() const noexcept { return m_checked_at; }

    /// Another gateway holds the same version, and reports that the store confirmed it at `answered`, a time
    /// of the store's clock.
    void record_confirmation(policy::store_moment answered) {
        m_confirmation.record_announcement(answered, clock::now());
    }
    /// Returns the latest confirmation, to be reported to other gateways together with the held version;
    /// empty unless it is recent. See policy::confirmation.
    [[nodiscard]] policy::store_moment recent_confirmation() const {
        return m_confirmation.recent_confirmation(clock::now());
    }

    /// Returns whether this gateway polls the store and the store answered the last call.
    [[nodiscard]] bool is_polling_answering_store() const noexcept {
        return m_is_store_answering && !m_relies_on_others;
    }
    /// Returns when the held state was last confirmed, to this gateway or to another one.
    [[nodiscard]] clock::time_point confirmed_at() const noexcept { return m_confirmation.confirmed_at(); }
    /// Returns for how long the store has answered without interruption, as far as this gateway can tell;
    /// zero while it isn't polled or doesn't answer.
    [[nodiscard]] clock::duration unbroken() const {
        return is_polling_answering_store() ? m_confirmation.unbroken(clock::now()) : clock::duration::zero();
    }
    /// Returns whether the held state was confirmed recently, to this gateway or to another one.
    [[nodiscard]] bool is_current() const { return m_schedule.is_current(m_confirmation.age(clock::now())); }

    /// Returns the time since the store last answered a read of the table; before the first answer, the time
    /// since construction.
    [[nodiscard]] clock::duration answer_age() const { return clock::now() - m_answered_at; }
    /// Returns the time since the open read was started; zero if none is open.
    [[nodiscard]] clock::duration poll_age() const;

private:
    /// The answer is empty when the store has dropped the history after the requested version.
    using change_poll = store::repeated_poll<std::optional<store::change_page>>;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read_all();
    boost::asio::awaitable<void> run_checks();
    boost::asio::awaitable<void> check_once();
    boost::asio::awaitable<std::optional<store::change_page>> fail_after(std::chrono::milliseconds limit);
    [[nodiscard]] bool apply(const store::change_page& page);
    void apply(const store::row_change& change);
    void record_poll_start() { m_poll.emplace(clock::now()); }
    void record_gap();
    void record_answer(store::position at, std::uint64_t store_time);
    [[nodiscard]] store::position add_era(store::position received) const;
    void reject_previous_era(store::position received) const;
    [[nodiscard]] bool apply_era(store::position received);
    void record_loss(std::string_view reason);
    void record_recovery(store::position at);
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> wait_while_relying();
    boost::asio::awaitable<std::optional<store::change_page>> poll_changes();
    void start_poll(change_poll& poll, clock::duration wait);
    void check_poll(change_poll& poll);
    void apply_known_position();
    [[nodiscard]] std::chrono::milliseconds next_delay();
    [[nodiscard]] std::chrono::milliseconds draw_between(std::chrono::milliseconds least,
                                                         std::chrono::milliseconds most);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    std::string m_table_name;
    policy::poll_schedule m_schedule;
    policy::confirmation m_confirmation{clock::now(), m_schedule.longest_gap()};
    /// Position up to which all changes have been applied; version 0: everything has to be read. Its era
    /// never decreases.
    store::position m_position;
    store::position m_dropped_history; ///< The store has dropped the history after this position.
    bool m_is_store_answering = false; ///< The last call was answered, and no poll has become overdue since.
    /// Whether changes are currently learned from other gateways, and the store isn't polled.
    bool m_relies_on_others = false;
    unsigned m_failures = 0; ///< Failed calls since the last answer.
    std::optional<clock::time_point> m_lost_since;
    clock::time_point m_answered_at = clock::now();
    std::optional<policy::open_poll> m_poll;
    bool m_is_checking = false;
    bool m_must_check_again = false;
    clock::time_point m_checked_at = clock::time_point::min();
    handlers m_handlers;
    std::minstd_rand m_random;
};

} // namespace borageford::gateway
