// Composes the bytes of the HTTP request that an emulated caller sends.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace borageford::experiment {

/// The token counts that a caller sends in the header of its request.
struct token_counts {
    std::size_t prompt = 0;        ///< tokens of the prompt
    std::size_t most_output = 0;   ///< the most tokens that the answer may have
    std::size_t hinted_output = 0; ///< the caller's guess at the tokens of the answer
};

/// The contents of one request.
struct call_description {
    std::string host;
    std::string target;
    std::string id;                         ///< the caller's id of the request
    std::chrono::milliseconds time_left{0}; ///< until the caller's deadline
    std::optional<token_counts> sizes;      ///< sent only on routes of streams
    /// What the caller has of a stream that it resumes.
    struct received_part {
        std::string request;          ///< id of the request that brought the first event
        std::uint64_t last_event = 0; ///< id of the last event
    };
    std::optional<received_part> received;
    std::vector<std::string> parts; ///< ids of the parts that its prompt shares with others
    std::string key;                ///< the API key of a workspace; empty on public routes
    std::string body;
};

/// The complete request as text: head and body.
[[nodiscard]] std::string compose_call(const call_description& call);

} // namespace borageford::experiment
