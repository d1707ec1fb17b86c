// Decodes the calls of the store's HTTP interface, executes them on a row_store, and encodes the answers.
#include "emulator/emulated_store.hpp"

#include "base/pause.hpp"
#include "platform/backend_codec.hpp"
#include "platform/store_service_codec.hpp"

#include <map>
#include <string>
#include <utility>
#include <variant>

namespace borageford::emulator {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The period at which an open poll checks for new changes.
constexpr milliseconds poll_period{5};
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

std::uint64_t clock_ms() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

http::response refuse(unsigned status) {
    return http::make_response(status, "application/json", "{}");
}

/// The answer to a request that the HTTP server couldn't parse.
http::response refuse_unread(error_kind kind, std::string_view detail) {
    return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
}

} // namespace

emulated_store::emulated_store(asio::any_io_executor executor, timer_service& timers)
    : m_executor(executor),
      m_timers(timers),
      m_server(
          m_executor, {},
          [this](const http::request& call, http::response_writer& writer) { return handle(call, writer); },
          refuse_unread) {}

asio::ip::tcp::endpoint emulated_store::listen(const asio::ip::tcp::endpoint& address) {
    return m_server.listen(address);
}

asio::awaitable<void> emulated_store::handle(const http::request& call, http::response_writer& writer) {
    ++m_calls;
    if (m_delay > milliseconds::zero()) {
        co_await pause(m_timers, m_delay);
    }
    if (m_state == store_state::reset) {
        writer.abort();
        co_return;
    }
    if (m_state == store_state::silent) {
        co_await leave_unanswered(writer);
        co_return;
    }
    auto response = co_await answer(call);
    if (m_state == store_state::silent) {
        co_await leave_unanswered(writer);
        co_return;
    }
    platform::add_era_header(response, m_era_override.value_or(m_rows.era()));
    co_await writer.write(response);
}

bool emulated_store::should_refuse_call() noexcept {
    return m_state == store_state::busy || (m_state == store_state::partly && m_calls % 2 == 0);
}

void emulated_store::restore_from_copy(const store_restore& how) {
    const auto lost = m_rows.restore(row_store::clock::now() - how.age);
    std::vector<store::row_change> of_servers;
    std::vector<store::row_change> of_operators;
    for (const auto& change : lost) {
        auto& writer = change.now.key.starts_with(platform::backend_table) ? of_servers : of_operators;
        writer.push_back(change);
    }
    const auto plan = [this](milliseconds delay, std::vector<store::row_change> changes) {
        auto write = [this, changes = std::move(changes), copied = m_rows.version()] {
            rewrite_lost_changes(changes, copied);
        };
        m_planned_writes.push_back(m_timers.after(m_executor, delay, std::move(write)));
    };
    plan(how.servers_after, std::move(of_servers));
    plan(how.operators_after, std::move(of_operators));
}

void emulated_store::rewrite_lost_changes(const std::vector<store::row_change>& lost,
                                          std::uint64_t copied_version) {
    std::map<std::string, store::row_change> last;
    for (const auto& change : lost) {
        last.insert_or_assign(change.now.key, change);
    }
    for (const auto& [key, change] : last) {
        const auto now = m_rows.read(key);
        if (now.has_value() && now->version > copied_version) {
            continue;
        }
        store::transaction transaction;
        if (change.is_removed) {
            transaction.deletes.push_back(key);
        } else {
            transaction.puts.push_back({key, change.now.value});
        }
        static_cast<void>(m_rows.transact(transaction));
    }
}

asio::awaitable<void> emulated_store::leave_unanswered(http::response_writer& writer) {
    ++m_unanswered;
    co_await writer.wait_for_disconnect();
    --m_unanswered;
    writer.abort();
}

asio::awaitable<http::response> emulated_store::answer(const http::request& call) {
    if (should_refuse_call()) {
        co_return refuse(status_unavailable);
    }
    if (m_state == store_state::rate_limited) {
        co_return refuse(status_too_many);
    }
    const auto decoded = platform::decode_store_call(call);
    if (const auto* scan = std::get_if<platform::scan_call>(&decoded)) {
        auto page = m_rows.scan(scan->prefix, scan->after, scan->limit, scan->includes_after);
        page.store_time = clock_ms();
        co_return platform::encode_rows(page);
    }
    if (const auto* changes = std::get_if<platform::changes_call>(&decoded)) {
        auto answered = co_await wait_for_changes(changes->table, changes->after, changes->wait);
        co_return answered;
    }
    if (const auto* transaction = std::get_if<store::transaction>(&decoded)) {
        const auto result = m_rows.transact(*transaction);
        if (result.committed) {
            co_return platform::encode_committed(result);
        }
        store::row_page current;
        current.position = {m_rows.era(), m_rows.version()};
        for (const auto& key : result.failed_keys) {
            if (auto row = m_rows.read(key)) {
                current.rows.push_back(*std::move(row));
            }
        }
        co_return platform::encode_conflict(current);
    }
    co_return refuse(status_not_found);
}

asio::awaitable<http::response> emulated_store::wait_for_changes(std::string table, std::uint64_t after,
                                                                 milliseconds wait) {
    const auto end = std::chrono::steady_clock::now() + wait;
    for (;;) {
        auto page = m_rows.changes(table, after);
        if (!page.has_value()) {
            co_return platform::encode_history_gone();
        }
        const bool is_over = std::chrono::steady_clock::now() >= end || m_state != store_state::available;
        if (!page->changes.empty() || is_over) {
            page->store_time = clock_ms();
            co_return platform::encode_changes(*page);
        }
        co_await pause(m_timers, poll_period);
    }
}

} // namespace borageford::emulator
