// Group commit of claims, and resolving answers that were lost.
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

constexpr std::size_t most_in_transaction = 100;
/// Changes that nobody waits for go with the next claim, or after this.
constexpr std::chrono::milliseconds background_window{200};

/// How one change of a row ended.
enum class change_outcome : std::uint8_t { waiting, committed, conflict, refused, unknown };

/// One row to change, and the coroutine that waits for it.
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
    std::optional<std::string> value; ///< nothing: the row is removed
    bool is_urgent;                   ///< a request waits for it
    change_outcome outcome = change_outcome::waiting;
    std::uint64_t version = 0;
    asio::steady_timer done; ///< cancelled when the outcome is known
};

using change_pointer = std::shared_ptr<row_change>;

} // namespace

/// Invariant: `waiting` and the changes in it are touched only on the strand; one transaction is under way
/// at a time, so that what comes meanwhile shares the next.
struct claim_store::state : std::enable_shared_from_this<claim_store::state> {
    state(const asio::any_io_executor& executor, store::table& given, std::chrono::milliseconds wait,
          std::chrono::milliseconds most)
        : strand(asio::make_strand(executor)), table(given), window(wait), limit(most), pause(strand) {}

    asio::awaitable<change_pointer> submit(std::string key, std::uint64_t expected,
                                           std::optional<std::string> value);
    void submit_in_background(std::string key, std::uint64_t expected, std::optional<std::string> value);
    void enqueue(change_pointer change);
    asio::awaitable<void> flush();
    asio::awaitable<void> gather();
    [[nodiscard]] bool has_urgent() const;
    std::vector<change_pointer> take_batch();
    asio::awaitable<void> commit(const std::vector<change_pointer>& batch);
    void settle(const std::vector<change_pointer>& batch, const store::transaction_result& result);
    asio::awaitable<claim_result> resolve(std::string key, const claim& wanted, bool effect_unknown);
    static void finish(row_change& change, change_outcome outcome);

    asio::strand<asio::any_io_executor> strand;
    store::table& table;
    std::chrono::milliseconds window;
    std::chrono::milliseconds limit;
    std::deque<change_pointer> waiting;
    asio::steady_timer pause;
    bool can_be_hurried = false; ///< `pause` runs for changes that nobody waits for
    std::atomic<bool> flushing = false;
};

void claim_store::state::finish(row_change& change, change_outcome outcome) {
    change.outcome = outcome;
    change.done.cancel();
}

void claim_store::state::enqueue(change_pointer change) {
    const bool is_urgent = change->is_urgent;
    waiting.push_back(std::move(change));
    if (!flushing.exchange(true)) {
        asio::co_spawn(strand, flush(), asio::detached);
    } else if (is_urgent && can_be_hurried) {
        pause.cancel();
    }
}

bool claim_store::state::has_urgent() const {
    return std::ranges::any_of(waiting, [](const change_pointer& change) { return change->is_urgent; });
}

/// Lets changes come together before they share a transaction: a few milliseconds where a request waits.
asio::awaitable<void> claim_store::state::gather() {
    boost::system::error_code ignored;
    if (!has_urgent()) {
        can_be_hurried = true;
        pause.expires_after(background_window);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        can_be_hurried = false;
    }
    if (has_urgent()) {
        pause.expires_after(window);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/// Runs on the strand until nothing waits.
asio::awaitable<void> claim_store::state::flush() {
    const auto self = shared_from_this();
    while (!waiting.empty()) {
        co_await gather();
        co_await commit(take_batch());
    }
    flushing.store(false);
}

/// Two changes of one row can't share a transaction; the later one waits for the next.
std::vector<change_pointer> claim_store::state::take_batch() {
    std::vector<change_pointer> batch;
    std::deque<change_pointer> later;
    std::set<std::string_view> keys;
    std::ranges::partition(waiting, [](const change_pointer& change) { return change->is_urgent; });
    for (auto& change : waiting) {
        const bool fits = batch.size() < most_in_transaction && keys.insert(change->key).second;
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
        settle(batch, result);
        co_return;
    }
    for (const auto& change : batch) {
        finish(*change, *failure);
    }
}

/// A transaction is all or nothing: when one claim is held already, the others go again without it.
void claim_store::state::settle(const std::vector<change_pointer>& batch,
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

/// Reads the row to learn whose claim stands in it.
///
/// The write may have taken effect although its answer was lost; without this, the caller would be told
/// "not run" for a key that is now taken by nobody, and would find it blocked when it comes back. If the
/// row can't be read either, nothing is started: "not run" stays true, and the next resend finds the row,
/// asks the sidecar, learns that it never began, and takes it over.
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
        co_return claim_taken{current.version};
    }
    co_return claim_held{std::move(current)};
}

claim_store::claim_store(asio::any_io_executor executor, store::table& table,
                         std::chrono::milliseconds window, std::chrono::milliseconds limit)
    : m_state(std::make_shared<state>(executor, table, window, limit)) {}

claim_store::~claim_store() = default;

asio::awaitable<claim_result> claim_store::take(std::string workspace, std::string key, claim wanted) {
    const auto shared = m_state;
    const auto name = claim_key(workspace, key);
    const auto change = co_await shared->submit(name, wanted.version, encode_claim(wanted));
    switch (change->outcome) {
    case change_outcome::committed:
        co_return claim_taken{change->version};
    case change_outcome::conflict:
        co_return co_await shared->resolve(name, wanted, false);
    case change_outcome::unknown:
    case change_outcome::waiting: // the limit has passed with the transaction still under way
        co_return co_await shared->resolve(name, wanted, true);
    case change_outcome::refused:
        break;
    }
    throw request_error(error_kind::platform_unavailable, {}, shared->limit);
}

asio::awaitable<std::optional<claim>> claim_store::read(std::string workspace, std::string key) {
    std::optional<claim> standing;
    try {
        const auto row = co_await m_state->table.read(claim_key(workspace, key));
        if (row) {
            standing = decode_claim(*row);
        }
    } catch (const store::store_error&) {
        // Unknown is all that can be said.
    }
    co_return standing;
}

void claim_store::note_finished(std::string workspace, std::string key, claim finished) {
    finished.state = claim_state::finished;
    m_state->submit_in_background(claim_key(workspace, key), finished.version, encode_claim(finished));
}

void claim_store::release(std::string workspace, std::string key, claim unused) {
    m_state->submit_in_background(claim_key(workspace, key), unused.version, std::nullopt);
}

bool claim_store::is_idle() const noexcept {
    return !m_state->flushing.load();
}

} // namespace borageford::entry
