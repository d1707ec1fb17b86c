// Gives waiting requests of this gateway their slots at backend servers.
#pragma once

#include "policy/slot_scheduler.hpp"
#include "routing/backend_record.hpp"

#include <functional>
#include <string_view>
#include <unordered_map>

namespace borageford::gateway {

class slot_broker {
public:
    using grant_handler = std::function<void(const std::string& server)>;

    explicit slot_broker(policy::slot_scheduler_limits limits) : m_scheduler(limits) {}

    void set_server(const routing::backend_record& record);
    void remove_server(std::string_view id);

    /// Calls the handler once when a slot is free, perhaps before this returns.
    void request(policy::slot_request wanted, grant_handler call);
    void withdraw(policy::slot_ticket ticket);
    void release(std::string_view server);

    [[nodiscard]] policy::slot_ticket next_ticket() noexcept { return ++m_last_ticket; }

private:
    void hand_out();

    policy::slot_scheduler m_scheduler;
    std::unordered_map<policy::slot_ticket, grant_handler> m_handlers;
    policy::slot_ticket m_last_ticket = 0;
};

} // namespace borageford::gateway
