// Estimates the file descriptors of a soak. In the end every gateway has a connection to every server, each
// through a fault_proxy in the soak's process.
#include "soak/descriptor_need.hpp"

#include <sys/resource.h>

namespace borageford::soak {

namespace {

/// A connection between a gateway and a server takes the proxy's two sockets and the emulated server's
/// socket.
constexpr std::size_t descriptors_per_connection = 3;
/// The pipe of the gateway's output, and its connections to the emulated store through a proxy, including
/// those of repeated long polls.
constexpr std::size_t descriptors_per_gateway = 44;
constexpr std::size_t descriptors_per_caller = 2;
/// Listening sockets, log files and event loops.
constexpr std::size_t descriptors_of_process = 200;

} // namespace

std::size_t count_descriptors(const soak_size& size) noexcept {
    return descriptors_of_process + size.gateways * descriptors_per_gateway +
           size.gateways * size.servers * descriptors_per_connection + size.callers * descriptors_per_caller;
}

std::optional<std::string> check_size(const soak_size& size, std::size_t limit) {
    const auto need = count_descriptors(size);
    if (need <= limit) {
        return std::nullopt;
    }
    return "this size needs some " + std::to_string(need) + " descriptors in one process, which may have " +
           std::to_string(limit) + ": take fewer gateways or servers";
}

std::size_t descriptor_limit() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace borageford::soak
