// The memory and the descriptors that a process may use: as its settings state, otherwise as the machine
// grants.
#pragma once

#include <cstddef>
#include <cstdint>

namespace borageford::process {

/// Largest value of a setting that states a process's memory, in bytes.
inline constexpr std::uint64_t max_memory_limit = 64ULL << 30U;

/// Returns the stated limit in bytes; if it is 0, the machine's memory.
[[nodiscard]] std::uint64_t memory_limit(std::uint64_t stated) noexcept;

/// Returns the stated number of descriptors; if it is 0, how many the system lets this process open.
[[nodiscard]] std::size_t descriptor_limit(std::size_t stated = 0) noexcept;

} // namespace borageford::process
