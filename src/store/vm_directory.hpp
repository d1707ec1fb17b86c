// Follows the platform's lagging list of VMs and holds the newest known state of each.
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

enum class vm_role : std::uint8_t { entry, sidecar };
enum class vm_state : std::uint8_t { live, leaving };

struct vm {
    std::string name;
    boost::asio::ip::tcp::endpoint address; ///< of the process's peer listener
    vm_role role = vm_role::entry;
    std::string failure_domain;
    std::string region;
    std::string backend_server; ///< for sidecars
    vm_state state = vm_state::live;
};

/// By VM name. VMs that are gone aren't in it.
using vm_map = std::map<std::string, vm, std::less<>>;

/// Polls only what changed since its last poll. While the platform is out, the last known list stays.
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

    /// Starts to poll; `changed` is called on the executor after each change.
    void start(change_listener changed);

    [[nodiscard]] std::shared_ptr<const vm_map> current() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::store
