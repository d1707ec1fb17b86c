// Parses the body of a completion call and cuts its prompt into hashed blocks.
#include "fakes/engine_request.hpp"

#include "base/hash.hpp"
#include "support/answer_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace borageford::test {

namespace json = boost::json;

namespace {

/// Bytes of the prompt in a block.
constexpr std::size_t block_bytes = 256;
constexpr std::size_t bytes_per_token = 4;
/// Without max_tokens, an answer has 8 to 127 tokens, chosen by the request's fingerprint.
constexpr std::uint32_t shortest_answer = 8;
constexpr std::uint32_t answer_spread = 120;

std::uint32_t tokens_in(std::size_t bytes) {
    return static_cast<std::uint32_t>((bytes + bytes_per_token - 1) / bytes_per_token);
}

std::string prompt_of(const json::object& body, bool is_chat) {
    if (!is_chat) {
        return std::string(body.at("prompt").as_string());
    }
    std::string prompt;
    for (const auto& message : body.at("messages").as_array()) {
        prompt += std::string(message.at("role").as_string()) + "\n";
        prompt += std::string(message.at("content").as_string()) + "\n";
    }
    return prompt;
}

std::vector<prompt_block> cut_into_blocks(std::string_view prompt) {
    std::vector<prompt_block> blocks;
    std::uint64_t hash = 0;
    for (; !prompt.empty(); prompt.remove_prefix(std::min(block_bytes, prompt.size()))) {
        const auto block = prompt.substr(0, block_bytes);
        hash = hash_bytes(block, hash);
        blocks.push_back({hash, tokens_in(block.size()), block.size() == block_bytes});
    }
    return blocks;
}

} // namespace

engine_request read_engine_request(std::string_view path, std::string_view text) {
    const auto parsed = json::parse(json::string_view(text.data(), text.size()));
    const auto& body = parsed.as_object();
    engine_request request;
    request.is_chat = path == "/v1/chat/completions";
    request.model = std::string(body.at("model").as_string());
    request.fingerprint = fingerprint_of(text);
    if (const auto* stream = body.if_contains("stream")) {
        request.is_streamed = stream->as_bool();
    }
    request.output_tokens = shortest_answer + static_cast<std::uint32_t>(request.fingerprint % answer_spread);
    if (const auto* limit = body.if_contains("max_tokens")) {
        request.output_tokens = std::max(1U, limit->to_number<std::uint32_t>());
    }
    const auto prompt = prompt_of(body, request.is_chat);
    request.prompt_tokens = tokens_in(prompt.size());
    request.blocks = cut_into_blocks(prompt);
    return request;
}

} // namespace borageford::test
