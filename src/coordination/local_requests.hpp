// The requests of this process that wait for a slot or occupy one, whichever process grants the slots at the
// moment.
#pragma once

#include "coordination/message.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>

namespace borageford::coordination {

/// The callbacks of a slot request. Exactly one of them is called, once, unless the request is withdrawn.
struct slot_callbacks {
    std::function<void(const policy::slot_grant&)> on_grant;
    std::function<void(const policy::slot_refusal&)> on_refusal;
};

/// Invariant: no request both waits for a slot and occupies one.
class local_requests {
public:
    /// Adds a request that waits for a slot.
    void add(const policy::slot_request& wanted, slot_callbacks callbacks);
    /// Removes a waiting request without calling it back. Returns whether the request was waiting.
    bool withdraw(policy::slot_ticket ticket);
    /// Ends a request that occupies a slot and returns the slot; nothing when the request occupied none.
    std::optional<slot_hold> release(policy::slot_ticket ticket);

    /// Calls `on_grant` of a waiting request, which occupies the slot from now on. Returns false when the
    /// request is no longer waiting.
    bool apply_grant(const policy::slot_grant& grant);
    /// Calls `on_refusal` of a request and forgets the request; does nothing when it is no longer waiting.
    void apply_refusal(const policy::slot_refusal& refusal);

    /// A waiting request; nullptr if it no longer waits.
    [[nodiscard]] const policy::slot_request* find(policy::slot_ticket ticket) const;
    [[nodiscard]] bool occupies_slot(policy::slot_ticket ticket) const { return m_running.contains(ticket); }
    /// Number of requests that wait for a slot.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// Number of requests that occupy a slot.
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }

    /// Returns everything that a new coordinator needs: the occupied slots and the waiting requests.
    [[nodiscard]] batch_items list_all() const;
    /// Returns slot requests for those of the given requests that still wait.
    [[nodiscard]] batch_items find_waiting(std::span<const policy::slot_ticket> tickets) const;

private:
    struct waiting_request {
        policy::slot_request request;
        slot_callbacks callbacks;
    };

    std::unordered_map<policy::slot_ticket, waiting_request> m_waiting;
    std::unordered_map<policy::slot_ticket, slot_hold> m_running;
};

} // namespace borageford::coordination
