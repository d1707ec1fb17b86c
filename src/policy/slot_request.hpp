// What a decision about a slot knows of a request, a server, and how a slot was left.
#pragma once

#include "policy/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace borageford::policy {

/// Hashes of names: decisions compare them, and they travel in a fixed size. 0 stands for none.
using server_key = std::uint64_t;
using service_key = std::uint64_t;
using workspace_key = std::uint64_t;
using domain_key = std::uint32_t; ///< of a failure domain

/// The key of a failure domain by its name; 0 for none.
[[nodiscard]] domain_key domain_key_of(std::string_view name) noexcept;

/// Names a request that waits for a slot; unique where it is decided about.
using slot_ticket = std::uint64_t;

/// Tiers of workspaces, and of routes, that are told apart.
inline constexpr int most_tiers = 8;

/// A workspace's own tier goes first; among workspaces of one tier the route's decides. 0 is the highest.
[[nodiscard]] constexpr int combine_tiers(int of_workspace, int of_route) noexcept {
    return std::clamp(of_workspace, 0, most_tiers - 1) * most_tiers + std::clamp(of_route, 0, most_tiers - 1);
}

/// The route's part of a combined tier: the rank of a request among those of its own workspace.
[[nodiscard]] constexpr int rank_in_workspace(int tier) noexcept {
    return tier % most_tiers;
}

/// What a request is expected to cost a model engine; both 0 for a call to a plain service.
struct token_cost {
    double prompt = 0;
    double output = 0;
};

struct slot_request {
    static constexpr std::size_t most_avoided = 2;

    slot_ticket ticket = 0;
    service_key service = 0;
    workspace_key workspace = 0;
    domain_key domain = 0; ///< of the process that has the request
    int tier = 0;          ///< 0 is the highest
    time_point arrived;
    time_point deadline; ///< its caller's time is over
    duration target{};   ///< to the first event, or to the whole answer
    token_cost cost;
    std::uint64_t fingerprint = 0; ///< of caller, target and body; 0: none
    double units = 0;              ///< of its workspace's allowance
    bool is_charged = false;       ///< its units were taken before
    unsigned sends = 0;            ///< servers that it was sent to before
    unsigned returns = 0;          ///< times that its caller was refused before and came back
    /// Servers that have failed this request.
    std::array<server_key, most_avoided> avoided{};
};

struct slot_grant {
    slot_ticket ticket = 0;
    server_key server = 0;
};

/// Why a request gets no slot.
enum class refusal_reason : std::uint8_t {
    overloaded,        ///< it can't be served in time
    over_allowance,    ///< its workspace has used up its allowance
    over_retry_budget, ///< too many requests are being sent again
    held_back          ///< servers crashed while they ran it
};

[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

struct slot_refusal {
    slot_ticket ticket = 0;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{};
    /// What decided, for the log of the process that decided: seconds of waiting (overloaded), units
    /// (over_allowance), repeats in a window (over_retry_budget). Doesn't travel.
    double needed = 0;
    double available = 0;
};

/// How a request left its slot.
enum class slot_outcome : std::uint8_t {
    served,
    failed,      ///< an answer came that is no success
    broken,      ///< its connection ended, or what came was no answer
    refused,     ///< the server didn't run it
    unreachable, ///< no connection
    abandoned,   ///< its caller left, or its time was over
    replaced,    ///< another server answers at its address: it is gone, or has started anew
};

/// Whether a request that left its slot so is certain not to have run there.
[[nodiscard]] constexpr bool has_not_run(slot_outcome outcome) noexcept {
    return outcome == slot_outcome::refused || outcome == slot_outcome::replaced ||
           outcome == slot_outcome::unreachable;
}

[[nodiscard]] std::string_view to_string(slot_outcome outcome) noexcept;

struct slot_release {
    slot_ticket ticket = 0;
    server_key server = 0;
    slot_outcome outcome = slot_outcome::served;
    duration busy{};        ///< from its start to its end
    duration first_event{}; ///< from its start to its first event; 0: none came
    double output = 0;      ///< tokens that it made there, as far as its events tell
};

} // namespace borageford::policy
