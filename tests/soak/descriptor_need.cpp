// Every gateway comes to hold a connection to every server, each through a proxy.
#include "soak/descriptor_need.hpp"

#include <sys/resource.h>

namespace borageford::soak {

namespace {

/// Each connection is accepted by a proxy, made by it, and accepted by the server.
constexpr std::size_t descriptors_per_connection = 3;
/// Its output, and its connections to the store with those that ask again, through a proxy too.
constexpr std::size_t descriptors_per_gateway = 44;
constexpr std::size_t descriptors_per_caller = 2;
/// Listeners, logs and the event loops.
constexpr std::size_t descriptors_of_process = 200;

} // namespace

std::size_t count_descriptors(const soak_size& size) noexcept {
    return descriptors_of_process + size.gateways * descriptors_per_gateway +
           size.gateways * size.servers * descriptors_per_connection + size.callers * descriptors_per_caller;
}

std::optional<std::string> refuse_size(const soak_size& size, std::size_t limit) {
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
