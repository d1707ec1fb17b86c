// A small deployment for one test: the emulated store and backend servers in this process, gateways as real
// processes, each at a loopback address of its own.
#pragma once

#include "emulator/emulated_backend.hpp"
#include "emulator/emulated_store.hpp"
#include "routing/rollout_order.hpp"
#include "routing/routing_types.hpp"
#include "support/child_process.hpp"
#include "support/http_caller.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

namespace borageford::test {

struct site_options {
    std::size_t gateways = 1;
    /// What the gateways are configured with before they start; nothing is written when `is_configured` is
    /// false.
    routing::routing_document configuration;
    bool is_configured = true;
    std::vector<emulator::backend_options> backends;
    std::string gateway_settings = {}; ///< further lines of [gateway]
    /// After which a call to the store counts as lost.
    std::chrono::milliseconds store_timeout{500};
};

/// One route to one plain service named "plain", host "site.example", prefix "/plain/".
[[nodiscard]] routing::routing_document plain_configuration(routing::route_kind kind);
/// One route of streams to the service "engines", prefix "/stream/".
[[nodiscard]] routing::routing_document stream_configuration(bool is_resumable);
[[nodiscard]] emulator::backend_options plain_backend(const std::string& id);
[[nodiscard]] emulator::backend_options engine_backend(const std::string& id);

/// A request with the fields that every caller sends.
[[nodiscard]] http::request make_call(const std::string& target, const std::string& id,
                                      std::string body = "hello");

/// Gateways before servers "server-0", "server-1", ... of the plain service, whose calls may be repeated.
[[nodiscard]] site_options plain_site(std::size_t servers, std::size_t gateways = 1);
/// The same document under another version, with one workspace that has this key.
[[nodiscard]] routing::routing_document with_key(routing::routing_document document, std::uint64_t version,
                                                 const std::string& key);
/// A call to the plain service with a workspace's key.
[[nodiscard]] http::request keyed_call(const std::string& id, const std::string& key);

/// Invariant: all processes are ended by the destructor; when a test has failed, the ends of the logs are
/// shown first.
class gateway_site {
public:
    explicit gateway_site(site_options options);
    ~gateway_site();
    gateway_site(const gateway_site&) = delete;
    gateway_site& operator=(const gateway_site&) = delete;
    gateway_site(gateway_site&&) = delete;
    gateway_site& operator=(gateway_site&&) = delete;

    [[nodiscard]] http::endpoint callers(std::size_t gateway) const;
    [[nodiscard]] http::endpoint readiness(std::size_t gateway) const;
    [[nodiscard]] http::endpoint metrics(std::size_t gateway) const;
    [[nodiscard]] child_process& process(std::size_t gateway) { return *m_gateways.at(gateway).process; }
    void start_gateway(std::size_t index);
    /// Changes a gateway's settings file; it takes effect at the next start or reload.
    void write_settings(std::size_t index, const std::string& further);
    [[nodiscard]] bool is_ready(std::size_t gateway) const;
    void wait_until_ready(std::size_t gateway) const;

    /// Writes the configuration into the store, as an operator does.
    void configure(const routing::routing_document& document);
    /// Orders a service to move to another version, or withdraws the order, as an operator does.
    void order_rollout(const routing::rollout_order& order);
    void withdraw_rollout(const std::string& service);
    /// Starts a backend server and registers it; the same index may be used again.
    void start_backend(std::size_t index, const emulator::backend_options& options);
    void register_backend(std::size_t index, const std::string& state);
    void unregister_backend(std::size_t index);
    /// Closes the server without a word; its registration stays.
    void stop_backend(std::size_t index);

    /// Runs something on the thread of the emulated parts and returns its result.
    template <typename Function>
    auto on_emulator(Function function) -> std::invoke_result_t<Function> {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    /// On the emulator's thread only.
    [[nodiscard]] emulator::emulated_store& store() { return *m_store; }
    [[nodiscard]] emulator::emulated_backend& backend(std::size_t index) {
        return *m_backends.at(index).server;
    }

    /// How often a request of this id has begun to run, over all servers there ever were.
    [[nodiscard]] std::size_t runs_of(const std::string& request_id);
    [[nodiscard]] std::size_t runs_of(const std::string& request_id, std::size_t index);

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
    };

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
    std::vector<std::unique_ptr<emulator::emulated_backend>> m_former_backends;
    std::vector<gateway_unit> m_gateways;
    std::uint16_t m_port = 0; ///< the first of four that are free at all gateways' addresses
    std::jthread m_thread;
};

} // namespace borageford::test
