// Follows one table of the store: everything once, then its changes as they happen.
#pragma once

#include "base/timer_service.hpp"
#include "policy/confirmation.hpp"
#include "policy/follower_duty.hpp"
#include "policy/follower_pace.hpp"
#include "store/repeated_question.hpp"
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

class store_follower {
public:
    using clock = std::chrono::steady_clock;

    struct handlers {
        /// All rows as of one moment: at the start, after history was lost, and first of all in a new era.
        std::function<void(const store::row_page&)> on_all;
        /// Of the era of the rows that were told last.
        std::function<void(const store::row_change&)> on_change;
        /// The store couldn't be reached, refused, or hasn't confirmed for too long what is held; called each
        /// time.
        std::function<void()> on_outage;
        /// Up to where all changes are known from elsewhere, for instance from another gateway; version 0:
        /// none are, and the store is known to be in that era.
        std::function<store::position()> known_position;
        /// Whether this gateway is to ask at all; see policy/follower_duty.hpp.
        std::function<policy::follower_duty()> read_duty;
    };

    store_follower(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                   std::string table_name, policy::follower_pace pace, handlers to_call);

    void start();

    /// Another gateway holds what is held here, and the store confirmed it at this time of its clock.
    void hear_confirmation(policy::store_moment answered) { m_confirmation.hear(answered, clock::now()); }
    /// Told to other gateways with the version that is held; see policy/confirmation.hpp.
    [[nodiscard]] policy::store_moment told_confirmation() const { return m_confirmation.news(clock::now()); }

    /// Whether the store is asked and answered the last call.
    [[nodiscard]] bool is_in_touch() const noexcept { return m_is_in_touch && !m_relies; }
    /// When what is held was confirmed last, to this gateway or to another.
    [[nodiscard]] clock::time_point confirmed_at() const noexcept { return m_confirmation.noted_at(); }
    /// For how long the store has answered without a break, as far as this gateway can tell; zero: it isn't
    /// asked, or doesn't answer.
    [[nodiscard]] clock::duration unbroken() const {
        return is_in_touch() ? m_confirmation.unbroken(clock::now()) : clock::duration::zero();
    }
    /// Whether what is held was confirmed lately, to this gateway or to another.
    [[nodiscard]] bool is_current() const { return m_pace.is_current(m_confirmation.age(clock::now())); }

    /// Time since the store answered a question about the table, or since the start while it hasn't.
    [[nodiscard]] clock::duration answer_age() const { return clock::now() - m_answered_at; }
    /// Time since the question was asked that is open now; zero: none is.
    [[nodiscard]] clock::duration question_age() const;

private:
    /// Nothing when the store has dropped the history that was asked for.
    using change_question = store::repeated_question<std::optional<store::change_page>>;

    /// When the question that is open was asked, and asked once more.
    struct open_question {
        clock::time_point asked_at;
        clock::time_point repeated_at{};
        clock::time_point answer_due{}; ///< by then a store that isn't silent answers the repeated one
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read_all();
    void note_asked() { m_question = open_question{clock::now()}; }
    void note_answered(store::position at, std::uint64_t store_time);
    [[nodiscard]] store::position complete(store::position told) const;
    void refuse_former(store::position told) const;
    [[nodiscard]] bool take_era(store::position told);
    void note_lost(std::string_view reason);
    void note_regained(store::position at);
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> wait_while_told();
    boost::asio::awaitable<std::optional<store::change_page>> ask_for_changes();
    void ask(change_question& question, clock::duration wait);
    void repeat_if_due(change_question& question);
    void take_known_position();
    [[nodiscard]] std::chrono::milliseconds next_delay();
    [[nodiscard]] std::chrono::milliseconds draw_between(std::chrono::milliseconds least,
                                                         std::chrono::milliseconds most);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    std::string m_table_name;
    policy::follower_pace m_pace;
    policy::confirmation m_confirmation{clock::now(), m_pace.longest_gap()};
    /// Up to where all changes were taken; version 0: everything is to be read. Its era never goes back.
    store::position m_position;
    store::position m_forgotten; ///< the store has dropped the history after it
    bool m_is_in_touch = false;
    bool m_relies = false;   ///< others tell what changes, and the store isn't asked
    unsigned m_failures = 0; ///< since the last answer
    std::optional<clock::time_point> m_lost_since;
    clock::time_point m_answered_at = clock::now();
    std::optional<open_question> m_question;
    handlers m_handlers;
    std::minstd_rand m_random;
};

} // namespace borageford::gateway
