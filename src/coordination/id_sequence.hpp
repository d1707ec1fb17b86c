// Ids that differ between the processes of a deployment and between the runs of a process.
#pragma once

#include <cstdint>

namespace borageford::coordination {

/// The upper half of each id consists of random bits that the process drew at its start, the lower half is a
/// counter. So the first 2^32 ids of one process differ, and those of different processes differ unless two
/// of them draw the same 32 bits, which is unlikely but isn't checked. Later ids of a process are greater.
class id_sequence {
public:
    /// `incarnation`: random number of this run of the process, of which the lower 32 bits are used.
    explicit id_sequence(std::uint64_t incarnation) noexcept : m_upper_half(incarnation << counter_bits) {}

    [[nodiscard]] std::uint64_t next() noexcept { return m_upper_half | ++m_last; }

private:
    static constexpr unsigned counter_bits = 32;

    std::uint64_t m_upper_half;
    std::uint32_t m_last = 0;
};

} // namespace borageford::coordination
