// Read all once, then follow, from the last known version on after every gap.
#include "gateway/store_follower.hpp"

#include "base/identifier.hpp"
#include "base/pause.hpp"
#include "events/event_log.hpp"
#include "store/repeated_read.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// One question stays open this long when nothing changes; each costs a call.
constexpr milliseconds longest_wait{20000};
/// After a change the next question waits a little, so that what changes meanwhile comes with one answer.
/// Backend servers register and leave in groups, and each question is a call that is paid for. Bounded by the
/// time in which a change must be in force.
constexpr milliseconds gathering_time{400};
/// After a failed call: short enough that an outage's end is seen well within the time in which a new
/// configuration must be in force, long enough that a store in trouble isn't pressed.
constexpr milliseconds first_retry_delay{250};
constexpr milliseconds longest_retry_delay{800};
/// The same for a gateway that nobody relies on: when the store is back it hears so from those that do.
constexpr milliseconds longest_delay_of_others{3000};
/// How often a gateway that is told what changes looks whether it still is.
constexpr milliseconds duty_check_period{100};
/// While nothing is known an unanswered question is asked again after a time in this range, some hundred
/// times the store's usual 4 ms; a store that is slow by a factor of 50 still answers the first one.
constexpr milliseconds least_first_read_period{300};
constexpr milliseconds most_first_read_period{600};

} // namespace

store_follower::store_follower(asio::any_io_executor executor, timer_service& timers, store::table& table,
                               std::string table_name, handlers to_call)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_table(table),
      m_table_name(std::move(table_name)),
      m_handlers(std::move(to_call)),
      m_random(static_cast<unsigned>(identifier::random().low)) {}

void store_follower::start() {
    asio::co_spawn(m_executor, run(), asio::detached);
}

asio::awaitable<void> store_follower::run() {
    for (;;) {
        std::string failure;
        try {
            take_known_version();
            if (m_version == 0) {
                co_await read_all();
            }
            co_await follow();
        } catch (const store::store_error& error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            note_lost(failure);
            m_handlers.on_outage();
            const auto delay = next_delay();
            co_await pause(m_timers, delay);
        }
    }
}

void store_follower::take_known_version() {
    if (const auto known = m_handlers.known_version(); known > m_forgotten_version) {
        m_version = std::max(m_version, known);
    }
}

/// What was told meanwhile need not be asked for.
asio::awaitable<void> store_follower::wait_while_told() {
    m_relies = m_handlers.read_duty() == policy::follower_duty::rely;
    if (!m_relies) {
        co_return;
    }
    while (m_handlers.read_duty() == policy::follower_duty::rely) {
        co_await pause(m_timers, duty_check_period);
    }
    m_relies = false;
    take_known_version();
}

asio::awaitable<void> store_follower::read_all() {
    note_asked();
    // Spread: one gateway's answer is enough for all, since they pass it on.
    const auto period = draw_between(least_first_read_period, most_first_read_period);
    const auto all =
        co_await store::read_all_repeatedly(m_executor, m_timers, m_table, m_table_name + "/", period);
    m_version = all.version;
    note_regained(all.version);
    m_handlers.on_all(all);
}

/// Spread, since all gateways meet the same outage at the same time; and longer while it lasts, since where
/// hundreds of gateways are over the store's rate each early question is one more refusal.
milliseconds store_follower::next_delay() {
    const bool is_followed = m_handlers.read_duty() == policy::follower_duty::follow;
    const auto most = is_followed ? longest_retry_delay : longest_delay_of_others;
    const auto longest = std::min(first_retry_delay * (1U << std::min(m_failures, 4U)), most);
    ++m_failures;
    return draw_between(longest / 2, longest);
}

milliseconds store_follower::draw_between(milliseconds least, milliseconds most) {
    std::uniform_int_distribution<milliseconds::rep> spread(least.count(), most.count());
    return milliseconds(spread(m_random));
}

void store_follower::note_asked() {
    m_asked_at = clock::now();
}

store_follower::clock::duration store_follower::question_age() const {
    return m_asked_at.has_value() ? clock::now() - *m_asked_at : clock::duration::zero();
}

void store_follower::note_lost(std::string_view reason) {
    m_asked_at.reset();
    m_is_in_touch = false;
    if (!m_lost_since.has_value()) {
        m_lost_since = clock::now();
        events::write(events::event_kind::store_lost, {{"table", m_table_name}, {"reason", reason}});
    }
}

void store_follower::note_regained(std::uint64_t version) {
    m_asked_at.reset();
    m_answered_at = clock::now();
    m_is_in_touch = true;
    m_failures = 0;
    if (m_lost_since.has_value()) {
        const auto lost = m_answered_at - *m_lost_since;
        m_lost_since.reset();
        events::write(events::event_kind::store_regained,
                      {{"table", m_table_name},
                       {"lost_ms", std::chrono::duration_cast<milliseconds>(lost).count()},
                       {"version", version}});
    }
}

/// Returns when history was lost; throws store_error when the store is away.
asio::awaitable<void> store_follower::follow() {
    for (;;) {
        co_await wait_while_told();
        // At first without waiting, to learn soon whether the store is back.
        const auto wait = m_is_in_touch ? longest_wait : milliseconds(0);
        note_asked();
        const auto page = co_await m_table.changes(m_table_name, m_version, wait);
        if (!page.has_value()) {
            m_forgotten_version = std::exchange(m_version, 0);
            co_return;
        }
        note_regained(page->version);
        for (const auto& change : page->changes) {
            m_handlers.on_change(change);
        }
        m_version = page->version;
        if (!page->changes.empty()) {
            co_await pause(m_timers, gathering_time);
        }
    }
}

} // namespace borageford::gateway
