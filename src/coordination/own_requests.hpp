// The requests of this process that wait for a slot or occupy one, whoever decides about slots at the moment.
#pragma once

#include "coordination/message.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>

namespace borageford::coordination {

/// How a request is told what was decided. One of the two is called, once.
struct slot_answer {
    std::function<void(const policy::slot_grant&)> on_grant;
    std::function<void(const policy::slot_refusal&)> on_refusal;
};

/// Invariant: no ticket both waits and occupies a slot.
class own_requests {
public:
    void add(const policy::slot_request& wanted, slot_answer to_call);
    /// Whether it was waiting.
    bool withdraw(policy::slot_ticket ticket);
    /// Returns what the request occupied, if it did.
    std::optional<slot_hold> release(policy::slot_ticket ticket);

    /// Calls the request back, which occupies a slot from now on. False when it doesn't wait any more.
    bool take_grant(const policy::slot_grant& grant);
    /// Calls the request back, unless it doesn't wait any more.
    void take_refusal(const policy::slot_refusal& refusal);

    [[nodiscard]] bool occupies_slot(policy::slot_ticket ticket) const { return m_running.contains(ticket); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }

    /// All that somebody has to know who begins to decide: what occupies slots, and what waits.
    [[nodiscard]] batch_items tell_all() const;
    /// Of these tickets, the requests that still wait.
    [[nodiscard]] batch_items ask_again(std::span<const policy::slot_ticket> tickets) const;

private:
    struct waiting_request {
        policy::slot_request request;
        slot_answer to_call;
    };

    std::unordered_map<policy::slot_ticket, waiting_request> m_waiting;
    std::unordered_map<policy::slot_ticket, slot_hold> m_running;
};

} // namespace borageford::coordination
