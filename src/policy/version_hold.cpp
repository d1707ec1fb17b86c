// One order a service.
#include "policy/version_hold.hpp"

#include <ranges>

namespace borageford::policy {

void version_hold::set_order(std::string_view service, std::string_view to, duration length, time_point now) {
    const auto found = m_orders.find(service);
    const bool is_known = found != m_orders.end() && found->second.to == to;
    if (!is_known) {
        m_orders.insert_or_assign(std::string(service), order{std::string(to), now + length});
    }
}

void version_hold::withdraw_order(std::string_view service) {
    if (const auto found = m_orders.find(service); found != m_orders.end()) {
        m_orders.erase(found);
    }
}

bool version_hold::holds_back(std::string_view service, std::string_view version, bool has_others,
                              time_point now) const {
    const auto found = m_orders.find(service);
    if (found == m_orders.end() || found->second.to != version) {
        return false;
    }
    return has_others || now < found->second.until;
}

std::vector<std::string> version_hold::services() const {
    const auto names = std::views::keys(m_orders);
    return {names.begin(), names.end()};
}

} // namespace borageford::policy
