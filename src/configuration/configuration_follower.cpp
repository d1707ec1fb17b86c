// Implements configuration_follower: polls the head row, accepts revisions from peers, and polls at once
// after the process was suspended for a while (SIGSTOP, a paused VM), because its configuration may be old by
// then.
#include "configuration/configuration_follower.hpp"

#include "base/compression.hpp"
#include "base/log.hpp"
#include "configuration/intent_parser.hpp"
#include "configuration/revision_rows.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace borageford::configuration {

namespace asio = boost::asio;

namespace {

/// Period of the timer that detects whether the process was suspended.
constexpr std::chrono::milliseconds freeze_check_period{250};
/// A tick of that timer that is late by at least this much means that the process was suspended; a process
/// that is merely busy is late by less.
constexpr std::chrono::milliseconds freeze_threshold{750};

/// A coroutine in wait_for_newer(). It is resumed once: by a revision higher than `above` or by its timeout.
struct revision_waiter {
    revision_number above = 0;
    std::shared_ptr<std::atomic<bool>> is_woken;
    std::function<void()> wake;
};

} // namespace

/// State that running polls and timers share with the follower. Invariants: `current` is replaced only under
/// `mutex`, and only by a higher revision; `changed`, `polling`, `waiters` and `last_tick` are used only on
/// the strand; one poll runs at a time.
struct configuration_follower::state : std::enable_shared_from_this<configuration_follower::state> {
    state(const asio::any_io_executor& executor, timer_service& given_timers, store::table& given_table,
          std::chrono::milliseconds given_period)
        : strand(asio::make_strand(executor)),
          timers(given_timers),
          table(given_table),
          period(given_period),
          current(std::make_shared<const configuration>()) {}

    void start(change_listener listener) {
        changed = std::move(listener);
        last_tick = timer_service::clock::now();
        announce(current.load());
        begin_poll();
    }

