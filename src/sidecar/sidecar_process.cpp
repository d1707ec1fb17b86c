// Implementation of run_sidecar(): constructs the parts of a sidecar, runs them and stops them gracefully.
#include "sidecar/sidecar_process.hpp"

#include "base/log.hpp"
#include "configuration/configuration_metrics.hpp"
#include "http/server.hpp"
#include "process/runtime.hpp"
#include "sidecar/sidecar_core.hpp"
#include "store/object_store.hpp"
#include "store/table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;

constexpr int wrong_settings_exit_code = 2;
constexpr std::chrono::milliseconds handshake_limit{2000};
constexpr std::chrono::milliseconds last_flush_limit{2000};
/// The crash marks in the table are read once in this many configuration poll periods. That is seldom,
/// because a new mark is sent to the peers at once and the table is read only for marks whose message was
/// lost.
constexpr int mark_read_periods = 5;
/// The most cached prompt blocks that are remembered.
constexpr std::size_t prefix_blocks = 200'000;

dispatch_store_limits make_store_limits(const sidecar_settings& settings) {
    dispatch_store_limits limits;
    limits.kept_answers = settings.answer_count;
    limits.memory = settings.answer_memory;
    limits.retention = settings.answer_retention;
    limits.known_elsewhere_time = settings.answer_retention;
    return limits;
}

/// All parts of a sidecar. Each member is constructed from members above it.
class sidecar_process {
public:
    explicit sidecar_process(sidecar_settings settings);

    [[noreturn]] void run();

private:
    peer_registry::callbacks make_peer_callbacks();
    backend_monitor::callbacks make_monitor_callbacks();
    [[nodiscard]] wire::hello_message make_hello() const;
    asio::awaitable<void> handle_status(const http::request& received, http::response_writer& writer);
    [[nodiscard]] bool is_ready() const;
    void choose_backend_kind();
    void stop_gracefully();
    void finish();

    sidecar_settings m_settings;
    process::runtime m_runtime;
    asio::strand<asio::any_io_executor> m_strand;
    metrics::registry m_registry;
    sidecar_metrics m_metrics;
    store::table m_table;
    store::object_store m_objects;
    configuration::configuration_follower m_configuration;
    audit::recorder m_audit;
    backend::backend_server m_server;
    backend_monitor m_monitor;
    ledger::dispatch_ledger m_ledger;
    dispatch_store m_store;
    policy::adaptive_limit m_limit;
    policy::cost_estimator m_costs;
    cached_block_index m_prefixes;
    loaded_models m_models;
    crash_marks m_marks;
    peer_registry m_peers;
    sidecar_context m_context;
    sidecar_core m_core;
    http::server m_status_server;
    std::atomic<bool> m_is_shutting_down = false;
    std::atomic<bool> m_is_service = false;
};

sidecar_process::sidecar_process(sidecar_settings settings)
    : m_settings(std::move(settings)),
      m_runtime(m_settings.common.threads),
      m_strand(asio::make_strand(m_runtime.executor())),
      m_metrics(m_registry),
      m_table(m_runtime.executor(), m_settings.common.platform, m_settings.common.platform_timeout),
      m_objects(m_runtime.executor(), m_settings.common.platform, m_settings.common.platform_timeout),
      m_configuration(m_runtime.executor(), m_runtime.timers(), m_table, m_settings.common.poll_period),
      m_audit(m_runtime.executor(), m_runtime.timers(), m_objects,
              {.vm = m_settings.common.vm,
               .role = "sidecar",
               .flush_period = m_settings.common.audit_period,
               .backend_server = m_settings.backend_server}),
      m_server(backend::model_engine(m_strand, m_settings.backend_address, m_settings.control_timeout)),
      m_monitor(m_strand, m_runtime.timers(), m_server, m_settings.health_period),
      m_ledger({m_settings.ledger_retention, m_settings.ledger_entries}),
      m_store(make_store_limits(m_settings)),
      m_limit({}),
      m_prefixes(prefix_blocks),
      m_marks(m_strand, m_runtime.timers(), m_table, m_settings.backend_server, m_settings.mark_lifetime),
      m_peers(m_strand, m_runtime.timers(),
              {m_settings.common.heartbeat_period, m_settings.common.silence_limit, handshake_limit},
              m_settings.peer_connections, make_peer_callbacks()),
      m_context{m_strand, m_runtime.timers(), m_settings, m_table, m_configuration, m_audit,    m_metrics,
                m_peers,  m_ledger,           m_store,    m_limit, m_costs,         m_prefixes, m_models,
                m_marks,  m_monitor},
      m_core(m_context, m_server, m_runtime.incarnation()),
      m_status_server(
          m_runtime.executor(), http::server_limits::without_body(),
          [this](const http::request& received, http::response_writer& writer) {
              return handle_status(received, writer);
          },
          [](error_kind kind, std::string_view) {
              const auto& row = answer_for(kind);
              return http::make_response(row.http_status, "text/plain", std::string(row.summary) + "\n");
          }) {}

