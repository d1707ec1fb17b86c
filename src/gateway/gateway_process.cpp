// Creates and connects the parts of a gateway, and reloads its settings.
#include "gateway/gateway_process.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "coordination/slot_broker.hpp"
#include "events/event_log.hpp"
#include "gateway/answer_reader.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/backend_roster.hpp"
#include "gateway/caller_acceptor.hpp"
#include "gateway/client_session.hpp"
#include "gateway/configuration_manager.hpp"
#include "gateway/crash_reporter.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/engine_memory_monitor.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/graceful_stop.hpp"
#include "gateway/metrics_endpoint.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/rate_limit_reader.hpp"
#include "gateway/retry_use_monitor.hpp"
#include "gateway/return_monitor.hpp"
#include "gateway/rollout_manager.hpp"
#include "gateway/rollout_recorder.hpp"
#include "gateway/software_recorder.hpp"
#include "gateway/store_follower.hpp"
#include "http/server.hpp"
#include "policy/unread_memory.hpp"
#include "process/runtime.hpp"
#include "settings/file_watch.hpp"
#include "store/table.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace asio = boost::asio;

namespace {

constexpr int wrong_settings_exit_code = 2;

/// How long a gateway must have been the coordinator before it decides about roll-outs.
constexpr milliseconds settling_time{1000};

/// How long log lines are buffered, so that many are written with one system call.
constexpr milliseconds log_flush_period{50};
/// How often the settings file is looked at. A change is read after two looks that find the same.
constexpr milliseconds settings_check_period{500};

constexpr milliseconds unread_check_period{250};

/// Draws a number in [0, 1).
double draw_fraction() {
    std::random_device source;
    return std::uniform_real_distribution<double>(0, 1)(source);
}

class gateway_process {
public:
    gateway_process(std::string settings_file, gateway_settings settings,
                    const deployment& current_deployment)
        : m_settings_file(std::move(settings_file)),
          m_settings(std::move(settings)),
          m_deployment(current_deployment),
          m_runtime(1),
          m_configuration(nullptr),
          m_table(m_runtime.executor(), m_settings.common.platform, m_settings.common.platform_timeout,
                  current_deployment.format),
          m_slots(m_runtime.executor(), m_runtime.timers(), make_broker_settings(), make_observers()),
          m_rate_limits(current_deployment, m_backends, m_slots, m_registry),
          m_answers(current_deployment, m_backends, m_slots, m_registry),
          m_crash_watch(m_runtime.executor(), m_runtime.timers(), m_slots),
          m_crash_reporter(m_backends, m_registry),
          m_retry_use(m_configuration, m_registry),
          m_returns(m_registry),
          m_engine_memory(m_configuration, m_backends, m_slots, m_registry),
          m_context{m_runtime.executor(), m_runtime.timers(), m_settings,    current_deployment.fields,
                    m_configuration,      m_backends,         m_slots,       m_metrics,
                    m_rate_limits,        m_answers,          m_crash_watch, m_unread},
          m_configuration_manager(current_deployment, m_configuration, m_slots),
          m_rollouts(m_backends, m_slots),
          m_rollout_recorder(
              m_runtime.executor(), m_runtime.timers(), m_table, current_deployment,
              [this](const routing::rollout_status& status) { m_rollouts.apply_status(status); }),
          m_software_recorder(m_runtime.executor(), m_runtime.timers(), m_table, m_slots.streams().history(),
                              m_settings.stream_memory, m_settings.is_first_start,
                              {[this] { return is_settled_coordinator(); },
                               [this] {
                                   return m_roster.position().era;
                               }}),
          m_roster(m_runtime.executor(), m_runtime.timers(), current_deployment, m_backends, m_slots,
                   m_crash_watch, m_rollouts, m_settings.registration_life()),
          m_exchange(
              m_runtime.executor(), m_settings.peers_listen, m_settings.peer_limits(),
              m_configuration_manager, m_roster, [this] { return is_store_available(); },
              [this] { return current_role() == policy::poll_role::passive; }),
          m_configuration_follower(m_runtime.executor(), m_runtime.timers(), m_table,
                                   current_deployment.configuration_table, make_poll_schedule(),
                                   make_configuration_handlers()),
          m_backend_follower(m_runtime.executor(), m_runtime.timers(), m_table,
                             current_deployment.backend_table, make_poll_schedule(), make_backend_handlers()),
          m_acceptor(m_context, m_settings.caller_connections()),
          m_stop(m_context, m_acceptor.acceptor(), [this] { m_runtime.finish(); }),
          m_readiness(
              m_runtime.executor(), m_settings.check_limits(),
              [this](const http::request& received, http::response_writer& writer) {
                  return answer_readiness(received, writer);
              },
              [](error_kind kind, std::string_view detail) {
                  return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
              }),
          m_metrics_server(m_runtime.executor(), m_registry, m_settings.check_limits()) {}

