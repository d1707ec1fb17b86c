// Damages samples of input at random for the fuzz tests. Equal seeds give equal results.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// A random generator and the damages that it chooses.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : m_engine(seed) {}

    /// Returns a copy of a random sample with one to six damages, among them ranges copied from other
    /// samples.
    [[nodiscard]] std::string mutate(const std::vector<std::string>& samples);

    /// A random number below `limit`; 0 when `limit` is 0.
    [[nodiscard]] std::size_t below(std::size_t limit);

private:
    void damage(std::string& bytes, const std::vector<std::string>& samples);

    std::mt19937_64 m_engine;
};

} // namespace borageford::test
