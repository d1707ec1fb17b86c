// Implementation of store_follower: reads all rows once, then follows the changes. After an interruption it
// continues from the last known version.
#include "gateway/store_follower.hpp"

#include "base/identifier.hpp"
#include "base/pause.hpp"
#include "events/event_log.hpp"
#include "store/repeated_read.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Delay between a change and the next poll, so that several changes come in one answer. Backend servers
/// register and drain in groups, and each poll is a call that is paid for. Bounded by the time in which a
/// change must be in force.
constexpr milliseconds batching_delay{400};
/// Delays after a failed call. They are short enough to notice the end of an outage well within the time in
/// which a new configuration must be in force, and long enough not to add load to a store in trouble.
constexpr milliseconds first_retry_delay{250};
constexpr milliseconds max_retry_delay{800};
/// Longest delay for a gateway on which no other gateway relies. When the store is back, it learns this from
/// the gateways that follow the store.
constexpr milliseconds max_retry_delay_if_not_followed{3000};
/// How often a gateway that relies on others checks whether it still may.
constexpr milliseconds role_check_period{100};
/// Range of the period after which an unanswered first read is repeated. It is about a hundred times the
/// store's usual 4 ms, so a store that is slowed down by a factor of 50 still answers the first read.
constexpr milliseconds min_first_read_period{300};
constexpr milliseconds max_first_read_period{600};
/// Shortest time between two questions of check(). Many callers may come back at once.
constexpr milliseconds min_check_period{50};
/// How long such a question may take. The callers that wait for it are refused then.
constexpr milliseconds check_timeout{250};

} // namespace

store_follower::store_follower(asio::any_io_executor executor, timer_service& timers, store::table& table,
                               std::string table_name, policy::poll_schedule pace, handlers to_call)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_table(table),
      m_table_name(std::move(table_name)),
      m_schedule(pace),
      m_handlers(std::move(to_call)),
      m_random(static_cast<unsigned>(identifier::random().low)) {}

void store_follower::start() {
    asio::co_spawn(m_executor, run(), asio::detached);
}

asio::awaitable<void> store_follower::run() {
    for (;;) {
        std::string failure;
        try {
            apply_known_position();
            if (m_position.version == 0) {
                co_await read_all();
            }
            co_await follow();
        } catch (const std::exception& error) {
            // Also what a handler throws: otherwise the following would end, and nothing would show it.
            failure = error.what();
        }
        if (!failure.empty()) {
            m_poll.reset();
            record_loss(failure);
            m_handlers.on_outage();
            const auto delay = next_delay();
            co_await pause(m_timers, delay);
        }
    }
}

void store_follower::apply_known_position() {
    if (const auto known = m_handlers.known_position(); known > m_dropped_history) {
        m_position = std::max(m_position, known);
    }
}

/// Adds the known era to a position that has none: once the store has reported an era, an answer without one
/// is of the current era.
store::position store_follower::add_era(store::position received) const {
    return {received.era > 0 ? received.era : m_position.era, received.version};
}

/// Throws store_error for an answer of a previous era. Such an answer was sent before the store was restored
/// from an older copy, for instance on a connection opened before, and its changes may not exist in the
/// restored store.
void store_follower::reject_previous_era(store::position received) const {
    if (received.era < std::max(m_position.era, m_handlers.known_position().era)) {
        throw store::store_error(store::effect::none, "an answer of a previous era");
    }
}

/// Returns whether the position is of a new era, so that everything has to be read again.
bool store_follower::apply_era(store::position received) {
    if (received.era == m_position.era) {
        return false;
    }
    m_confirmation.record_failure(clock::now());
    m_position = {received.era, 0};
    return true;
}

