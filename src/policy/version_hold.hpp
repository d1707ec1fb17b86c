// Which versions of a service's software take no requests.
#pragma once

#include "policy/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::policy {

/// A new version may be bad: it fails or delays a part of its requests, from the start or only later. Given
/// work like any other server, its servers would get half of the service's requests as soon as they register.
/// So from an operator's order to roll it out on, a new version gets nothing, as long as another one serves.
class version_hold {
public:
    /// The service is to move to a version within a time. The same order again begins no new time.
    void set_order(std::string_view service, std::string_view to, duration length, time_point now);
    void withdraw_order(std::string_view service);

    /// Whether servers of this version are to get no requests. `has_others`: there are servers of other
    /// versions that take work. Without any the new version is let in only when the order's time is over.
    [[nodiscard]] bool holds_back(std::string_view service, std::string_view version, bool has_others,
                                  time_point now) const;

    /// Services that are to move.
    [[nodiscard]] std::vector<std::string> services() const;

private:
    struct order {
        std::string to;
        time_point until;
    };

    std::map<std::string, order, std::less<>> m_orders; ///< by service
};

} // namespace borageford::policy
