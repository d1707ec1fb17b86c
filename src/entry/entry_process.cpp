// Creates the parts of an entry process, connects them with each other and stops them gracefully.
#include "entry/entry_process.hpp"

#include "admin/administration.hpp"
#include "admin/configuration_exchange.hpp"
#include "admin/revision_listener.hpp"
#include "audit/record_finder.hpp"
#include "audit/request_description.hpp"
#include "base/hash.hpp"
#include "configuration/configuration_metrics.hpp"
#include "entry/caller_api.hpp"
#include "entry/claim_sweeper.hpp"
#include "entry/entry_context.hpp"
#include "entry/entry_settings.hpp"
#include "entry/error_responses.hpp"
#include "process/runtime.hpp"
#include "store/object_store.hpp"
#include "store/table.hpp"
#include "store/vm_directory.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace borageford::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int wrong_settings_exit_code = 2;
/// How often a stopping entry checks whether it is idle.
constexpr milliseconds stop_check_period{20};
/// How long a stopping entry waits until its last audit records have been written.
constexpr milliseconds last_flush_timeout{2000};

wire::hello_message make_hello(const entry_settings& settings, const identifier& incarnation) {
    wire::hello_message hello;
    hello.protocol_version = wire::protocol_version;
    hello.role = wire::process_role::entry;
    hello.incarnation = wire::to_wire(incarnation);
    hello.vm = settings.common.vm;
    hello.failure_domain = settings.common.failure_domain;
    hello.region = settings.common.region;
    return hello;
}

/// The response to a request that http::server refuses before it reaches a handler.
http::response make_refusal(error_kind kind, std::string_view detail) {
    return error_response(request_error(kind, std::string(detail)), identifier::random());
}

/// All parts of an entry. Members are declared in the order of their dependencies: each part uses only parts
/// that are declared before it.
class entry_process {
public:
    explicit entry_process(entry_settings settings);

    [[noreturn]] void run();

private:
    link_context make_link_context();
    admin::administration_context make_administration_context();
    admin::node_view make_node_view();
    std::vector<admin::backend_server_state> describe_servers();
    asio::awaitable<std::optional<admin::explanation>> explain(request_id request);
    asio::awaitable<admin::explanation> find_requests(admin::request_query query);
    void handle_peer_message(const std::string& backend_server, wire::envelope& received,
                             wire::peer_connection& connection);
    void forward_mark(const wire::crash_mark_message& mark);
    void rebuild_servers();
    boost::asio::awaitable<void> handle_admin(const http::request& received, http::response_writer& writer);
    void stop_gracefully();
    void stop_if_idle();

    entry_settings m_settings;
    process::runtime m_runtime;
    metrics::registry m_registry;
    entry_metrics m_metrics;
    store::table m_table;
    store::object_store m_objects;
    store::vm_directory m_vms;
    configuration::configuration_follower m_configuration;
    admin::peer_identity m_peer_identity;
    link_context m_link_context;
    std::mutex m_rebuild_mutex;
    server_directory m_servers;
    claim_store m_claims;
    claim_sweeper m_claim_sweeper;
    admission m_admissions;
    crash_mark_tracker m_crash_marks;
    audit::recorder m_audit;
    entry_context m_context;
    caller_api m_callers;
    admin::revision_listener m_peer_listener;
    admin::administration m_administration;
    http::server m_caller_server;
    http::server m_admin_server;
    timer_subscription m_stop_timer;
    std::optional<steady_clock::time_point> m_stop_deadline;
};