/// Waits while this gateway relies on others, then skips the changes that they have reported in the meantime.
asio::awaitable<void> store_follower::wait_while_relying() {
    m_relies_on_others = m_handlers.read_role() == policy::poll_role::passive;
    if (!m_relies_on_others) {
        co_return;
    }
    while (m_handlers.read_role() == policy::poll_role::passive) {
        co_await pause(m_timers, role_check_period);
    }
    m_relies_on_others = false;
    apply_known_position();
}

asio::awaitable<void> store_follower::read_all() {
    record_poll_start();
    // Randomized, since one gateway's answer is enough for all: the gateways pass it on.
    const auto period = draw_between(min_first_read_period, max_first_read_period);
    auto all = co_await store::read_all_repeatedly(m_executor, m_timers, m_table, m_table_name + "/", period);
    all.position = add_era(all.position);
    reject_previous_era(all.position);
    static_cast<void>(apply_era(all.position));
    m_position = all.position;
    m_poll.reset();
    record_gap();
    record_answer(all.position, all.store_time);
    m_handlers.on_all(all);
}

/// Randomized, since all gateways meet an outage at the same time. The delay grows while the outage lasts: if
/// hundreds of gateways together exceed the store's rate limit, each early call is one more refusal.
milliseconds store_follower::next_delay() {
    const auto most =
        policy::is_relied_on(m_handlers.read_role()) ? max_retry_delay : max_retry_delay_if_not_followed;
    const auto longest = std::min(first_retry_delay * (1U << std::min(m_failures, 4U)), most);
    ++m_failures;
    return draw_between(longest / 2, longest);
}

milliseconds store_follower::draw_between(milliseconds least, milliseconds most) {
    std::uniform_int_distribution<milliseconds::rep> spread(least.count(), most.count());
    return milliseconds(spread(m_random));
}

store_follower::clock::duration store_follower::poll_age() const {
    return m_poll.has_value() ? m_poll->age(clock::now()) : clock::duration::zero();
}

void store_follower::record_loss(std::string_view reason) {
    m_is_store_answering = false;
    m_confirmation.record_failure(clock::now());
    if (!m_lost_since.has_value()) {
        m_lost_since = clock::now();
        events::write(events::event_kind::store_lost, {{"table", m_table_name}, {"reason", reason}});
    }
}

/// An outage that began and ended since the last confirmation may have gone unnoticed, since an open poll
/// that the store has lost looks like one without changes.
void store_follower::record_gap() {
    if (!is_current()) {
        m_handlers.on_outage();
    }
}

void store_follower::record_answer(store::position at, std::uint64_t store_time) {
    m_answered_at = clock::now();
    m_confirmation.record_answer({at.era, store_time}, m_answered_at);
    record_recovery(at);
}

void store_follower::record_recovery(store::position at) {
    m_is_store_answering = true;
    m_failures = 0;
    if (!m_lost_since.has_value()) {
        return;
    }
    const auto lost = clock::now() - *m_lost_since;
    m_lost_since.reset();
    events::write(events::event_kind::store_regained,
                  {{"table", m_table_name},
                   {"lost_ms", std::chrono::duration_cast<milliseconds>(lost).count()},
                   {"era", at.era},
                   {"version", at.version}});
}

/// Returns when the store has dropped the history or begun a new era. Throws store_error when the store can't
/// be reached.
asio::awaitable<void> store_follower::follow() {
    for (;;) {
        co_await wait_while_relying();
        const auto page = co_await poll_changes();
        if (!page.has_value()) {
            m_dropped_history = std::exchange(m_position, {m_position.era, 0});
            co_return;
        }
        m_poll.reset();
        if (!apply(*page)) {
            co_return;
        }
        if (!page->changes.empty()) {
            co_await pause(m_timers, batching_delay);
        }
    }
}

/// Applies changes, unless they are older than what is known: a check may have brought newer ones while the
/// poll was open. Returns false if everything has to be read again, since the store has begun a new era.
bool store_follower::apply(const store::change_page& page) {
    const auto at = add_era(page.position);
    reject_previous_era(at);
    if (apply_era(at)) {
        return false;
    }
    record_gap();
    record_answer(at, page.store_time);
    if (at >= m_position) {
        std::ranges::for_each(page.changes, [this](const auto& change) { apply(change); });
        m_position = at;
    }
    return true;
}

