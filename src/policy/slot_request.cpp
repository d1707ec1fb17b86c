// The names of refusal reasons and slot outcomes, as they appear in logs and metrics.
#include "policy/slot_request.hpp"

#include "base/hash.hpp"

namespace borageford::policy {

domain_key domain_key_of(std::string_view name) noexcept {
    return name.empty() ? 0 : static_cast<domain_key>(hash_bytes(name));
}

software_key software_key_of(std::string_view version) noexcept {
    return hash_bytes(version);
}

std::string_view to_string(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::over_allowance:
        return "over_allowance";
    case refusal_reason::over_retry_budget:
        return "over_retry_budget";
    case refusal_reason::held_back:
        return "held_back";
    case refusal_reason::over_server_limit:
        return "over_server_limit";
    case refusal_reason::servers_back_off:
        return "servers_back_off";
    case refusal_reason::software_gone:
        return "software_gone";
    case refusal_reason::over_memory:
        return "over_memory";
    case refusal_reason::return_promised:
        return "return_promised";
    case refusal_reason::no_slot_in_time:
        break;
    }
    return "no_slot_in_time";
}

std::string_view to_string(slot_outcome outcome) noexcept {
    switch (outcome) {
    case slot_outcome::served:
        return "served";
    case slot_outcome::failed:
        return "failed";
    case slot_outcome::broken:
        return "broken";
    case slot_outcome::refused:
        return "refused";
    case slot_outcome::replaced:
        return "replaced";
    case slot_outcome::unreachable:
        return "unreachable";
    case slot_outcome::abandoned:
        break;
    }
    return "abandoned";
}

} // namespace borageford::policy