    [[noreturn]] void run() {
        try {
            start();
        } catch (const std::exception& error) {
            log::error("gateway_failed", {{"why", error.what()}});
            events::flush();
            // Without destructors: destroying suspended coroutines may corrupt the heap, see
            // process::runtime::run().
            std::_Exit(EXIT_FAILURE);
        }
        m_runtime.run([this] { m_stop.begin(); }, [this] { reload(); }, process::repeated_stop::is_ignored);
    }

private:
    void start() {
        m_context.on_unknown_server = [this] {
            m_exchange.fetch_backends_at_once();
        };
        m_rollouts.set_observers({[this] { return is_settled_coordinator(); },
                                  [this](const routing::rollout_status& status) {
                                      m_rollout_recorder.record(status);
                                  }});
        add_gauges();
        m_software_recorder.start();
        m_roster.start();
        m_exchange.start();
        m_configuration_follower.start();
        m_backend_follower.start();
        for (const auto& seed : m_settings.seeds) {
            m_slots.add_member(seed, m_settings.processor_share);
        }
        m_slots.start();
        m_engine_memory.start(m_runtime.executor(), m_runtime.timers());
        m_acceptor.listen(m_settings.callers_listen);
        m_unread_timer = m_runtime.timers().every(m_runtime.executor(), unread_check_period, [this] {
            m_unread.relieve(std::chrono::steady_clock::now());
        });
        m_readiness.listen(m_settings.readiness_listen);
        m_metrics_server.listen(m_settings.metrics_listen);
        events::write(events::event_kind::started, {{"settings", m_settings_file}});
        events::flush();
        m_settings_timer = m_runtime.timers().every(m_runtime.executor(), settings_check_period, [this] {
            if (m_settings_watch.has_changed()) {
                reload();
            }
        });
        m_flush_timer =
            m_runtime.timers().every(m_runtime.executor(), log_flush_period, [] { events::flush(); });
    }

    void add_gauges() {
        m_registry.add_gauge("borageford_gateway_requests_in_progress",
                             "Requests without their final answer.", {},
                             [this] { return static_cast<double>(m_context.requests_in_progress); });
        m_registry.add_gauge("borageford_gateway_connections", "Open connections of callers.", {},
                             [this] { return static_cast<double>(m_context.sessions.size()); });
        m_registry.add_gauge("borageford_gateway_configuration_version",
                             "The configuration in force; 0: none.", {},
                             [this] { return static_cast<double>(m_configuration_manager.version()); });
        m_registry.add_gauge("borageford_gateway_backend_servers", "Backend servers that are known.", {},
                             [this] { return static_cast<double>(m_backends.all().size()); });
        m_registry.add_gauge("borageford_gateway_known_streams",
                             "Streams of which this process knows the software version that began them.", {},
                             [this] { return static_cast<double>(m_slots.streams().table().size()); });
        m_registry.add_gauge("borageford_gateway_dropped_streams",
                             "Streams that were forgotten before their time because there were too many.", {},
                             [this] { return static_cast<double>(m_slots.streams().table().dropped()); });
        m_crash_reporter.add_gauges(m_slots.crashes());
        m_registry.add_gauge("borageford_gateway_slot_source",
                             "0: a coordinator, 1: this process for all, 2: its own part.", {},
                             [this] { return static_cast<double>(m_slots.source()); });
        m_registry.add_gauge("borageford_gateway_reserved_slots",
                             "Slots that lower tiers leave free for higher ones.", {},
                             [this] { return m_slots.reserved_slots(); });
        m_registry.add_gauge("borageford_gateway_lost_log_lines",
                             "Log lines dropped because nobody read them.", {},
                             [] { return static_cast<double>(events::lost_lines()); });
        m_registry.add_gauge("borageford_gateway_store_era",
                             "Rises by one each time the store comes back from an older copy; 0: not told.",
                             {}, [this] { return static_cast<double>(m_roster.position().era); });
        add_unread_gauges();
        add_store_gauges(m_deployment.configuration_table, m_configuration_follower);
        add_store_gauges(m_deployment.backend_table, m_backend_follower);
    }

