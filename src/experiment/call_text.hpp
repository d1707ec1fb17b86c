// What a caller sends for one request, as bytes.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace borageford::experiment {

/// The tokens that a caller tells of its request.
struct told_sizes {
    std::size_t prompt = 0;
    std::size_t most_output = 0;
    std::size_t hinted_output = 0;
};

struct call_description {
    std::string host;
    std::string target;
    std::string id;
    std::chrono::milliseconds time_left{0};
    std::optional<told_sizes> sizes;
    std::string key; ///< of a workspace; empty on public routes
    std::string body;
};

[[nodiscard]] std::string compose_call(const call_description& call);

} // namespace borageford::experiment