peer_registry::callbacks sidecar_process::make_peer_callbacks() {
    peer_registry::callbacks calls;
    calls.received = [this](connection_id connection, wire::envelope received) {
        m_core.receive(connection, std::move(received));
    };
    calls.closed = [this](connection_id connection) {
        m_core.drop_connection(connection);
    };
    calls.current_load = [this] {
        return m_core.make_load_report();
    };
    calls.make_hello = [this] {
        return make_hello();
    };
    calls.revision = [this] {
        return m_configuration.revision();
    };
    return calls;
}

backend_monitor::callbacks sidecar_process::make_monitor_callbacks() {
    backend_monitor::callbacks calls;
    calls.came_up = [this] {
        m_core.backend_came_up();
    };
    calls.went_down = [this] {
        m_core.backend_went_down();
    };
    return calls;
}

wire::hello_message sidecar_process::make_hello() const {
    wire::hello_message hello;
    hello.protocol_version = wire::protocol_version;
    hello.role = wire::process_role::sidecar;
    hello.incarnation = wire::to_wire(m_runtime.incarnation());
    hello.vm = m_settings.common.vm;
    hello.failure_domain = m_settings.common.failure_domain;
    hello.region = m_settings.common.region;
    hello.backend_server = m_settings.backend_server;
    hello.revision = m_configuration.revision();
    hello.leaving = m_core.is_shutting_down();
    return hello;
}

void sidecar_process::run() {
    configuration::add_configuration_metrics(m_registry, m_configuration);
    m_configuration.start([this](const auto&) {
        asio::post(m_strand, [this] {
            choose_backend_kind();
            m_core.apply_configuration();
        });
    });
    m_audit.start();
    const auto peers = m_peers.listen(m_settings.peers_listen);
    const auto status = m_status_server.listen(m_settings.status_listen);
    asio::post(m_strand, [this] {
        m_core.start();
        m_monitor.start(make_monitor_callbacks());
        m_marks.start(m_settings.common.poll_period * mark_read_periods);
    });
    const std::array listeners{process::listener_address{"peers", peers},
                               process::listener_address{"status", status}};
    log::info("sidecar_started", {{"vm", m_settings.common.vm},
                                  {"backend_server", m_settings.backend_server},
                                  {"incarnation", m_runtime.incarnation().to_string()}});
    process::print_ready(listeners);
    m_runtime.run([this] { asio::post(m_strand, [this] { stop_gracefully(); }); });
}

/// Sets up the connection to the backend server for its configured kind, engine or plain service. Until the
/// configuration is known, only the backend server's health is checked.
void sidecar_process::choose_backend_kind() {
    const auto current = m_configuration.current();
    const auto* server = current->find_backend_server(m_settings.backend_server);
    if (server == nullptr) {
        return;
    }
    const auto is_engine = server->kind == configuration::backend_kind::engine;
    m_is_service = !is_engine;
    if (is_engine == m_server.is_engine()) {
        return;
    }
    if (is_engine) {
        m_server.replace(
            backend::model_engine(m_strand, m_settings.backend_address, m_settings.control_timeout));
    } else {
        m_server.replace(
            backend::plain_service(m_strand, m_settings.backend_address, m_settings.control_timeout));
    }
}

asio::awaitable<void> sidecar_process::handle_status(const http::request& received,
                                                     http::response_writer& writer) {
    const auto path = http::path_of(received.target);
    if (path == "/metrics") {
        co_await writer.write(http::make_response(200, "text/plain; version=0.0.4", m_registry.exposition()));
    } else if (path == "/healthz") {
        co_await writer.write(http::make_response(200, "text/plain", "alive\n"));
    } else if (path == "/readyz") {
        const auto ready = is_ready();
        co_await writer.write(
            http::make_response(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"));
    } else {
        co_await writer.write(http::make_response(404, "text/plain", "not found\n"));
    }
}

bool sidecar_process::is_ready() const {
    return m_monitor.is_up() && m_configuration.revision() > 0 && !m_is_shutting_down.load() &&
           (m_models.has_been_queried() || m_is_service.load());
}

/// Starts the graceful stop. No running dispatch is aborted: the peers are informed at once that the sidecar
/// takes no new work, and the process ends when the last answer has been delivered.
void sidecar_process::stop_gracefully() {
    m_is_shutting_down = true;
    log::info("leaving", {{"running", std::to_string(m_store.running_count())}});
    m_core.shut_down([this] { finish(); });
}

void sidecar_process::finish() {
    m_monitor.stop();
    m_marks.stop();
    // The connections stay open until the audit log is written, so that the last messages are sent.
    asio::co_spawn(m_strand, m_core.stop_orders(), [this](const std::exception_ptr&) {
        m_audit.flush(last_flush_limit, [this] { m_runtime.finish(); });
    });
}

} // namespace

int run_sidecar(const std::string& settings_file) {
    std::vector<settings::problem> problems;
    auto settings = read_sidecar_settings(settings_file, problems);
    if (!problems.empty()) {
        settings::print_problems(problems, std::cerr);
        return wrong_settings_exit_code;
    }
    log::start(settings.common.log_format, settings.common.log_level, settings.common.vm);
    try {
        sidecar_process process(std::move(settings));
        process.run();
    } catch (const std::exception& error) {
        std::cerr << "borageford: the sidecar can't start: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

} // namespace borageford::sidecar