    void begin_poll() {
        if (stopped) {
            return;
        }
        if (polling) {
            poll_again = true;
            return;
        }
        polling = true;
        asio::co_spawn(strand, poll(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> poll(std::shared_ptr<state> self) {
        try {
            co_await read_newer(*self);
            self->log_poll_state(true, "");
        } catch (const std::exception& error) {
            ++self->failed_polls;
            self->log_poll_state(false, error.what());
        }
        self->polling = false;
        if (std::exchange(self->poll_again, false)) {
            self->begin_poll();
        }
    }

    static asio::awaitable<void> read_newer(state& self) {
        const auto head = co_await self.table.read(head_key);
        if (!head || self.stopped) {
            co_return; // the table may have been destroyed after the follower was stopped
        }
        const auto head_content = decode_head(head->value);
        // A stale read returns an old head row. Going back to its revision would undo a configuration that an
        // operator has put in force.
        if (head_content.revision <= self.current.load()->revision) {
            co_return;
        }
        const auto row = co_await self.table.read(revision_key(head_content.revision));
        if (!row) {
            co_return; // this read was staler than that of the head row; the next poll finds the revision
        }
        const auto found = decode_revision(row->value);
        self.apply(head_content.revision, found.text, "table");
    }

    bool apply(revision_number revision, std::string_view text, std::string_view source) {
        if (revision <= current.load()->revision) {
            return false;
        }
        std::vector<settings::problem> problems;
        auto parsed = parse_intent(text, "revision " + std::to_string(revision), problems);
        if (!problems.empty()) {
            // The text was checked before it was committed, so either a peer damaged it or this process runs
            // older software than the entry that confirmed it. Keeping the current revision is safe; the
            // operators' `status` command then shows this node as behind.
            log_unusable(revision, problems.front().to_string(), source);
            return false;
        }
        parsed.revision = revision;
        parsed.deflated_text = deflate_text(text);
        return replace(std::make_shared<const configuration>(std::move(parsed)), source);
    }

    bool replace(const std::shared_ptr<const configuration>& next, std::string_view source) {
        {
            const std::scoped_lock lock(mutex);
            if (next->revision <= current.load()->revision) {
                return false;
            }
            current.store(next);
        }
        log::info("configuration_in_force",
                  {{"revision", std::to_string(next->revision)}, {"source", std::string(source)}});
        asio::post(strand, [self = shared_from_this(), next] { self->announce(next); });
        return true;
    }

    /// Calls the listener. Two threads may post their announcements in the opposite order of the revisions;
    /// the older revision is then skipped.
    void announce(const std::shared_ptr<const configuration>& next) {
        wake_waiters();
        if (stopped || !changed || next->revision <= announced) {
            return;
        }
        announced = next->revision;
        changed(next);
    }

    void add_waiter(revision_waiter waiter) {
        std::erase_if(waiters, [](const revision_waiter& other) { return other.is_woken->load(); });
        waiters.push_back(std::move(waiter));
        wake_waiters();
    }

    void wake_waiters() {
        const auto held = current.load()->revision;
        for (const auto& waiter : waiters) {
            if (held > waiter.above) {
                waiter.wake();
            }
        }
    }

    /// Polls at once if the process was suspended: it resumes with the configuration it had before, which may
    /// have been replaced meanwhile. The steady clock continues while a process is suspended, so the timer's
    /// next tick is late by the length of the suspension.
    void check_freeze() {
        const auto now = timer_service::clock::now();
        const auto late = now - last_tick - freeze_check_period;
        last_tick = now;
        if (late < freeze_threshold) {
            return;
        }
        ++freezes;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(late);
        log::warning("process_was_frozen", {{"milliseconds", std::to_string(milliseconds.count())}});
        begin_poll();
    }

    void log_unusable(revision_number revision, const std::string& error, std::string_view source) {
        if (last_unusable.exchange(revision) == revision) {
            return;
        }
        log::error(
            "configuration_unusable",
            {{"revision", std::to_string(revision)}, {"source", std::string(source)}, {"error", error}});
    }

    void log_poll_state(bool succeeded, const std::string& error) {
        if (succeeded == last_poll_succeeded) {
            return;
        }
        last_poll_succeeded = succeeded;
        if (succeeded) {
            log::info("configuration_polls_work");
        } else {
            log::warning("configuration_polls_fail", {{"error", error}});
        }
    }

    asio::strand<asio::any_io_executor> strand;
    timer_service& timers;
    store::table& table;
    std::chrono::milliseconds period;
    change_listener changed;
    std::mutex mutex;
    std::atomic<std::shared_ptr<const configuration>> current;
    std::atomic<revision_number> last_unusable = 0;
    std::vector<revision_waiter> waiters;
    revision_number announced = 0;
    bool polling = false;
    bool poll_again = false;
    bool last_poll_succeeded = true;
    std::atomic<std::uint64_t> failed_polls = 0;
    std::atomic<std::uint64_t> freezes = 0;
    std::atomic<bool> stopped = false;
    timer_service::clock::time_point last_tick;
    timer_subscription poll_timer;
    timer_subscription freeze_timer;
};

configuration_follower::configuration_follower(asio::any_io_executor executor, timer_service& timers,
                                               store::table& table, std::chrono::milliseconds poll_period)
    : m_state(std::make_shared<state>(executor, timers, table, poll_period)) {}

configuration_follower::~configuration_follower() {
    m_state->stopped = true;
    m_state->poll_timer.cancel();
    m_state->freeze_timer.cancel();
}

void configuration_follower::start(change_listener changed) {
    asio::post(m_state->strand, [self = m_state, listener = std::move(changed)]() mutable {
        self->start(std::move(listener));
    });
    const std::weak_ptr weak = m_state;
    m_state->poll_timer = m_state->timers.every(m_state->strand, m_state->period, [weak] {
        if (const auto self = weak.lock()) {
            self->begin_poll();
        }
    });
    m_state->freeze_timer = m_state->timers.every(m_state->strand, freeze_check_period, [weak] {
        if (const auto self = weak.lock()) {
            self->check_freeze();
        }
    });
}

std::shared_ptr<const configuration> configuration_follower::current() const noexcept {
    return m_state->current.load();
}

revision_number configuration_follower::revision() const noexcept {
    return current()->revision;
}

std::uint64_t configuration_follower::failed_polls() const noexcept {
    return m_state->failed_polls;
}

std::uint64_t configuration_follower::freezes() const noexcept {
    return m_state->freezes;
}

bool configuration_follower::apply_committed(revision_number revision, std::string_view text) {
    return m_state->apply(revision, text, "operator");
}

bool configuration_follower::apply_from_peer(revision_number revision,
                                             std::span<const std::uint8_t> deflated_text) {
    if (revision <= m_state->current.load()->revision) {
        return false;
    }
    try {
        return m_state->apply(revision, inflate_text(deflated_text, settings::text_limit), "peer");
    } catch (const compression_error& error) {
        m_state->log_unusable(revision, error.what(), "peer");
        return false;
    }
}

asio::awaitable<bool> configuration_follower::wait_for_newer(revision_number revision,
                                                             std::chrono::milliseconds limit) {
    const auto shared = m_state;
    const auto executor = co_await asio::this_coro::executor;
    timer_subscription timeout;
    auto initiate = [&](auto handler) {
        auto held = std::make_shared<decltype(handler)>(std::move(handler));
        auto is_woken = std::make_shared<std::atomic<bool>>(false);
        auto wake = [held, is_woken, executor] {
            if (!is_woken->exchange(true)) {
                asio::post(executor, [held] { std::move (*held)(); });
            }
        };
        timeout = shared->timers.after(shared->strand, limit, wake);
        asio::post(shared->strand, [shared, waiter = revision_waiter{revision, is_woken, wake}] {
            shared->add_waiter(waiter);
        });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(initiate, asio::use_awaitable);
    co_return shared->current.load()->revision > revision;
}

void configuration_follower::poll_soon() {
    asio::post(m_state->strand, [self = m_state] { self->begin_poll(); });
}

} // namespace borageford::configuration
