// One order a service.
#include "policy/version_hold.hpp"

namespace borageford::policy {

bool version_hold::set_order(std::string_view service, std::string_view to, duration length, time_point now) {
    const auto* known = find_order(service);
    if (known != nullptr && known->to == to) {
        return false;
    }
    m_orders.insert_or_assign(std::string(service), order{std::string(to), now + length});
    return true;
}

void version_hold::withdraw_order(std::string_view service) {
    if (const auto found = m_orders.find(service); found != m_orders.end()) {
        m_orders.erase(found);
    }
}

const version_hold::order* version_hold::find_order(std::string_view service) const {
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? nullptr : &found->second;
}

} // namespace borageford::policy
