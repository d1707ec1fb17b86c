// Counting tokens.
#include "entry/prompt.hpp"

namespace borageford::entry {

std::uint32_t count_tokens(std::string_view prompt) {
    return static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
}

} // namespace borageford::entry
