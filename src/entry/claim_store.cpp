// Groups the changes of claims into transactions, and finds out whether a write took effect when its response
// was lost.
#include "entry/claim_store.hpp"

#include "base/request_error.hpp"
#include "entry/claim_row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <optional>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

namespace borageford::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_transaction_changes = 100;
/// Changes that no request waits for are written together with the next claim, or after this time.
constexpr std::chrono::milliseconds background_window{200};

/// How the change of a row ended: `refused` changed nothing, while `unknown` may have taken effect.
enum class change_outcome : std::uint8_t { waiting, committed, conflict, refused, unknown };

/// One row to write or remove, with the timer by which a coroutine waits for the outcome.
struct row_change {
    row_change(const asio::any_io_executor& executor, std::string row, std::uint64_t expected,
               std::optional<std::string> text, bool urgent)
        : key(std::move(row)),
          expected_version(expected),
          value(std::move(text)),
          is_urgent(urgent),
          done(executor, asio::steady_timer::time_point::max()) {}

    std::string key;
    std::uint64_t expected_version;
    std::optional<std::string> value; ///< the new value; nothing: remove the row
    bool is_urgent;                   ///< true when a request waits for the outcome
    change_outcome outcome = change_outcome::waiting;
    std::uint64_t version = 0; ///< version of the row after the change was committed
    asio::steady_timer done;   ///< cancelled when the outcome is known
};

using change_pointer = std::shared_ptr<row_change>;

} // namespace

/// Invariants: `waiting` and the changes in it are accessed only on the strand. Only one transaction is in
/// progress at a time; changes that are requested during it share the next transaction.
struct claim_store::state : std::enable_shared_from_this<claim_store::state> {
    state(const asio::any_io_executor& executor, store::table& platform_table,
          std::chrono::milliseconds collect_window, std::chrono::milliseconds write_limit)
        : strand(asio::make_strand(executor)),
          table(platform_table),
          window(collect_window),
          limit(write_limit),
          collect_timer(strand) {}

    asio::awaitable<change_pointer> submit(std::string key, std::uint64_t expected,
                                           std::optional<std::string> value);
    void submit_in_background(std::string key, std::uint64_t expected, std::optional<std::string> value);
    void enqueue(change_pointer change);
    asio::awaitable<void> flush();
    asio::awaitable<void> wait_for_changes();
    [[nodiscard]] bool has_urgent() const;
    std::vector<change_pointer> take_batch();
    asio::awaitable<void> commit(const std::vector<change_pointer>& batch);
    void set_outcomes(const std::vector<change_pointer>& batch, const store::transaction_result& result);
    asio::awaitable<claim_result> resolve(std::string key, const claim& wanted, bool effect_unknown);
    static void finish(row_change& change, change_outcome outcome);

    asio::strand<asio::any_io_executor> strand;
    store::table& table;
    std::chrono::milliseconds window;
    std::chrono::milliseconds limit;
    std::deque<change_pointer> waiting;
    asio::steady_timer collect_timer;
    bool is_background_wait = false;       ///< `collect_timer` is running and an urgent change may cancel it
    std::atomic<bool> is_flushing = false; ///< the coroutine flush() is running
};

void claim_store::state::finish(row_change& change, change_outcome outcome) {
    change.outcome = outcome;
    change.done.cancel();
}

void claim_store::state::enqueue(change_pointer change) {
    const bool is_urgent = change->is_urgent;
    waiting.push_back(std::move(change));
    if (!is_flushing.exchange(true)) {
        asio::co_spawn(strand, flush(), asio::detached);
    } else if (is_urgent && is_background_wait) {
        collect_timer.cancel();
    }
}

bool claim_store::state::has_urgent() const {
    return std::ranges::any_of(waiting, [](const change_pointer& change) { return change->is_urgent; });
}

