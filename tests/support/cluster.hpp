// A complete deployment of real processes for one test: fake_platform, backend servers (fake_engine or
// fake_service) each with a sidecar, and entries. A fault_proxy stands between each sidecar and its backend
// server, and between the entries and each sidecar.
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

/// One backend server of a cluster.
struct backend_options {
    std::string name = {};
    bool is_service = false; ///< runs fake_service instead of fake_engine
    /// Additional command-line arguments of fake_engine or fake_service.
    std::vector<std::string> arguments = {};
    std::string failure_domain = "sala-a";
    std::string slots = "16";
    bool checks_fencing = false;
};

/// What a cluster consists of; durations are written as in the settings files.
struct cluster_options {
    std::size_t entries = 2;
    std::vector<backend_options> backend_servers{{.name = "pluma-1"}, {.name = "pluma-2"}};
    std::string entry_settings = {};   ///< additional lines of the section [entry]
    std::string sidecar_settings = {}; ///< additional lines of the section [sidecar]
    std::string process_settings = {}; ///< additional lines of the section [process]
    /// The setting `silence_limit` of entries and of sidecars: how long a connection may be without messages
    /// before the process closes it.
    std::string entry_silence = "2s";
    std::string sidecar_silence = "2s";
    std::string intent = {}; ///< additional sections of the configuration's text
    /// How often processes read the configuration's head row and the list of VMs.
    std::string poll_period = "100ms";
    std::vector<std::string> platform_arguments = {};
};

/// A backend server with its sidecar. The proxies keep their addresses when the server or the sidecar is
/// started again.
struct backend_unit {
    backend_options options;
    std::unique_ptr<child_process> server;
    http::endpoint server_address;
    std::unique_ptr<fault_proxy> server_link; ///< between sidecar and server; faults apply to raw bytes
    std::unique_ptr<child_process> sidecar;
    http::endpoint status_address;
    http::endpoint peers_address;
    std::unique_ptr<fault_proxy> link; ///< between entries and sidecar; faults apply to frames
};

/// One entry process and the addresses that it listens on.
struct entry_unit {
    std::string vm;
    std::unique_ptr<child_process> process;
    http::endpoint callers;
    http::endpoint admin;
    http::endpoint peers;
};

/// Invariant: the destructor ends all processes and removes the temporary folder. When an exception is in
/// flight, it first prints the ends of the logs.
class cluster {
public:
    /// Starts all processes and waits until each entry answers a request.
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

    /// These start a process (again) and return once it listens.
    void start_server(std::size_t index);
    void start_sidecar(std::size_t index);
    void start_entry(std::size_t index);

    /// Writes the cluster's configuration, with the sections in `further` added, as the next revision. The
    /// backend server named `drained` is marked as drained.
    void commit(const std::string& further, const std::string& drained = "");
    /// Sets fault controls of fake_platform or of a fake backend server. Throws unless the call succeeds.
    void control_platform(const std::string& json) const;
    void control_server(std::size_t index, const std::string& json) const;
    /// Publishes the platform's list of VMs. The VM named `vm` is listed with this state, all other VMs as
    /// live.
    void publish_vms(const std::string& vm = "", const std::string& state = "live");

    /// How often a request with the call's body ran, on all running backend servers together or on one of
    /// them.
    [[nodiscard]] std::uint64_t runs_of(const http::request& call) const;
    [[nodiscard]] std::uint64_t runs_of(const http::request& call, std::size_t index) const;
    /// A counter of a fake backend server (such as "cancelled" or "total") or of fake_platform; 0 when it has
    /// no counter of this name.
    [[nodiscard]] std::uint64_t server_count(std::size_t index, const std::string& name) const;
    [[nodiscard]] std::uint64_t platform_count(const std::string& name) const;
    /// Waits until a backend server has begun to run the call, and returns the server's index.
    [[nodiscard]] std::size_t wait_for_run(const http::request& call) const;

    /// Sends the call to an entry and waits for the answer.
    [[nodiscard]] caller_result send(std::size_t entry, const http::request& call);

    /// Waits until this entry answers a request with status 200.
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