    void add_unread_gauges() {
        m_registry.add_gauge("borageford_gateway_held_bytes",
                             "Bytes of requests and answers that are held for callers and servers.", {},
                             [this] { return static_cast<double>(m_unread.held()); });
        m_registry.add_gauge(
            "borageford_gateway_slow_callers", "Callers that need over a second for what is held for them.",
            {},
            [this] { return static_cast<double>(m_unread.count_slow(std::chrono::steady_clock::now())); });
        m_registry.add_gauge("borageford_gateway_paused_calls",
                             "Answers of servers that aren't read for now, since their callers read slowly.",
                             {}, [this] {
                                 return static_cast<double>(std::ranges::count_if(
                                     m_context.sessions, &client_session::keeps_server_waiting));
                             });
    }

    void add_store_gauges(const std::string& table, const store_follower& follower) {
        using seconds = std::chrono::duration<double>;
        m_registry.add_gauge("borageford_gateway_store_answer_age_seconds",
                             "Time since the store last answered a question about the table.",
                             {{"table", table}},
                             [&follower] { return seconds(follower.answer_age()).count(); });
        m_registry.add_gauge("borageford_gateway_store_question_age_seconds",
                             "Time since the open question about the table was asked; 0: none is open.",
                             {{"table", table}},
                             [&follower] { return seconds(follower.poll_age()).count(); });
    }

    coordination::broker_settings make_broker_settings() const {
        coordination::broker_settings result;
        result.local = {m_settings.peers_listen.address(), m_settings.peers_listen.port()};
        result.processor_share = m_settings.processor_share;
        result.domain = policy::domain_key_of(m_settings.common.failure_domain);
        result.coordinates = m_settings.coordinates;
        result.is_first_start = m_settings.is_first_start;
        result.obeys_rate_limits = m_settings.obeys_server_limits;
        result.coordinator_patience = m_settings.coordinator_patience;
        result.slots = m_settings.slots;
        result.quotas.window = m_settings.allowance_window;
        result.quotas.slack = m_settings.allowance_slack;
        result.stream_memory = m_settings.stream_memory;
        result.retries = {m_settings.retry_ratio, m_settings.retry_reserve, m_settings.retry_window};
        return result;
    }

    coordination::slot_broker::observers make_observers() {
        using coordination::slot_broker;
        return {
            [this] { return held_versions(); },
            [this](const asio::ip::address& peer, const slot_broker::versions& held) {
                record_peer(peer, held);
            },
            [this](const policy::slot_scheduler::health_change& change) { report_health(change); },
            [this](policy::server_key server) { m_rollouts.record_grant(server); },
            [this](const policy::slot_release& ended) { m_rollouts.record_release(ended); },
            [this](const policy::rate_limit_table::change& change) { m_rate_limits.report_change(change); },
            [this](const policy::departure& heard) {
                m_answers.report(heard);
                m_roster.handle_departure(heard.server);
            },
            [this](const policy::crash_mark& mark, policy::crash_ledger::change change) {
                m_crash_reporter.report(mark, change, m_slots.crashes());
                m_crash_watch.record_crash_elsewhere(mark.server);
            },
            [this](const policy::crash_clearance& clearance) { m_crash_reporter.report(clearance); },
            [this](policy::service_key service, const policy::server_retry_budget::use& current,
                   bool has_run_out) { m_retry_use.report(service, current, has_run_out); },
            [this](policy::server_key server) { m_rate_limits.count_used_up(server); },
            [this](const policy::return_counts& added) { m_returns.count(added); },
            {[this] { return m_backend_follower.is_current(); },
             [this](policy::time_point asked) { return m_backend_follower.checked_at() >= asked; },
             [this] {
                 m_backend_follower.check();
             }},
            [this](const policy::slot_scheduler::memory_overflow& overflow) {
                m_engine_memory.report(overflow);
            }};
    }

    /// Returns whether this process decides about roll-outs. It waits for settling_time, since several
    /// gateways may briefly consider themselves the coordinator while it changes.
    [[nodiscard]] bool is_settled_coordinator() const {
        return m_slots.source() == coordination::slot_source::own_coordination &&
               std::chrono::steady_clock::now() - m_slots.source_since() >= settling_time;
    }

    void record_peer(const asio::ip::address& peer, const coordination::slot_broker::versions& held) {
        m_exchange.record_versions(peer, held.configuration, held.backends);
        // A peer in a previous era has not seen the restored store, so its report says nothing about the
        // store now.
        if (held.is_in_touch && held.backends.era >= m_roster.position().era) {
            m_roster.record_other_connected(held.unbroken);
            m_poll_role_choice.record_announcement(std::chrono::steady_clock::now());
        }
        // The confirmation only counts if the peer holds the same version: otherwise this gateway or the peer
        // is behind.
        if (held.configuration == m_configuration_manager.version()) {
            m_configuration_follower.record_confirmation({held.backends.era, held.configuration_confirmed});
        }
        if (held.backends == m_roster.position()) {
            m_backend_follower.record_confirmation({held.backends.era, held.backends_confirmed});
        }
    }

