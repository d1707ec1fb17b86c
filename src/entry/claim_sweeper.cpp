// Counts epochs, reads pages of claims and removes those of epochs that are over for long enough.
#include "entry/claim_sweeper.hpp"

#include "base/log.hpp"
#include "entry/claim_epochs.hpp"
#include "entry/claim_row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <exception>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;

/// Invariant: `epoch_timer` is accessed only on the strand `executor`.
struct claim_sweeper::state : std::enable_shared_from_this<claim_sweeper::state> {
    state(const asio::any_io_executor& sweep_executor, timer_service& timer_provider,
          store::table& claim_table, claim_sweeper_settings sweep_settings)
        : executor(asio::make_strand(sweep_executor)),
          timers(timer_provider),
          table(claim_table),
          settings(sweep_settings),
          epoch_timer(sweep_settings.retention) {}

    asio::awaitable<void> sweep();
    asio::awaitable<claim_epochs> read_epochs();
    asio::awaitable<void> begin_epoch(const claim_epochs& current);
    asio::awaitable<void> remove_before(std::uint64_t version);

    asio::any_io_executor executor;
    timer_service& timers;
    store::table& table;
    claim_sweeper_settings settings;
    claim_epoch_timer epoch_timer;
    timer_subscription timer;
};

asio::awaitable<claim_epochs> claim_sweeper::state::read_epochs() {
    const auto row = co_await table.read(claim_epochs_key);
    if (!row) {
        co_return claim_epochs();
    }
    try {
        co_return decode_claim_epochs(*row);
    } catch (const std::exception& problem) {
        log::warning("claim_epochs_invalid", {{"problem", problem.what()}});
    }
    // Counting begins again from an empty list, so claims are kept for longer and never for less time.
    co_return claim_epochs{{}, row->version};
}

/// Begins the next epoch. If another entry has begun it already, the row's version differs and nothing is
/// written.
asio::awaitable<void> claim_sweeper::state::begin_epoch(const claim_epochs& current) {
    const std::string key(claim_epochs_key);
    store::transaction change;
    change.conditions.push_back({key, current.version});
    change.puts.push_back({key, encode_claim_epochs(next_epoch(current))});
    co_await table.transact(change);
}

/// Reads one page of claims and removes those that were written before this version of the table. Since the
/// position is random, an entry needn't remember where its last sweep ended, and entries needn't agree on who
/// reads which rows.
asio::awaitable<void> claim_sweeper::state::remove_before(std::uint64_t version) {
    const auto rows = co_await table.scan(claim_prefix, random_claim_position(), settings.page_size);
    store::transaction changes;
    for (const auto& row : rows) {
        if (row.version < version) {
            // If a row has been rewritten in the meantime, its version differs and the whole transaction
            // has no effect.
            changes.conditions.push_back({row.key, row.version});
            changes.deletes.push_back(row.key);
        }
    }
    if (!changes.deletes.empty()) {
        co_await table.transact(changes);
    }
}

asio::awaitable<void> claim_sweeper::state::sweep() {
    const auto self = shared_from_this();
    try {
        const auto epochs = co_await read_epochs();
        if (epoch_timer.is_over(epochs.version, timer_service::clock::now())) {
            co_await begin_epoch(epochs);
        }
        co_await remove_before(first_retained_version(epochs));
    } catch (const store::store_error& error) {
        log::info("claim_sweep_failed", {{"problem", error.what()}}); // a later sweep removes the rows
    }
}

claim_sweeper::claim_sweeper(asio::any_io_executor executor, timer_service& timers, store::table& table,
                             claim_sweeper_settings settings)
    : m_state(std::make_shared<state>(executor, timers, table, settings)) {}

claim_sweeper::~claim_sweeper() {
    m_state->timer.cancel();
}

void claim_sweeper::start() {
    m_state->timer =
        m_state->timers.every(m_state->executor, m_state->settings.period, [weak = std::weak_ptr(m_state)] {
            if (const auto shared = weak.lock()) {
                asio::co_spawn(shared->executor, shared->sweep(), asio::detached);
            }
        });
}

} // namespace borageford::entry
