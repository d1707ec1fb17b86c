// Implementation of order_controller: comparing the engine with its configuration and giving orders.
#include "sidecar/order_controller.hpp"

#include "base/log.hpp"
#include "sidecar/engine_plan.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <random>
#include <string>
#include <utility>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds first_backoff{500};
constexpr milliseconds longest_backoff{30'000};

milliseconds random_delay(milliseconds longest) {
    static thread_local std::minstd_rand source{std::random_device{}()};
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(source));
}

bool is_load(const backend::order& command) {
    return command.kind == backend::order_kind::load_model ||
           command.kind == backend::order_kind::load_adapter;
}

} // namespace

order_controller::order_controller(sidecar_context& context, backend::backend_server& server,
                                   identifier incarnation, std::function<void()> models_changed)
    : m_context(context),
      m_server(server),
      m_models_changed(std::move(models_changed)),
      m_lease(context.table, context.settings.backend_server, incarnation, context.settings.order_lease) {}

void order_controller::start() {
    m_timer =
        m_context.timers.every(m_context.strand, m_context.settings.order_period, [this] { compare_soon(); });
    compare_soon();
}

asio::awaitable<void> order_controller::stop() {
    m_is_stopped = true;
    m_timer.cancel();
    co_await m_lease.release();
}

void order_controller::compare_soon() {
    if (m_is_comparing || m_is_stopped || !m_server.is_engine() || !m_context.monitor.is_up()) {
        return;
    }
    if (steady_clock::now() < m_not_before) {
        return;
    }
    m_is_comparing = true;
    asio::co_spawn(m_context.strand, compare(), asio::detached);
}

asio::awaitable<void> order_controller::compare() {
    std::string failure;
    try {
        co_await compare_once();
        m_backoff = {};
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        m_backoff = std::clamp<policy::duration>(m_backoff * 2, first_backoff, longest_backoff);
        m_not_before = steady_clock::now() + m_backoff;
        log::warning("orders_failed", {{"error", failure}});
    }
    m_is_comparing = false;
}

asio::awaitable<void> order_controller::compare_once() {
    if (!m_server.is_engine()) {
        co_return;
    }
    const auto current = m_context.configuration.current();
    const auto* server = current->find_backend_server(m_context.settings.backend_server);
    // Only the configuration says whether the backend server is an engine. A plain service would run a
    // request for its state as a call.
    if (server == nullptr || server->kind != configuration::backend_kind::engine) {
        co_return;
    }
    const auto now = co_await read_state();
    auto orders = plan_orders(*current, *server, now);
    if (!orders.empty()) {
        m_is_settled = false;
        co_await give_first(std::move(orders), server->checks_fencing);
        co_return;
    }
    if (!m_is_settled) {
        m_is_settled = true;
        log::info("engine_settled", {{"revision", std::to_string(current->revision)}});
        co_await m_lease.release();
    }
}

/// Gives only the first of the orders. The next comparison reads the engine's state again and plans the
/// remaining orders.
asio::awaitable<void> order_controller::give_first(std::vector<backend::order> orders, bool checks_fencing) {
    auto command = orders.front();
    if (is_load(command)) {
        // A random delay spreads the loads, because a new revision reaches all sidecars at the same time and
        // the store that the weights are loaded from is rate-limited.
        co_await pause(random_delay(m_context.settings.load_spread));
    }
    if (!co_await ensure_lease(checks_fencing)) {
        co_return;
    }
    auto* engine = m_server.as_engine();
    const auto limit = m_context.settings.order_timeout;
    // If the process was paused before this point, the monotonic clock shows that its lease has expired.
    if (engine == nullptr || m_is_stopped || m_lease.time_left(steady_clock::now()) <= limit) {
        co_return;
    }
    command.fencing = m_lease.number();
    m_context.metrics.ordered();
    log::info("order_given", {{"kind", std::string(backend::to_string(command.kind))},
                              {"name", command.name},
                              {"fencing", std::to_string(command.fencing)}});
    const auto result = co_await engine->send_order(command, limit);
    if (result == backend::order_result::stale_fencing) {
        throw backend::backend_error(backend::failure::refused, "the engine obeys a newer fencing number");
    }
}

/// Acquires or renews the lease if needed. Returns whether orders may be given now.
asio::awaitable<bool> order_controller::ensure_lease(bool checks_fencing) {
    if (m_lease.time_left(steady_clock::now()) > m_context.settings.order_timeout) {
        co_return true;
    }
    const auto wait = co_await m_lease.acquire(!checks_fencing);
    if (!wait) {
        co_return false;
    }
    if (wait->count() > 0) {
        log::info("waiting_out_former_lease", {});
        co_await pause(*wait);
        co_return (co_await m_lease.acquire(!checks_fencing)).has_value();
    }
    co_return true;
}

asio::awaitable<void> order_controller::pause(policy::duration time) {
    asio::steady_timer timer(m_context.strand, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<backend::engine_state> order_controller::read_state() {
    std::exception_ptr failure;
    try {
        auto now = co_await m_server.as_engine()->state();
        std::vector<std::string> models;
        models.reserve(now.models.size());
        for (const auto& model : now.models) {
            models.push_back(model.name);
        }
        m_context.models.set(std::move(models));
        m_models_changed();
        co_return now;
    } catch (const backend::backend_error& error) {
        failure = std::current_exception();
        if (error.failure_kind() == backend::failure::malformed && !m_context.models.has_been_queried()) {
            m_context.models.set_unreadable();
            m_models_changed();
        }
    }
    std::rethrow_exception(failure);
}

} // namespace borageford::sidecar
