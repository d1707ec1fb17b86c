// Implementation of rollout_recorder: reads the row, compares it, writes it under a condition and reads it
// again if that fails.
#include "gateway/rollout_recorder.hpp"

#include "base/pause.hpp"
#include "events/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;

namespace {

/// Delay after a failed call. It is short enough for a final state to be recorded in time, and long enough
/// not to add load to a store in trouble.
constexpr std::chrono::milliseconds retry_delay{300};

} // namespace

rollout_recorder::rollout_recorder(asio::any_io_executor executor, timer_service& timers, store::table& table,
                                   const deployment& current_deployment, status_listener on_known)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_table(table),
      m_deployment(current_deployment),
      m_on_known(std::move(on_known)) {}

void rollout_recorder::record(const routing::rollout_status& status) {
    const auto number = ++m_latest[status.service];
    asio::co_spawn(m_executor, run(status, number), asio::detached);
}

bool rollout_recorder::is_latest(const std::string& service, std::uint64_t number) const {
    return m_latest.at(service) == number;
}

asio::awaitable<void> rollout_recorder::run(routing::rollout_status wanted, std::uint64_t number) {
    for (;;) {
        std::string failure;
        try {
            const bool is_done = co_await try_once(wanted, number);
            if (is_done) {
                co_return;
            }
            failure = "another write intervened";
        } catch (const std::exception& error) {
            failure = error.what();
        }
        if (!is_latest(wanted.service, number)) {
            co_return;
        }
        events::write(events::event_kind::rollout_not_recorded,
                      {{"service", wanted.service}, {"reason", failure}});
        co_await pause(m_timers, retry_delay);
    }
}

/// Returns false when another write intervened, and the row has to be read again.
asio::awaitable<bool> rollout_recorder::try_once(const routing::rollout_status& wanted,
                                                 std::uint64_t number) {
    const auto key = m_deployment.rollout_status_prefix + wanted.service;
    const auto row = co_await m_table.read(key);
    if (!is_latest(wanted.service, number)) {
        co_return true;
    }
    if (row.has_value()) {
        const auto found = m_deployment.decode_rollout_status(wanted.service, row->value);
        const bool is_same = found.to == wanted.to;
        if (is_same && (found.state != routing::rollout_state::running || found.state == wanted.state)) {
            m_on_known(found);
            co_return true;
        }
    }
    store::transaction change;
    change.conditions.push_back({key, row.has_value() ? row->version : 0});
    change.puts.push_back({key, m_deployment.encode_rollout_status(wanted)});
    const auto result = co_await m_table.transact(change);
    if (result.committed && is_latest(wanted.service, number)) {
        m_on_known(wanted);
    }
    co_return result.committed;
}

} // namespace borageford::gateway
