// Whether a soak of some size fits into the descriptors that its process may hold.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace borageford::soak {

/// How many there are of what takes descriptors of the soak's own process, which is proxy, server, store and
/// caller to all gateways.
struct soak_size {
    std::size_t gateways = 0;
    std::size_t servers = 0;
    std::size_t callers = 0;
};

/// The most descriptors that the process comes to hold.
[[nodiscard]] std::size_t count_descriptors(const soak_size& size) noexcept;

/// What to tell whoever asked for a size that doesn't fit; nothing when it does.
///
/// Started all the same, such a soak ends in the middle with "Too many open files", and says nothing of the
/// promises.
[[nodiscard]] std::optional<std::string> refuse_size(const soak_size& size, std::size_t limit);

/// The soft limit of this process.
[[nodiscard]] std::size_t descriptor_limit();

} // namespace borageford::soak
