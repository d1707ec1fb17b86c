// Which versions of a service's software take no requests.
#pragma once

#include "policy/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace borageford::policy {

/// A new version may be bad: it fails or delays a part of its requests, from the start or only later. Given
/// work like any other server, its servers would get half of the service's requests as soon as they register.
/// So from an operator's order to roll it out on, a new version gets nothing, as long as another one serves.
class version_hold {
public:
    struct order {
        std::string to;
        time_point until;
    };

    /// The service is to move to a version within a time. Returns whether that is news: the same order again
    /// begins no new time.
    bool set_order(std::string_view service, std::string_view to, duration length, time_point now);
    void withdraw_order(std::string_view service);
    /// Of a service that is to move; null for others.
    [[nodiscard]] const order* find_order(std::string_view service) const;
    [[nodiscard]] bool is_empty() const noexcept { return m_orders.empty(); }

    /// Whether the ordered version is to get no requests. `has_others`: servers of other versions take work.
    /// Without any the new version is let in only when the order's time is over.
    [[nodiscard]] static bool holds_back(const order& moving, bool has_others, time_point now) {
        return has_others || now < moving.until;
    }

private:
    std::map<std::string, order, std::less<>> m_orders; ///< by service
};

} // namespace borageford::policy
