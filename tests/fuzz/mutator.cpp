// Implements the kinds of damage: flipped bits, replaced bytes, truncation, removed and repeated ranges, and
// ranges copied from another sample.
#include "fuzz/mutator.hpp"

#include <algorithm>
#include <array>

namespace borageford::test {
namespace {

/// A mutation consists of one to six damages.
constexpr std::size_t max_damages = 6;
/// Removed, repeated and copied ranges are shorter than this, in bytes.
constexpr std::size_t max_range_length = 64;
/// Byte values at which mistakes in the handling of lengths and offsets show.
constexpr std::array<unsigned char, 8> edge_bytes{0x00, 0x01, 0x7f, 0x80, 0xff, 0xfe, 0x10, 0x20};

} // namespace

std::size_t mutator::below(std::size_t limit) {
    return limit == 0 ? 0 : static_cast<std::size_t>(m_engine() % limit);
}

std::string mutator::mutate(const std::vector<std::string>& samples) {
    std::string bytes = samples.at(below(samples.size()));
    const auto damages = 1 + below(max_damages);
    for (std::size_t count = 0; count < damages; ++count) {
        damage(bytes, samples);
    }
    return bytes;
}

void mutator::damage(std::string& bytes, const std::vector<std::string>& samples) {
    constexpr std::size_t kinds = 6;
    const auto place = below(bytes.size());
    const auto length = std::min(below(max_range_length), bytes.size() - place);
    switch (below(kinds)) {
    case 0:
        if (!bytes.empty()) {
            bytes[place] = static_cast<char>(bytes[place] ^ (1U << below(8)));
        }
        break;
    case 1:
        if (!bytes.empty()) {
            bytes[place] = static_cast<char>(edge_bytes.at(below(edge_bytes.size())));
        }
        break;
    case 2:
        bytes.resize(place);
        break;
    case 3:
        bytes.erase(place, length);
        break;
    case 4:
        bytes.insert(place, std::string(bytes, place, length));
        break;
    default:
        const auto& other = samples.at(below(samples.size()));
        const auto from = below(other.size());
        bytes.insert(place, other.substr(from, below(max_range_length)));
        break;
    }
}

} // namespace borageford::test