entry_process::entry_process(entry_settings settings)
    : m_settings(std::move(settings)),
      m_runtime(m_settings.common.threads),
      m_metrics(m_registry),
      m_table(m_runtime.executor(), m_settings.common.platform, m_settings.common.platform_timeout),
      m_objects(m_runtime.executor(), m_settings.common.platform, m_settings.common.platform_timeout),
      m_vms(m_runtime.executor(), m_runtime.timers(), m_settings.common.platform,
            m_settings.common.platform_timeout, m_settings.common.poll_period),
      m_configuration(m_runtime.executor(), m_runtime.timers(), m_table, m_settings.common.poll_period),
      m_peer_identity{
          make_hello(m_settings, m_runtime.incarnation()),
          {m_settings.common.heartbeat_period, m_settings.common.silence_limit, m_settings.connect_limit}},
      m_link_context(make_link_context()),
      m_servers(m_link_context),
      m_claims(m_runtime.executor(), m_table, m_settings.claim_window, m_settings.claim_limit),
      m_claim_sweeper(m_runtime.executor(), m_runtime.timers(), m_table,
                      {m_settings.claim_retention, m_settings.claim_sweep_period}),
      m_crash_marks(m_runtime.executor(), m_runtime.timers(), m_table),
      m_audit(m_runtime.executor(), m_runtime.timers(), m_objects,
              {.vm = m_settings.common.vm, .role = "entry", .flush_period = m_settings.common.audit_period}),
      m_context{m_settings,   m_configuration, m_servers, m_claims,
                m_admissions, m_crash_marks,   m_metrics, m_audit},
      m_callers(m_context),
      m_peer_listener(m_runtime.executor(), m_runtime.timers(), m_configuration, m_peer_identity),
      m_administration(make_administration_context(), make_node_view()),
      m_caller_server(
          m_runtime.executor(), m_settings.callers,
          [this](const http::request& received, http::response_writer& writer) {
              return m_callers.handle(received, writer);
          },
          make_refusal),
      m_admin_server(
          m_runtime.executor(), m_settings.operators,
          [this](const http::request& received, http::response_writer& writer) {
              return handle_admin(received, writer);
          },
          make_refusal) {}

link_context entry_process::make_link_context() {
    return {m_runtime.executor(),
            m_runtime.timers(),
            m_peer_identity.heartbeat,
            m_peer_identity.hello,
            m_settings.connect_limit,
            m_settings.idle_connection,
            [this] { return m_configuration.revision(); },
            [this](const std::string& backend_server, wire::envelope& received,
                   wire::peer_connection& connection) {
                handle_peer_message(backend_server, received, connection);
            }};
}

admin::administration_context entry_process::make_administration_context() {
    return {m_runtime.executor(), m_runtime.timers(),         m_configuration, m_vms, m_table, m_objects,
            m_peer_identity,      m_settings.admin_token_hash};
}

admin::node_view entry_process::make_node_view() {
    admin::node_view view;
    view.backend_servers = [this] {
        return describe_servers();
    };
    view.workspace_usage = [this] {
        return m_admissions.use();
    };
    view.explain = [this](request_id request) {
        return explain(request);
    };
    view.find_requests = [this](admin::request_query query) {
        return find_requests(std::move(query));
    };
    return view;
}

std::vector<admin::backend_server_state> entry_process::describe_servers() {
    const auto now = steady_clock::now();
    std::vector<admin::backend_server_state> states;
    for (const auto& [name, link] : m_servers.current()->by_server) {
        admin::backend_server_state state;
        state.name = name;
        state.is_connected = link->is_connected();
        state.is_leaving = link->is_shutting_down();
        if (const auto load = link->load()) {
            state.report_age = std::chrono::duration_cast<milliseconds>(now - load->reported);
            state.queued_requests = load->queued_requests;
            state.running_sequences = load->running_sequences;
            state.sequence_limit = load->sequence_limit;
            state.prefill_tokens_per_second = load->prefill_tokens_per_second;
            state.output_tokens_per_second = load->output_tokens_per_second;
            state.expected_wait = milliseconds(load->expected_wait_ms);
        }
        states.push_back(std::move(state));
    }
    return states;
}

asio::awaitable<std::optional<admin::explanation>> entry_process::explain(request_id request) {
    audit::record_finder record_finder(m_objects, {});
    const auto found = co_await record_finder.find_request(request);
    // "Not found" means that the request didn't happen. That can't be said when the explainer remarks that
    // records are missing.
    if (found.records.empty() && found.remarks.empty()) {
        co_return std::nullopt;
    }
    admin::explanation result;
    result.lines = audit::describe_request(request, found);
    result.document = audit::describe_request_as_json(request, found);
    co_return result;
}

asio::awaitable<admin::explanation> entry_process::find_requests(admin::request_query query) {
    audit::record_finder record_finder(m_objects, {});
    const auto found = co_await record_finder.find_workspace(query.workspace, query.from, query.to);
    admin::explanation result;
    result.lines = audit::list_requests(query.workspace, found, query.limit);
    co_return result;
}

