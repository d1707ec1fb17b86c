// Polls the platform's list of VMs, which lags behind the real state, and keeps the newest known state of
// each VM.
#pragma once

#include "base/snapshot.hpp"
#include "base/timer_service.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace borageford::store {

/// What a VM runs: an entry process, which accepts callers' requests, or a sidecar next to a backend server.
enum class vm_role : std::uint8_t { entry, sidecar };
/// A VM that is leaving is shutting down.
enum class vm_state : std::uint8_t { live, leaving };

/// One VM of the platform's list.
struct vm {
    std::string name;
    boost::asio::ip::tcp::endpoint address; ///< address on which its process listens for other VMs
    vm_role role = vm_role::entry;
    std::string failure_domain;
    std::string region;
    std::string backend_server; ///< id of the backend server of a sidecar; empty for an entry
    vm_state state = vm_state::live;
};

/// VMs by name. Removed VMs aren't included.
using vm_map = std::map<std::string, vm, std::less<>>;

/// Each poll requests only what has changed since the previous poll. During an outage of the platform, the
/// last known list is kept.
class vm_directory {
public:
    using change_listener = std::function<void(const std::shared_ptr<const vm_map>&)>;

    vm_directory(boost::asio::any_io_executor executor, timer_service& timers,
                 boost::asio::ip::tcp::endpoint platform, std::chrono::milliseconds timeout,
                 std::chrono::milliseconds poll_period);
    ~vm_directory();
    vm_directory(const vm_directory&) = delete;
    vm_directory& operator=(const vm_directory&) = delete;
    vm_directory(vm_directory&&) = delete;
    vm_directory& operator=(vm_directory&&) = delete;

    /// Starts to poll. `changed` is called on the executor after each change, with the new list.
    void start(change_listener changed);

    /// The last known list. Can be called from any thread.
    [[nodiscard]] std::shared_ptr<const vm_map> current() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::store
