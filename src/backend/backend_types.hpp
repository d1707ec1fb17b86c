// The calls to backend servers, their answers and the reports of model engines, as plain structs.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::backend {

/// An HTTP call to a backend server.
struct call {
    std::string method = "POST";
    std::string path = "/";
    std::string content_type;
    std::string body;
    bool streamed = false; ///< the answer is server-sent events
};

/// The head of a backend server's answer.
struct answer_head {
    unsigned status = 200;
    std::string content_type;
};

/// The token counts that an engine reports for one answer.
struct usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< the prompt tokens that were in the cache and needed no prefill
    std::uint32_t output_tokens = 0;
};

/// The load that an engine reports about itself, which may be out of date.
struct engine_load {
    std::uint32_t running = 0; ///< number of running requests
    std::uint32_t waiting = 0; ///< number of queued requests
    std::uint64_t prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

/// A change in an engine's cache of prompt prefixes.
struct cache_event {
    std::uint64_t sequence = 0;
    bool is_stored = true;             ///< true: the blocks were stored; false: they were evicted
    std::vector<std::uint64_t> hashes; ///< hashes of the prompt blocks
};

/// Cache events read from an engine. They may arrive late, and a jump in the sequence numbers means that
/// events were lost.
struct cache_event_batch {
    std::uint64_t next = 0; ///< the number from which to continue reading
    std::vector<cache_event> events;
};

/// A model that an engine has loaded.
struct loaded_model {
    std::string name;
    std::string version;

    bool operator==(const loaded_model&) const = default;
};

/// The models and adapters that an engine has loaded, and its role.
struct engine_state {
    std::vector<loaded_model> models;
    std::vector<std::string> adapters;
    std::string role;
    std::uint64_t fencing = 0; ///< the highest fencing number it has received; 0 if it doesn't check them
};

/// What an order tells an engine to do.
enum class order_kind : std::uint8_t { load_model, unload_model, load_adapter, unload_adapter, set_role };

[[nodiscard]] std::string_view to_string(order_kind kind) noexcept;

/// A command that changes what an engine has loaded, or its role. Engines reject an order whose fencing
/// number is lower than one they have received before, so that a replaced sender can't undo newer orders.
struct order {
    std::uint64_t fencing = 0;
    order_kind kind = order_kind::load_model;
    std::string name;    ///< name of the model, adapter or role
    std::string version; ///< version of the model or adapter

    bool operator==(const order&) const = default;
};

/// Whether an engine has carried out an order, or rejected it because of a newer fencing number.
enum class order_result : std::uint8_t { done, stale_fencing };

/// How a call to a backend server failed. The kinds differ in whether the server can have run the dispatch.
enum class failure : std::uint8_t {
    unreachable,       ///< nothing was sent, so the dispatch can't have started
    connection_broken, ///< the connection broke; the server may still be running the dispatch
    timed_out,         ///< the server sent nothing within the timeout
    malformed,         ///< the answer violates the protocol
    refused,           ///< the server answered with a status that means that it didn't accept the call
};

/// Thrown when a call to a backend server fails.
class backend_error : public std::runtime_error {
public:
    backend_error(failure what, const std::string& text) : std::runtime_error(text), m_failure(what) {}
    /// How the call failed.
    [[nodiscard]] failure failure_kind() const noexcept { return m_failure; }

private:
    failure m_failure;
};

} // namespace borageford::backend