    [[nodiscard]] bool is_store_available() const {
        return m_configuration_follower.is_polling_answering_store() &&
               m_backend_follower.is_polling_answering_store();
    }

    /// Returns whether to report to other gateways that the store answers this one, as
    /// coordination::member_status::is_in_touch. Besides is_store_available(), the last confirmations must be
    /// recent.
    [[nodiscard]] bool should_announce_store() const {
        return is_store_available() && m_configuration_follower.is_current() &&
               m_backend_follower.is_current();
    }

    [[nodiscard]] coordination::slot_broker::versions held_versions() const {
        return {m_configuration_manager.version(),
                m_roster.position(),
                should_announce_store(),
                recent_confirmation(m_configuration_follower),
                recent_confirmation(m_backend_follower),
                std::chrono::duration_cast<milliseconds>(m_backend_follower.unbroken())};
    }

    /// Returns the confirmation to report, in ms of the store's clock; 0: none. Only one era is reported, the
    /// era of the registrations, so a confirmation of another era is left out.
    [[nodiscard]] std::uint64_t recent_confirmation(const store_follower& follower) const {
        const auto confirmation = follower.recent_confirmation();
        return confirmation.era == m_roster.position().era ? confirmation.milliseconds : 0;
    }

    store_follower::handlers make_configuration_handlers() {
        return {[this](const store::row_page& page) {
                    for (const auto& row : page.rows) {
                        apply_operator_row({row, false});
                    }
                },
                [this](const store::row_change& change) { apply_operator_row(change); }, [] {},
                // Configuration documents have versions of their own, so only the era is known.
                [this] { return store::position{m_roster.position().era, 0}; },
                [this] {
                    return configuration_role();
                }};
    }

    /// Returns the role for the configuration's table. A gateway that relies on others needs nothing from the
    /// store until they report a newer version; then it reads that from the store itself.
    [[nodiscard]] policy::poll_role configuration_role() const {
        const auto role = current_role();
        const bool is_behind =
            role == policy::poll_role::passive && m_exchange.has_peer_with_newer_configuration();
        return is_behind ? policy::poll_role::fallback : role;
    }

    [[nodiscard]] policy::poll_schedule make_poll_schedule() const {
        return {std::min(m_settings.configuration_limit, m_settings.drain_limit), draw_fraction()};
    }

    [[nodiscard]] policy::poll_role current_role() const {
        if (m_slots.source() == coordination::slot_source::own_coordination) {
            return policy::poll_role::confirmer;
        }
        return m_poll_role_choice.choose(m_slots.is_candidate(), m_slots.reported_members(),
                                         std::chrono::steady_clock::now());
    }

    void report_health(const policy::slot_scheduler::health_change& change) {
        const auto server = m_backends.find(change.server);
        const auto id = server != nullptr ? server->record().id : std::string("unknown");
        using kind = policy::server_health::change;
        switch (change.what) {
        case kind::none:
            break;
        case kind::recovered:
            events::write(events::event_kind::backend_recovered, {{"backend", id}});
            break;
        case kind::failing_began:
            events::write(events::event_kind::backend_failing,
                          {{"backend", id}, {"failure_share", change.failure_share}});
            break;
        case kind::failing_ended:
            events::write(events::event_kind::backend_sound, {{"backend", id}});
            break;
        case kind::cooldown_started: {
            const auto cooldown = std::chrono::duration_cast<milliseconds>(change.cooldown);
            events::write(events::event_kind::backend_resting,
                          {{"backend", id},
                           {"rest_ms", std::int64_t(cooldown.count())},
                           {"failures", std::uint64_t(change.failures_in_row)},
                           {"failure_share", change.failure_share}});
            break;
        }
        }
    }

    void apply_operator_row(const store::row_change& change) {
        const auto& row = change.now;
        if (row.key == m_deployment.configuration_key && !row.value.empty()) {
            m_configuration_manager.apply(row.value, "store");
        } else if (row.key.starts_with(m_deployment.rollout_prefix)) {
            apply_rollout_order(change);
        }
    }

