// A small deployment for one test: gateways as real processes, each at its own loopback address, and the
// store and the backend servers emulated in the test's process.
#pragma once

#include "emulator/emulated_backend.hpp"
#include "emulator/emulated_store.hpp"
#include "routing/backend_record.hpp"
#include "routing/rollout_order.hpp"
#include "routing/routing_types.hpp"
#include "support/child_process.hpp"
#include "support/http_caller.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

namespace borageford::test {

/// What a gateway_site consists of.
struct site_options {
    std::size_t gateways = 1;
    /// The configuration that is written into the store before the gateways start, if `is_configured`.
    /// Without it, the gateways start unconfigured.
    routing::routing_document configuration;
    bool is_configured = true;
    std::vector<emulator::backend_options> backends;
    std::string gateway_settings = {}; ///< additional lines of the section [gateway]
    double retry_reserve = 1000;       ///< retries that the gateways may send in a window beyond the ratio
    /// How long a gateway waits for an answer from the store.
    std::chrono::milliseconds store_timeout{500};
};

/// A configuration with one route to the service "plain": host "site.example", prefix "/plain/", three
/// attempts.
[[nodiscard]] routing::routing_document plain_configuration(routing::route_kind kind);
/// A configuration with one streaming route to the service "engines": host "site.example", prefix "/stream/",
/// three attempts.
[[nodiscard]] routing::routing_document stream_configuration(bool is_resumable);
/// A server of the service "plain" or of the service "engines".
[[nodiscard]] emulator::backend_options plain_backend(const std::string& id);
[[nodiscard]] emulator::backend_options engine_backend(const std::string& id);

/// A POST with the header fields that every caller sends: host, request id and a deadline of 5000 ms.
[[nodiscard]] http::request make_call(const std::string& target, const std::string& id,
                                      std::string body = "hello");

/// Gateways and servers "server-0", "server-1", ... of the service "plain", whose route is idempotent.
[[nodiscard]] site_options plain_site(std::size_t servers, std::size_t gateways = 1);
/// A copy of the document with this version and, as its only workspace, "archive" with this key.
[[nodiscard]] routing::routing_document with_key(routing::routing_document document, std::uint64_t version,
                                                 const std::string& key);
/// A call to the service "plain" with this API key.
[[nodiscard]] http::request keyed_call(const std::string& id, const std::string& key);

/// Invariant: the destructor ends all processes. When an exception is in flight or the environment variable
/// SHOW_GATEWAY_LOGS is set, it first prints the ends of the logs.
class gateway_site {
public:
    /// Starts everything and waits until the gateways are ready, unless they have no configuration or no
    /// servers.
    explicit gateway_site(site_options options);
    ~gateway_site();
    gateway_site(const gateway_site&) = delete;
    gateway_site& operator=(const gateway_site&) = delete;
    gateway_site(gateway_site&&) = delete;
    gateway_site& operator=(gateway_site&&) = delete;

    /// The addresses on which a gateway answers callers, readiness checks, other gateways and requests for
    /// metrics.
    [[nodiscard]] http::endpoint callers(std::size_t gateway) const;
    [[nodiscard]] http::endpoint readiness(std::size_t gateway) const;
    [[nodiscard]] http::endpoint peers(std::size_t gateway) const;
    [[nodiscard]] http::endpoint metrics(std::size_t gateway) const;
    [[nodiscard]] std::size_t gateway_count() const noexcept { return m_gateways.size(); }
    [[nodiscard]] child_process& process(std::size_t gateway) { return *m_gateways.at(gateway).process; }
    /// The settings file of a gateway, in the folder that holds all files of the site.
    [[nodiscard]] const std::filesystem::path& settings_file(std::size_t gateway) const {
        return m_gateways.at(gateway).settings;
    }
    /// Starts the process of a gateway (again) with its current settings file.
    void start_gateway(std::size_t index);
    /// Writes a gateway's settings file with `further` as additional lines of [gateway]; it takes effect at
    /// the next start or reload.
    void write_settings(std::size_t index, const std::string& further);
    [[nodiscard]] bool is_ready(std::size_t gateway) const;
    void wait_until_ready(std::size_t gateway) const;

    /// Writes the configuration into the store, as an operator would.
    void configure(const routing::routing_document& document);
    /// Writes or deletes the store's row that orders a service's roll-out, as an operator would.
    void order_rollout(const routing::rollout_order& order);
    void withdraw_rollout(const std::string& service);
    /// Starts a backend server and registers it as ready. An index that is in use is reassigned to the new
    /// server; the previous server is neither stopped nor unregistered.
    void start_backend(std::size_t index, const emulator::backend_options& options);
    /// Writes or deletes a server's row in the table of servers. Every `state` but "ready" means draining.
    void register_backend(std::size_t index, const std::string& state);
    void unregister_backend(std::size_t index);
    /// Registers a server of this service that the test runs itself.
    void register_address(const std::string& id, const std::string& service, const http::endpoint& address,
                          unsigned slots);
    /// Registers a server as ready, with another software version than it has reported so far.
    void register_software(std::size_t index, const std::string& software);
    /// Stops the server without deleting its registration.
    void stop_backend(std::size_t index);

