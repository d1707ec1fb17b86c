// Implements return_monitor as one counter with a label for each outcome.
#include "gateway/return_monitor.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace borageford::gateway {

void return_monitor::count(const policy::return_counts& added) {
    struct outcome {
        const char* name;
        std::uint64_t count;
    };
    const std::array outcomes{outcome{"promised", added.promised}, outcome{"kept", added.kept},
                              outcome{"broken", added.broken},     outcome{"early", added.early},
                              outcome{"expired", added.expired},   outcome{"no_room", added.no_room}};
    for (const auto& each : outcomes) {
        if (each.count > 0) {
            m_registry
                .get_counter("borageford_gateway_returns_total",
                             "Refused callers that were told when to come back, and what became of them.",
                             {{"outcome", each.name}})
                .add(each.count);
        }
    }
}

} // namespace borageford::gateway
