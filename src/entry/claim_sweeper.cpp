// Reads pages of claims and removes the old ones.
#include "entry/claim_sweeper.hpp"

#include "entry/claim_row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;

struct claim_sweeper::state : std::enable_shared_from_this<claim_sweeper::state> {
    state(asio::any_io_executor sweep_executor, timer_service& timer_provider, store::table& claim_table,
          claim_sweeper_settings sweep_settings)
        : executor(std::move(sweep_executor)),
          timers(timer_provider),
          table(claim_table),
          settings(sweep_settings) {}

    asio::awaitable<void> sweep();
    [[nodiscard]] bool is_expired(const store::row& row) const;

    asio::any_io_executor executor;
    timer_service& timers;
    store::table& table;
    claim_sweeper_settings settings;
    timer_subscription timer;
};

bool claim_sweeper::state::is_expired(const store::row& row) const {
    try {
        const auto retention = std::chrono::duration_cast<std::chrono::seconds>(settings.retention);
        return claim_time_now() - decode_claim(row).time > retention.count();
    } catch (const std::exception&) {
        return false; // the row was written by a version of this program with another format
    }
}

/// Reads and cleans one page of claims. Since the position is random, an entry needn't remember where its
/// last sweep ended, and entries needn't agree on who reads which rows.
asio::awaitable<void> claim_sweeper::state::sweep() {
    const auto self = shared_from_this();
    try {
        const auto rows = co_await table.scan(claim_prefix, random_claim_position(), settings.page_size);
        store::transaction changes;
        for (const auto& row : rows) {
            if (is_expired(row)) {
                // If a row has been rewritten in the meantime, its version differs and the whole transaction
                // has no effect.
                changes.conditions.push_back({row.key, row.version});
                changes.deletes.push_back(row.key);
            }
        }
        if (changes.deletes.empty()) {
            co_return;
        }
        co_await table.transact(changes);
    } catch (const store::store_error&) {
        // A later sweep removes the rows.
    }
}

claim_sweeper::claim_sweeper(asio::any_io_executor executor, timer_service& timers, store::table& table,
                             claim_sweeper_settings settings)
    : m_state(std::make_shared<state>(std::move(executor), timers, table, settings)) {}

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
