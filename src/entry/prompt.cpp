// Block hashes and token counts.
#include "entry/prompt.hpp"

#include "base/hash.hpp"

namespace borageford::entry {

std::vector<std::uint64_t> hash_prefixes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    while (prompt.size() >= block_size && hashes.size() < most_blocks) {
        previous = hash_bytes(prompt.substr(0, block_size), previous);
        hashes.push_back(previous);
        prompt.remove_prefix(block_size);
    }
    return hashes;
}

std::uint32_t count_tokens(std::string_view prompt) {
    return static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
}

} // namespace borageford::entry
