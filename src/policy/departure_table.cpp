// Keeps the first departure that is heard of each server.
#include "policy/departure_table.hpp"

#include <algorithm>
#include <functional>

namespace borageford::policy {

bool departure_table::add(const departure& heard, time_point now) {
    std::erase_if(m_departures, [now](const auto& entry) { return now - entry.second.heard > lifetime; });
    return now - heard.heard <= lifetime && m_departures.try_emplace(heard.server, heard).second;
}

std::vector<departure> departure_table::latest() const {
    std::vector<departure> result;
    result.reserve(m_departures.size());
    for (const auto& [server, each] : m_departures) {
        result.push_back(each);
    }
    std::ranges::sort(result, std::ranges::greater{}, &departure::heard);
    result.resize(std::min(result.size(), max_sent));
    return result;
}

} // namespace borageford::policy
