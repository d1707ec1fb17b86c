// Every change asks the scheduler what can be granted now.
#include "gateway/slot_broker.hpp"

#include <utility>

namespace borageford::gateway {

void slot_broker::set_server(const routing::backend_record& record) {
    if (record.state == routing::backend_state::ready) {
        m_scheduler.set_server(record.id, record.service, record.slots);
        hand_out();
    } else {
        m_scheduler.remove_server(record.id);
    }
}

void slot_broker::remove_server(std::string_view id) {
    m_scheduler.remove_server(id);
}

void slot_broker::request(policy::slot_request wanted, grant_handler call) {
    m_handlers.emplace(wanted.ticket, std::move(call));
    m_scheduler.add(std::move(wanted));
    hand_out();
}

void slot_broker::withdraw(policy::slot_ticket ticket) {
    m_scheduler.withdraw(ticket);
    m_handlers.erase(ticket);
}

void slot_broker::release(std::string_view server) {
    m_scheduler.release(server);
    hand_out();
}

void slot_broker::hand_out() {
    for (const auto& grant : m_scheduler.grant()) {
        auto handler = m_handlers.extract(grant.ticket);
        if (!handler.empty()) {
            handler.mapped()(grant.server);
        }
    }
}

} // namespace borageford::gateway
