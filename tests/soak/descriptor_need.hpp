// Checks whether a soak needs more file descriptors than its process may open.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace borageford::soak {

/// The counts on which the number of descriptors depends. The soak's process needs descriptors for all
/// proxies, emulated servers, the emulated store and all callers; the gateways are processes of their own.
struct soak_size {
    std::size_t gateways = 0;
    std::size_t servers = 0;
    std::size_t callers = 0;
};

/// An estimate of the most descriptors that the soak's process has open at a time.
[[nodiscard]] std::size_t count_descriptors(const soak_size& size) noexcept;

/// Returns an error message when a soak of this size needs more than `limit` descriptors; otherwise nothing.
///
/// Without this check, a soak that is too large would end after a while with "Too many open files" and
/// without a verdict on the promises.
[[nodiscard]] std::optional<std::string> check_size(const soak_size& size, std::size_t limit);

/// The soft limit of open descriptors of this process.
[[nodiscard]] std::size_t descriptor_limit();

} // namespace borageford::soak
