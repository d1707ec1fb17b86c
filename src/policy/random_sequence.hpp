// A small seeded pseudo-random number generator (SplitMix64). A policy that draws from it with a given seed
// makes the same decision every time it is run.
#pragma once

#include <cstddef>
#include <cstdint>

namespace borageford::policy {

/// SplitMix64 generator; not for cryptographic use.
class random_sequence {
public:
    explicit random_sequence(std::uint64_t seed) noexcept : m_state(seed) {}

    /// The next 64 random bits.
    [[nodiscard]] std::uint64_t next() noexcept {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// A random number from 0 to bound - 1; `bound` must not be 0.
    [[nodiscard]] std::size_t below(std::size_t bound) noexcept { return next() % bound; }

private:
    std::uint64_t m_state;
};

} // namespace borageford::policy