/// A change that can't be handled costs only itself. Otherwise the changes after it would never arrive.
void store_follower::apply(const store::row_change& change) {
    try {
        m_handlers.on_change(change);
    } catch (const std::exception& error) {
        events::write(events::event_kind::row_unreadable,
                      {{"row", events::excerpt(change.now.key)}, {"reason", error.what()}});
    }
}

void store_follower::check() {
    if (m_is_checking) {
        m_must_check_again = true;
        return;
    }
    m_is_checking = true;
    asio::co_spawn(m_executor, run_checks(), asio::detached);
}

asio::awaitable<void> store_follower::run_checks() {
    do {
        m_must_check_again = false;
        try {
            co_await check_once();
        } catch (const std::exception& error) {
            events::write(events::event_kind::store_check_failed,
                          {{"table", m_table_name}, {"reason", error.what()}});
        }
        co_await pause(m_timers, min_check_period);
    } while (m_must_check_again);
    m_is_checking = false;
}

/// A new era and a dropped history are left to the poll.
asio::awaitable<void> store_follower::check_once() {
    if (m_relies_on_others) {
        apply_known_position();
    }
    if (m_position.version == 0) {
        throw store::store_error(store::effect::none, "the table hasn't been read yet");
    }
    const auto asked = clock::now();
    const auto era = m_position.era;
    change_poll question(m_executor);
    question.start_call(m_table.changes(m_table_name, m_position.version, milliseconds(0)));
    question.start_call(fail_after(check_timeout));
    const auto page = co_await question.first_answer();
    if (!page.has_value() || add_era(page->position).era != era || m_position.era != era) {
        throw store::store_error(store::effect::none, "everything has to be read again");
    }
    static_cast<void>(apply(*page));
    m_checked_at = asked;
    m_handlers.on_checked();
}

asio::awaitable<std::optional<store::change_page>> store_follower::fail_after(milliseconds limit) {
    co_await pause(m_timers, limit);
    throw store::store_error(store::effect::none, "no answer in time");
}

asio::awaitable<std::optional<store::change_page>> store_follower::poll_changes() {
    change_poll poll(m_executor);
    // After an outage the first poll doesn't wait for a change, to learn soon whether the store is back.
    const auto age = m_confirmation.age(clock::now());
    record_poll_start();
    start_poll(poll,
               m_is_store_answering ? m_schedule.wait(m_handlers.read_role(), age) : clock::duration::zero());
    const auto period = std::chrono::duration_cast<milliseconds>(m_schedule.check_period());
    const auto watch = m_timers.every(m_executor, period, [&] { check_poll(poll); });
    co_return co_await poll.first_answer();
}

void store_follower::start_poll(change_poll& poll, clock::duration wait) {
    m_poll->record_sent(clock::now(), m_schedule.answer_limit(wait));
    const auto open = std::chrono::duration_cast<milliseconds>(wait);
    poll.start_call(m_table.changes(m_table_name, m_position.version, open));
}

/// Repeats the poll if the held state wasn't confirmed for too long, and reports an outage if the store
/// should have answered by now.
void store_follower::check_poll(change_poll& poll) {
    const auto now = clock::now();
    const auto role = m_handlers.read_role();
    const bool relies_on_others = role == policy::poll_role::passive;
    if (relies_on_others || !m_schedule.is_stale(role, m_confirmation.age(now))) {
        return;
    }
    if (m_poll->is_overdue(now)) {
        m_handlers.on_outage();
        record_loss("a poll was not answered in time");
    }
    if (m_poll->time_since_sent(now) >= m_schedule.repeat_delay(role)) {
        start_poll(poll, clock::duration::zero());
    }
}

} // namespace borageford::gateway
