// What the machine grants to this process.
#pragma once

#include <cstddef>
#include <cstdint>

namespace borageford::process {

/// The machine's memory in bytes.
[[nodiscard]] std::uint64_t machine_memory() noexcept;

/// How many descriptors this process may have open.
[[nodiscard]] std::size_t descriptor_limit() noexcept;

} // namespace borageford::process
