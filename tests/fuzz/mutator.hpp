// Damages bytes at random, the same way for the same seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

class mutator {
public:
    explicit mutator(std::uint64_t seed) : m_engine(seed) {}

    /// A few damages to one of the samples, with parts of the others mixed in.
    [[nodiscard]] std::string mutate(const std::vector<std::string>& samples);

    /// A number below `limit`, or 0 where that is 0.
    [[nodiscard]] std::size_t below(std::size_t limit);

private:
    void damage(std::string& bytes, const std::vector<std::string>& samples);

    std::mt19937_64 m_engine;
};

} // namespace borageford::test
