// Stores disturbances in a vector; an entry's index is its number.
#include "soak/disturbance_log.hpp"

#include <algorithm>

namespace borageford::soak {

std::size_t disturbance_log::begin(disturbance_kind kind, std::optional<std::size_t> gateway,
                                   clock::time_point at) {
    m_entries.push_back({kind, gateway, at});
    return m_entries.size() - 1;
}

void disturbance_log::end(std::size_t number, clock::time_point at) {
    m_entries.at(number).end = at;
}

bool disturbance_log::has(disturbance_kind kind, std::optional<std::size_t> gateway, clock::time_point from,
                          clock::time_point to) const {
    return std::ranges::any_of(m_entries, [&](const entry& each) {
        const bool concerns = !gateway.has_value() || !each.gateway.has_value() || each.gateway == gateway;
        return each.kind == kind && concerns && each.begin <= to && each.end >= from;
    });
}

bool disturbance_log::has_of_all_gateways(disturbance_kind kind, clock::time_point from,
                                          clock::time_point to) const {
    return std::ranges::any_of(m_entries, [&](const entry& each) {
        return each.kind == kind && !each.gateway.has_value() && each.begin <= to && each.end >= from;
    });
}

} // namespace borageford::soak
