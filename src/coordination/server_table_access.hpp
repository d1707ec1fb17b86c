// How the parts of the broker learn whether this process knows all backend servers.
#pragma once

#include "policy/time.hpp"

#include <functional>

namespace borageford::coordination {

/// What the owner of the broker knows of the table of backend servers, which the store keeps.
struct server_table_access {
    /// Returns whether the store has confirmed recently that all servers are known here.
    std::function<bool()> is_current = [] {
        return true;
    };
    /// Returns whether it has confirmed that to a question that was asked at this time or later. An earlier
    /// confirmation says nothing of now: this process may have stood still or been cut off since.
    std::function<bool(policy::time_point)> is_checked_since = [](policy::time_point) {
        return true;
    };
    /// Asks the store now. If it answers, stream_exchange::handle_servers_checked() is called.
    std::function<void()> check = [] {
    };
};

} // namespace borageford::coordination