    /// Sets or withdraws a roll-out order. An order that is missing from an older copy of the store stays in
    /// force until its row is removed.
    void apply_rollout_order(const store::row_change& change) {
        if (change.is_removed) {
            m_rollouts.withdraw_order(change.now.key.substr(m_deployment.rollout_prefix.size()));
            return;
        }
        try {
            m_rollouts.set_order(m_deployment.decode_rollout(change.now.value));
        } catch (const std::exception& error) {
            events::write(events::event_kind::configuration_unreadable,
                          {{"source", change.now.key}, {"reason", error.what()}});
        }
    }

    store_follower::handlers make_backend_handlers() {
        return {[this](const store::row_page& page) { m_roster.apply_page(page); },
                [this](const store::row_change& change) { m_roster.apply_change(change); },
                [this] { m_roster.record_outage(m_backend_follower.confirmed_at()); },
                [this] { return m_roster.position(); },
                [this] { return current_role(); },
                [this] {
                    m_slots.streams().handle_servers_checked(std::chrono::steady_clock::now());
                }};
    }

    asio::awaitable<void> answer_readiness(const http::request&, http::response_writer& writer) {
        const bool is_ready =
            *m_configuration.read() != nullptr && m_backends.has_ready() && !m_context.is_stopping();
        const auto answer = http::make_response(is_ready ? 200 : 503, "text/plain", "");
        co_await writer.write(answer);
    }

    /// Reads the settings file again and applies what can change while the process runs: stop_limit, new
    /// seeds and released suspects. An invalid file is logged and changes nothing.
    void reload() {
        m_settings_watch.accept();
        std::vector<settings::problem> problems;
        const auto text = settings::read_file(m_settings_file, problems);
        const auto document = settings::parse_ini(text, m_settings_file, problems);
        const auto read = read_gateway_settings(document, problems);
        if (!problems.empty()) {
            events::write(events::event_kind::settings_refused,
                          {{"settings", m_settings_file}, {"reason", problems.front().to_string()}});
            return;
        }
        m_settings.stop_limit = read.stop_limit;
        for (const auto& seed : read.seeds) {
            m_slots.add_member(seed, m_settings.processor_share);
        }
        release_suspects(read.released_suspects);
        events::write(events::event_kind::settings_reloaded, {{"settings", m_settings_file}});
    }

    void release_suspects(const std::vector<std::uint64_t>& keys) {
        std::vector<policy::crash_suspect> released;
        for (const auto key : keys) {
            released.push_back({policy::suspect_kind::request, key});
            released.push_back({policy::suspect_kind::prompt_part, key});
        }
        m_slots.clear_suspects(released);
    }

    std::string m_settings_file;
    gateway_settings m_settings;
    const deployment& m_deployment;
    process::runtime m_runtime;
    metrics::registry m_registry;
    gateway_metrics m_metrics{m_registry};
    routing_snapshot m_configuration;
    store::table m_table;
    backend_directory m_backends;
    coordination::slot_broker m_slots;
    rate_limit_reader m_rate_limits;
    answer_reader m_answers;
    crash_watch m_crash_watch;
    crash_reporter m_crash_reporter;
    retry_use_monitor m_retry_use;
    return_monitor m_returns;
    engine_memory_monitor m_engine_memory;
    policy::unread_memory m_unread{m_settings.unread_limits()};
    gateway_context m_context;
    configuration_manager m_configuration_manager;
    rollout_manager m_rollouts;
    rollout_recorder m_rollout_recorder;
    software_recorder m_software_recorder;
    backend_roster m_roster;
    peer_exchange m_exchange;
    store_follower m_configuration_follower;
    store_follower m_backend_follower;
    caller_acceptor m_acceptor;
    graceful_stop m_stop;
    http::server m_readiness;
    metrics_endpoint m_metrics_server;
    settings::file_watch m_settings_watch{m_settings_file};
    timer_subscription m_settings_timer;
    timer_subscription m_flush_timer;
    timer_subscription m_unread_timer;
    policy::poll_role_choice m_poll_role_choice{static_cast<double>(m_settings.store_followers),
                                                draw_fraction()};
};

} // namespace

int run_gateway(const std::string& settings_file, const deployment& current_deployment) {
    std::vector<settings::problem> problems;
    const auto text = settings::read_file(settings_file, problems);
    const auto document = settings::parse_ini(text, settings_file, problems);
    auto read = read_gateway_settings(document, problems);
    if (!problems.empty()) {
        settings::print_problems(problems, std::cerr);
        return wrong_settings_exit_code;
    }
    log::start(log::format::json, read.common.log_level, "gateway");
    events::start("gateway", read.common.vm, read.common.log_level);
    gateway_process(settings_file, std::move(read), current_deployment).run();
}

} // namespace borageford::gateway
