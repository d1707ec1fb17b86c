// What is said to a backend server and what it says back, as plain values.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::backend {

/// A call as the backend server gets it.
struct call {
    std::string method = "POST";
    std::string path = "/";
    std::string content_type;
    std::string body;
    bool streamed = false; ///< the answer is server-sent events
};

struct answer_head {
    unsigned status = 200;
    std::string content_type;
};

/// Tokens that an engine says it worked on for one answer.
struct usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< of the prompt's, those that needed no prefill
    std::uint32_t output_tokens = 0;
};

/// An engine's report about itself; it lags.
struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

struct cache_event {
    std::uint64_t sequence = 0;
    bool is_stored = true; ///< otherwise evicted
    std::vector<std::uint64_t> hashes;
};

/// Late and with gaps: a sequence that jumps means that events were lost.
struct cache_event_batch {
    std::uint64_t next = 0;
    std::vector<cache_event> events;
};

struct loaded_model {
    std::string name;
    std::string version;

    bool operator==(const loaded_model&) const = default;
};

/// What an engine has loaded now.
struct engine_state {
    std::vector<loaded_model> models;
    std::vector<std::string> adapters;
    std::string role;
    std::uint64_t fencing = 0; ///< the highest number it has seen; 0 from engines that don't check
};

enum class order_kind : std::uint8_t { load_model, unload_model, load_adapter, unload_adapter, set_role };

[[nodiscard]] std::string_view to_string(order_kind kind) noexcept;

struct order {
    std::uint64_t fencing = 0;
    order_kind kind = order_kind::load_model;
    std::string name;
    std::string version;

    bool operator==(const order&) const = default;
};

enum class order_result : std::uint8_t { done, stale_fencing };

/// How a backend server failed, by what it means for the dispatch.
enum class failure : std::uint8_t {
    unreachable, ///< nothing was sent: it can't have begun
    cut,         ///< the connection ended early; the server may still be running it
    silent,      ///< nothing came within the limit
    garbled,     ///< the answer isn't what the protocol promises
    refused,     ///< answered with a status that means it won't or can't serve this now
};

class backend_error : public std::runtime_error {
public:
    backend_error(failure what, const std::string& text) : std::runtime_error(text), m_failure(what) {}
    [[nodiscard]] failure what_failed() const noexcept { return m_failure; }

private:
    failure m_failure;
};

} // namespace borageford::backend