void entry_process::run() {
    configuration::add_configuration_metrics(m_registry, m_configuration);
    m_configuration.start([this](const auto&) { rebuild_servers(); });
    m_vms.start([this](const auto&) { rebuild_servers(); });
    m_audit.start();
    m_claim_sweeper.start();
    m_crash_marks.start(m_settings.common.poll_period);
    const auto callers = m_caller_server.listen(m_settings.callers_listen);
    const auto admin = m_admin_server.listen(m_settings.admin_listen);
    const auto peers = m_peer_listener.listen(m_settings.peers_listen);
    const std::array listeners{process::listener_address{"callers", callers},
                               process::listener_address{"admin", admin},
                               process::listener_address{"peers", peers}};
    log::info("entry_started",
              {{"vm", m_settings.common.vm}, {"incarnation", m_runtime.incarnation().to_string()}});
    process::print_ready(listeners);
    m_runtime.run([this] { stop_gracefully(); });
}

void entry_process::handle_peer_message(const std::string& backend_server, wire::envelope& received,
                                        wire::peer_connection& connection) {
    if (const auto* mark = std::get_if<wire::crash_mark_message>(&received.content)) {
        if (m_crash_marks.record(*mark)) {
            forward_mark(*mark);
        }
        m_context.prefixes.forget_server(hash_bytes(backend_server));
        return;
    }
    admin::exchange_configuration(m_configuration, received, connection);
}

/// Sends a crash mark to all other sidecars, which forward it to the entries that they are connected to.
/// While the platform's table can't be reached, only the entries that are connected to the reporting sidecar
/// learn of the mark; any other entry might place the request once more and cause a third backend server to
/// crash. Marks are rare, so links without a connection are connected for them.
void entry_process::forward_mark(const wire::crash_mark_message& mark) {
    for (const auto& [name, link] : m_servers.current()->by_server) {
        if (name != mark.backend_server) {
            link->send(mark);
        }
    }
}

void entry_process::rebuild_servers() {
    // Called on several threads. A call that has read an older list must not overwrite what a later one has
    // made.
    const std::scoped_lock lock(m_rebuild_mutex);
    const auto current = m_configuration.current();
    const auto vms = m_vms.current();
    m_servers.update(*current, *vms);
    const auto entries = std::ranges::count_if(*vms, [](const auto& item) {
        return item.second.role == store::vm_role::entry && item.second.state == store::vm_state::live;
    });
    m_admissions.update(*current, static_cast<unsigned>(entries));
}

asio::awaitable<void> entry_process::handle_admin(const http::request& received,
                                                  http::response_writer& writer) {
    const auto path = http::path_of(received.target);
    if (path == "/metrics") {
        co_await writer.write(http::make_response(200, "text/plain; version=0.0.4", m_registry.exposition()));
    } else if (path == "/healthz") {
        co_await writer.write(http::make_response(200, "text/plain", "alive\n"));
    } else {
        co_await m_administration.handle(received, writer);
    }
}

/// Refuses new requests as not run, lets requests in progress run to their end, and then ends the process.
/// Requests that take longer than `entry_settings::stop_limit` are aborted.
void entry_process::stop_gracefully() {
    m_callers.drain();
    m_caller_server.drain();
    m_stop_deadline = steady_clock::now() + m_settings.stop_limit;
    m_stop_timer =
        m_runtime.timers().every(m_runtime.executor(), stop_check_period, [this] { stop_if_idle(); });
}

void entry_process::stop_if_idle() {
    const bool is_idle = m_caller_server.requests_in_progress() == 0 && m_claims.is_idle();
    if (!is_idle && steady_clock::now() < *m_stop_deadline) {
        return;
    }
    m_stop_timer.cancel();
    log::info("entry_stopping", {{"in_progress", std::to_string(m_caller_server.requests_in_progress())}});
    m_audit.flush(last_flush_timeout, [this] { m_runtime.finish(); });
}

} // namespace

int run_entry(const std::string& settings_file) {
    std::vector<settings::problem> problems;
    const auto text = settings::read_file(settings_file, problems);
    auto settings = read_entry_settings(settings::parse_ini(text, settings_file, problems), problems);
    if (!problems.empty()) {
        settings::print_problems(problems, std::cerr);
        return wrong_settings_exit_code;
    }
    log::start(settings.common.log_format, settings.common.log_level, settings.common.vm);
    try {
        entry_process process(std::move(settings));
        process.run();
    } catch (const std::exception& error) {
        log::error("entry_failed", {{"why", error.what()}});
        return EXIT_FAILURE;
    }
}

} // namespace borageford::entry
