// For how long each gateway may send no request to one backend server, because the server has turned it away.
#pragma once

#include "policy/member_key.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace borageford::policy {

/// A server asks each gateway separately; the others may still send it requests.
class server_backoff {
public:
    /// The server wants no request of the member until `until`. A time that was asked for earlier and ends
    /// later stays in force.
    void extend(member_key member, time_point until, time_point now) {
        std::erase_if(m_ends, [now](const auto& entry) { return entry.second <= now; });
        auto& end = m_ends[member];
        end = std::max(end, until);
    }

    /// When the server wants requests of the member again; nothing if it does now.
    [[nodiscard]] std::optional<time_point> end_of(member_key member, time_point now) const {
        const auto found = m_ends.find(member);
        return found != m_ends.end() && found->second > now ? std::optional(found->second) : std::nullopt;
    }
    [[nodiscard]] bool is_active(member_key member, time_point now) const {
        return !m_ends.empty() && end_of(member, now).has_value();
    }

private:
    std::map<member_key, time_point> m_ends;
};

/// Tells a process that grants slots that a server wants no requests of the sender for a while.
struct backoff_notice {
    server_key server = 0;
    time_point until;
};

} // namespace borageford::policy