    /// What happens to servers that a request crashes.
    struct crash_terms {
        emulator::crash_rule rule;
        /// From the crash until the server is back, under a new id and at the same address.
        std::chrono::milliseconds back_after{300};
        /// From the crash until the former registration is removed.
        std::chrono::milliseconds registration_life{1500};
    };
    /// Lets all servers, and those that are started later, crash by these requests.
    void crash_by_requests(const crash_terms& terms);
    /// How many servers have crashed so far, by such requests or because their memory ran out.
    [[nodiscard]] std::size_t count_crashes();

    /// Runs `function` on the thread of the emulated store and servers and returns its result.
    template <typename Function>
    auto on_emulator(Function function) -> std::invoke_result_t<Function> {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    /// The event loop of the emulated store and servers. Its objects may only be used inside of
    /// on_emulator().
    [[nodiscard]] boost::asio::io_context& emulator_context() noexcept { return m_context; }
    /// May only be used inside of on_emulator().
    [[nodiscard]] emulator::emulated_store& store() { return *m_store; }
    [[nodiscard]] emulator::emulated_backend& backend(std::size_t index) {
        return *m_backends.at(index).server;
    }

    /// Calls `visit` with each server that has an index. May only be used inside of on_emulator().
    template <typename Visitor>
    void visit_backends(const Visitor& visit) {
        for (auto& [index, unit] : m_backends) {
            visit(*unit.server);
        }
    }

    /// How often a request with this id has begun to run, on all servers ever started or on one of them.
    [[nodiscard]] std::size_t runs_of(const std::string& request_id);
    [[nodiscard]] std::size_t runs_of(const std::string& request_id, std::size_t index);

    /// How many requests have reached a server, whether it ran them or refused them.
    [[nodiscard]] std::size_t arrivals_at(std::size_t server);
    /// Whether the log of a gateway's process contains this text.
    [[nodiscard]] bool has_logged(std::size_t gateway, const std::string& text);

    /// Sends the call to a gateway and waits for the answer.
    [[nodiscard]] caller_result send(std::size_t gateway, const http::request& call) const;

private:
    struct gateway_unit {
        std::unique_ptr<child_process> process;
        std::string address;
        std::filesystem::path settings;
        unsigned starts = 0;
    };
    struct backend_unit {
        std::unique_ptr<emulator::emulated_backend> server;
        http::endpoint address;
        std::string software = {}; ///< as registered
    };

    void apply_crash_terms(std::size_t index);
    void handle_crash(std::size_t index);
    void listen_backend(std::size_t index, const emulator::backend_options& options,
                        const http::endpoint& address);
    void write_registration(std::size_t index, const std::string& state);
    void write_record(const routing::backend_record& record);
    void remove_registration(const std::string& id);
    void after(std::chrono::milliseconds delay, std::function<void()> call);
    [[nodiscard]] std::string settings_text(std::size_t index, const std::string& further) const;
    void show_logs() const;

    site_options m_options;
    std::filesystem::path m_folder;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    timer_service m_timers;
    std::unique_ptr<emulator::emulated_store> m_store;
    http::endpoint m_store_address;
    std::map<std::size_t, backend_unit> m_backends;
    std::vector<std::unique_ptr<emulator::emulated_backend>> m_previous_backends;
    std::optional<crash_terms> m_crash_terms;
    std::vector<timer_subscription> m_scheduled_calls; ///< calls at later times, on the emulator's thread
    std::vector<gateway_unit> m_gateways;
    std::uint16_t m_port = 0; ///< first of the `ports_per_gateway` ports of every gateway
    std::jthread m_thread;

    /// Ends m_thread when the constructor throws. Without it, the thread would never be joined, and a test
    /// that can't start its gateways would hang instead of saying why.
    struct context_stopper {
        explicit context_stopper(boost::asio::io_context& stopped) : context(stopped) {}
        ~context_stopper() { context.stop(); }
        context_stopper(const context_stopper&) = delete;
        context_stopper& operator=(const context_stopper&) = delete;
        context_stopper(context_stopper&&) = delete;
        context_stopper& operator=(context_stopper&&) = delete;

        boost::asio::io_context& context;
    };
    context_stopper m_stopper{m_context}; ///< destroyed before m_thread
};

/// Sends calls to the service "plain" through the gateway, one after the other, until one has reached this
/// server. Their ids begin with `name`.
void send_until_arrival(gateway_site& site, std::size_t gateway, std::size_t server, const std::string& name);
/// Sends that many calls to the service "plain" through the gateway and returns how many were answered with
/// 200.
[[nodiscard]] int count_served(const gateway_site& site, std::size_t gateway, int calls,
                               const std::string& name);

/// Waits until one of these gateways coordinates and the others request slots from it, as far as their logs
/// say; returns the coordinator's index.
[[nodiscard]] std::size_t wait_for_coordinator(gateway_site& site, const std::vector<std::size_t>& gateways);

} // namespace borageford::test
