// A request as an engine reads it: its prompt in blocks, the length of its answer, whether it is streamed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// One block of a prompt; its hash covers the prompt up to its end.
struct prompt_block {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
    bool is_whole = true; ///< only whole blocks are cached
};

struct engine_request {
    std::string model;
    bool is_chat = true;
    bool is_streamed = false;
    std::uint64_t fingerprint = 0;
    std::uint32_t output_tokens = 1;
    std::uint32_t prompt_tokens = 0;
    std::vector<prompt_block> blocks;
};

/// Reads the body of a completion call. Throws std::exception for a body that isn't one.
[[nodiscard]] engine_request read_engine_request(std::string_view path, std::string_view body);

} // namespace borageford::test