/// Waits so that several changes can share a transaction: `background_window` as long as no request waits for
/// one of them, and then `window`, which is a few milliseconds, once a request does.
asio::awaitable<void> claim_store::state::wait_for_changes() {
    boost::system::error_code ignored;
    if (!has_urgent()) {
        is_background_wait = true;
        collect_timer.expires_after(background_window);
        co_await collect_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        is_background_wait = false;
    }
    if (has_urgent()) {
        collect_timer.expires_after(window);
        co_await collect_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/// Writes the waiting changes, one transaction after another, until there are none. Runs on the strand.
asio::awaitable<void> claim_store::state::flush() {
    const auto self = shared_from_this();
    while (!waiting.empty()) {
        co_await wait_for_changes();
        co_await commit(take_batch());
    }
    is_flushing.store(false);
}

/// Removes the changes of the next transaction from `waiting`, urgent ones first. Two changes of one row
/// can't share a transaction, so the second of them stays for the following transaction.
std::vector<change_pointer> claim_store::state::take_batch() {
    std::vector<change_pointer> batch;
    std::deque<change_pointer> later;
    std::set<std::string_view> keys;
    std::ranges::partition(waiting, [](const change_pointer& change) { return change->is_urgent; });
    for (auto& change : waiting) {
        const bool fits = batch.size() < max_transaction_changes && keys.insert(change->key).second;
        if (fits) {
            batch.push_back(std::move(change));
        } else {
            later.push_back(std::move(change));
        }
    }
    waiting = std::move(later);
    return batch;
}

asio::awaitable<void> claim_store::state::commit(const std::vector<change_pointer>& batch) {
    store::transaction changes;
    for (const auto& change : batch) {
        changes.conditions.push_back({change->key, change->expected_version});
        if (change->value) {
            changes.puts.push_back({change->key, *change->value});
        } else {
            changes.deletes.push_back(change->key);
        }
    }
    std::optional<change_outcome> failure;
    store::transaction_result result;
    try {
        result = co_await table.transact(changes);
    } catch (const store::store_error& error) {
        failure = error.possible_effect() == store::effect::none ? change_outcome::refused
                                                                 : change_outcome::unknown;
    }
    if (!failure) {
        set_outcomes(batch, result);
        co_return;
    }
    for (const auto& change : batch) {
        finish(*change, *failure);
    }
}

/// Sets the outcome of each change of a transaction. A transaction is applied completely or not at all: when
/// rows had another version than expected, the remaining changes are queued again without them.
void claim_store::state::set_outcomes(const std::vector<change_pointer>& batch,
                                      const store::transaction_result& result) {
    for (const auto& change : batch | std::views::reverse) {
        if (result.committed) {
            change->version = result.version;
            finish(*change, change_outcome::committed);
        } else if (std::ranges::find(result.failed_keys, change->key) != result.failed_keys.end()) {
            finish(*change, change_outcome::conflict);
        } else {
            waiting.push_front(change);
        }
    }
}

asio::awaitable<change_pointer> claim_store::state::submit(std::string key, std::uint64_t expected,
                                                           std::optional<std::string> value) {
    co_await asio::dispatch(strand, asio::use_awaitable);
    const auto change =
        std::make_shared<row_change>(strand, std::move(key), expected, std::move(value), true);
    enqueue(change);
    boost::system::error_code ignored;
    change->done.expires_after(limit);
    if (change->outcome == change_outcome::waiting) {
        co_await change->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return change;
}

void claim_store::state::submit_in_background(std::string key, std::uint64_t expected,
                                              std::optional<std::string> value) {
    asio::dispatch(strand, [self = shared_from_this(), row = std::move(key), expected,
                            text = std::move(value)]() mutable {
        self->enqueue(
            std::make_shared<row_change>(self->strand, std::move(row), expected, std::move(text), false));
    });
}

/// Reads the row to find out whose claim it holds.
///
/// The write may have taken effect although its response was lost. If the claim were simply given up then,
/// the row would stay behind: the caller would be told "not run", and its resend would be blocked by a claim
/// that no run belongs to. If the row can't be read either, the call is refused as not run, which is true
/// because nothing was started. A resend then finds the row, asks the sidecar, learns that the call was never
/// begun, and takes the claim over.
asio::awaitable<claim_result> claim_store::state::resolve(std::string key, const claim& wanted,
                                                          bool effect_unknown) {
    std::optional<store::row> row;
    bool can_read = true;
    try {
        row = co_await table.read(key);
    } catch (const store::store_error&) {
        can_read = false;
    }
    if (!can_read || !row) {
        throw request_error(error_kind::platform_unavailable,
                            "The claim of the idempotency key could not be confirmed.", limit);
    }
    auto current = decode_claim(*row);
    if (current.dispatch == wanted.dispatch && effect_unknown) {
        co_return claim_written{current.version};
    }
    co_return claim_conflict{std::move(current)};
}

claim_store::claim_store(asio::any_io_executor executor, store::table& table,
                         std::chrono::milliseconds window, std::chrono::milliseconds limit)
    : m_state(std::make_shared<state>(executor, table, window, limit)) {}

claim_store::~claim_store() = default;

asio::awaitable<claim_result> claim_store::try_claim(std::string workspace, std::string key, claim wanted) {
    const auto shared_state = m_state;
    const auto name = claim_key(workspace, key);
    const auto change = co_await shared_state->submit(name, wanted.version, encode_claim(wanted));
    switch (change->outcome) {
    case change_outcome::committed:
        co_return claim_written{change->version};
    case change_outcome::conflict:
        co_return co_await shared_state->resolve(name, wanted, false);
    case change_outcome::unknown:
    case change_outcome::waiting: // the timeout has passed and the transaction is still in progress
        co_return co_await shared_state->resolve(name, wanted, true);
    case change_outcome::refused:
        break;
    }
    throw request_error(error_kind::platform_unavailable, {}, shared_state->limit);
}

asio::awaitable<std::optional<claim>> claim_store::read(std::string workspace, std::string key) {
    std::optional<claim> existing;
    try {
        const auto row = co_await m_state->table.read(claim_key(workspace, key));
        if (row) {
            existing = decode_claim(*row);
        }
    } catch (const store::store_error&) {
        // The table can't be read, so whether there is a claim stays unknown.
    }
    co_return existing;
}

void claim_store::record_finished(std::string workspace, std::string key, claim finished) {
    finished.state = claim_state::finished;
    m_state->submit_in_background(claim_key(workspace, key), finished.version, encode_claim(finished));
}

void claim_store::release(std::string workspace, std::string key, claim unused) {
    m_state->submit_in_background(claim_key(workspace, key), unused.version, std::nullopt);
}

bool claim_store::is_idle() const noexcept {
    return !m_state->is_flushing.load();
}

} // namespace borageford::entry
