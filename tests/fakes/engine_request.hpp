// What fake_engine reads from a completion request: the prompt in blocks, the answer's length and whether to
// stream it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// One block of a prompt. Its hash covers the prompt from its beginning to the end of the block.
struct prompt_block {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
    bool is_complete = true; ///< false for a shorter last block, which is never cached
};

/// A parsed completion request.
struct engine_request {
    std::string model;
    bool is_chat = true;
    bool is_streamed = false;
    std::uint64_t fingerprint = 0; ///< of the body; determines the answer's text
    std::uint32_t output_tokens = 1;
    std::uint32_t prompt_tokens = 0;
    std::vector<prompt_block> blocks;
};

/// Parses the body of a completion call to this path. Throws an exception derived from std::exception when
/// the body is malformed.
[[nodiscard]] engine_request read_engine_request(std::string_view path, std::string_view body);

} // namespace borageford::test
