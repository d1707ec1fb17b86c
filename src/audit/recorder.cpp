// Implements recorder: closes a batch in each flush period and writes a few of the closed batches.
#include "audit/recorder.hpp"

#include "audit/backlog.hpp"
#include "base/log.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>

namespace borageford::audit {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::system_clock;

/// Limits the writes of one process per flush period. After an outage of the store every process has a
/// backlog; if 1,650 processes wrote theirs at once, they would overload the store again. Four batches per
/// process in each period of 30 s are at most 220 writes per second, and clear the 120 batches of an hour's
/// outage in 20 minutes.
constexpr unsigned writes_per_period = 4;
constexpr milliseconds flush_retry_delay{200};

backlog_limits limits_of(const recorder_settings& settings) {
    return {std::max<std::size_t>(settings.batch_limit, 1), settings.memory_limit};
}

/// A random duration below the period. The first period is delayed by it, so that processes that were started
/// together don't write at the same time.
milliseconds random_phase(milliseconds period) {
    const auto whole = static_cast<std::uint64_t>(std::max<milliseconds::rep>(period.count(), 1));
    return milliseconds(identifier::random().low % whole);
}

} // namespace

/// State that timers and writes share with the recorder. Invariants: all members except `records` are used
/// only on the strand; at most one write is in progress.
struct recorder::state : std::enable_shared_from_this<recorder::state> {
    state(const asio::any_io_executor& executor, timer_service& timer_source, store::object_store& target,
          recorder_settings chosen)
        : strand(asio::make_strand(executor)),
          timers(timer_source),
          store(target),
          settings(std::move(chosen)),
          records({settings.role, settings.vm, settings.backend_server}, identifier::random(),
                  limits_of(settings)) {}

    void start() {
        phase_timer = timers.after(strand, random_phase(settings.flush_period),
                                   make_weak_callback(&state::begin_period));
    }

    /// Returns a callback that calls the member function if the state still exists, without keeping it alive.
    std::function<void()> make_weak_callback(void (state::*call)()) {
        return [weak = weak_from_this(), call] {
            if (const auto self = weak.lock()) {
                ((*self).*call)();
            }
        };
    }

    void begin_period() {
        period_timer = timers.every(strand, settings.flush_period, make_weak_callback(&state::end_period));
        end_period();
    }

    void end_period() {
        records.close(system_clock::now(), false);
        allowed_writes = writes_per_period;
        write_soon();
    }

    void begin_flush(milliseconds limit, std::function<void()> done) {
        phase_timer.cancel();
        period_timer.cancel();
        records.close(system_clock::now(), true);
        flushed = std::move(done);
        flush_timer = timers.after(strand, limit, make_weak_callback(&state::end_flush));
        write_soon();
    }

    void end_flush() {
        flush_timer.cancel();
        retry_timer.cancel();
        if (const auto done = std::exchange(flushed, {})) {
            done();
        }
    }

    void write_soon() {
        if (is_writing) {
            return;
        }
        is_writing = true;
        asio::co_spawn(strand, write_all(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> write_all(std::shared_ptr<state> self) {
        while (self->may_write()) {
            auto next = self->records.begin_write();
            if (!next) {
                break;
            }
            const bool is_written = co_await self->write(std::move(*next));
            if (!is_written) {
                self->retry_flush();
                break;
            }
        }
        self->is_writing = false;
        if (self->flushed && self->records.closed_batches() == 0) {
            self->end_flush();
        }
    }

    /// Called after a failed write. During a flush the write is repeated after a short delay; otherwise it is
    /// repeated in the next flush period.
    void retry_flush() {
        if (flushed) {
            retry_timer = timers.after(strand, flush_retry_delay, make_weak_callback(&state::write_soon));
        }
    }

    bool may_write() {
        if (flushed) {
            return true;
        }
        if (allowed_writes == 0) {
            return false;
        }
        --allowed_writes;
        return true;
    }

    asio::awaitable<bool> write(pending_object object) {
        bool is_written = false;
        try {
            co_await store.put(object.key, std::move(object.text));
            is_written = true;
        } catch (const store::store_error& error) {
            // The batch stays in the backlog and is written again. This is safe even if the write took effect
            // and only the answer was lost: the same bytes under the same key don't make a second batch.
            log_outage(error.what());
        }
        records.end_write(object.sequence, is_written);
        if (is_written) {
            log_recovery();
        }
        co_return is_written;
    }

    void log_outage(const std::string& reason) {
        if (!std::exchange(is_store_unavailable, true)) {
            log::warning("audit_store_unavailable", {{"reason", reason}});
        }
    }

    void log_recovery() {
        if (std::exchange(is_store_unavailable, false)) {
            log::info("audit_store_available", {{"lost_records", std::to_string(records.lost_records())}});
        }
    }

    asio::strand<asio::any_io_executor> strand;
    timer_service& timers;
    store::object_store& store;
    const recorder_settings settings;
    backlog records;
    timer_subscription phase_timer;
    timer_subscription period_timer;
    timer_subscription flush_timer;
    timer_subscription retry_timer;
    std::function<void()> flushed; ///< callback of flush(); empty if no flush is in progress
    unsigned allowed_writes = 0;
    bool is_writing = false;
    bool is_store_unavailable = false;
};

recorder::recorder(asio::any_io_executor executor, timer_service& timers, store::object_store& store,
                   recorder_settings settings)
    : m_state(std::make_shared<state>(executor, timers, store, std::move(settings))) {}

recorder::~recorder() = default;

void recorder::start() {
    asio::post(m_state->strand, [self = m_state] { self->start(); });
}

void recorder::record(audit::record audit_record) {
    m_state->records.add(std::move(audit_record));
}

void recorder::flush(milliseconds limit, std::function<void()> done) {
    asio::post(m_state->strand, [self = m_state, limit, done = std::move(done)]() mutable {
        self->begin_flush(limit, std::move(done));
    });
}

std::uint64_t recorder::lost_records() const noexcept {
    return m_state->records.lost_records();
}

std::size_t recorder::held_records() const noexcept {
    return m_state->records.held_records();
}

} // namespace borageford::audit
