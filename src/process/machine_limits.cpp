// Asks the system for the machine's limits.
#include "process/machine_limits.hpp"

#include <sys/resource.h>
#include <unistd.h>

namespace borageford::process {

std::uint64_t memory_limit(std::uint64_t stated) noexcept {
    constexpr std::uint64_t unknown =
        64U * 1024 * 1024; // the system always tells; rather too little than none
    if (stated > 0) {
        return stated;
    }
    const auto pages = ::sysconf(_SC_PHYS_PAGES);
    const auto page_size = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && page_size > 0
               ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(page_size)
               : unknown;
}

std::size_t descriptor_limit(std::size_t stated) noexcept {
    constexpr std::size_t usual = 1024;
    if (stated > 0) {
        return stated;
    }
    ::rlimit limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return is_known ? static_cast<std::size_t>(limit.rlim_cur) : usual;
}

} // namespace borageford::process
