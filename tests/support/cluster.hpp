// A whole system of real processes for one test: the platform's stand-in, backend servers each with a
// sidecar, entries, and a fault-injecting proxy on each connection that a test may want to hurt.
#pragma once

#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace borageford::test {

struct backend_options {
    std::string name = {};
    bool is_service = false;
    /// Further arguments of the stand-in.
    std::vector<std::string> arguments = {};
    std::string failure_domain = "sala-a";
    std::string slots = "16";
    bool checks_fencing = false;
};

struct cluster_options {
    std::size_t entries = 2;
    std::vector<backend_options> backend_servers{{.name = "pluma-1"}, {.name = "pluma-2"}};
    std::string entry_settings = {};   ///< further lines of [entry]
    std::string sidecar_settings = {}; ///< further lines of [sidecar]
    std::string process_settings = {}; ///< further lines of [process]
    /// After how long each side abandons a silent connection.
    std::string entry_silence = "2s";
    std::string sidecar_silence = "2s";
    std::string intent = {};           ///< further sections of the intent
    std::string poll_period = "100ms"; ///< of the configuration's head and the list of VMs
    std::vector<std::string> platform_arguments = {};
};

/// A backend server with its sidecar. The proxies keep their addresses when what is behind them is restarted.
struct backend_unit {
    backend_options options;
    std::unique_ptr<child_process> server;
    http::endpoint server_address;
    std::unique_ptr<fault_proxy> server_link; ///< between sidecar and server; raw bytes
    std::unique_ptr<child_process> sidecar;
    http::endpoint status_address;
    http::endpoint peers_address;
    std::unique_ptr<fault_proxy> link; ///< between entries and sidecar; frames
};

struct entry_unit {
    std::string vm;
    std::unique_ptr<child_process> process;
    http::endpoint callers;
    http::endpoint admin;
    http::endpoint peers;
};

/// Invariant: all processes are ended and the temporary folder is removed by the destructor; when a test has
/// failed, the ends of the logs are shown first.
class cluster {
public:
    /// Starts everything and waits until each entry answers a request.
    explicit cluster(cluster_options options = {});
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    cluster(cluster&&) = delete;
    cluster& operator=(cluster&&) = delete;

    [[nodiscard]] backend_unit& backend(std::size_t index) { return m_backends.at(index); }
    [[nodiscard]] entry_unit& entry(std::size_t index) { return m_entries.at(index); }
    [[nodiscard]] std::size_t backend_count() const noexcept { return m_backends.size(); }
    [[nodiscard]] const http::endpoint& platform() const noexcept { return m_platform_address; }

    void start_server(std::size_t index);
    void start_sidecar(std::size_t index);
    void start_entry(std::size_t index);

    /// Writes the intent as the next revision; `further` is added to the sections of the cluster.
    void commit(const std::string& further, const std::string& drained = "");
    /// Sets controls of the platform, or of a backend server.
    void control_platform(const std::string& json) const;
    void control_server(std::size_t index, const std::string& json) const;
    /// Publishes the list of VMs; the named one is shown in this state.
    void publish_vms(const std::string& vm = "", const std::string& state = "live");

    /// How often the call's body ran, over all backend servers that live.
    [[nodiscard]] std::uint64_t runs_of(const http::request& call) const;
    [[nodiscard]] std::uint64_t runs_of(const http::request& call, std::size_t index) const;
    /// A counter of the stand-in, such as "cancelled" or "total".
    [[nodiscard]] std::uint64_t server_count(std::size_t index, const std::string& name) const;
    [[nodiscard]] std::uint64_t platform_count(const std::string& name) const;
    /// The backend server on which the call runs or ran; waits until there is one.
    [[nodiscard]] std::size_t wait_for_run(const http::request& call) const;

    /// Sends to an entry and waits for the answer.
    [[nodiscard]] caller_result send(std::size_t entry, const http::request& call);

    /// Waits until this entry answers a request.
    void wait_for_entry(std::size_t index);

    /// Writes a file into the cluster's folder and returns its path.
    [[nodiscard]] std::filesystem::path write_file(const std::string& name, const std::string& text) const;

private:
    [[nodiscard]] std::string intent(const std::string& further, const std::string& drained) const;
    [[nodiscard]] std::string common_settings(const std::string& vm, const std::string& domain,
                                              const std::string& silence) const;
    void show_logs() const;

    cluster_options m_options;
    std::filesystem::path m_folder;
    std::unique_ptr<child_process> m_platform;
    http::endpoint m_platform_address;
    std::vector<backend_unit> m_backends;
    std::vector<entry_unit> m_entries;
    std::uint64_t m_revision = 0;
    unsigned m_starts = 0;
};

} // namespace borageford::test
