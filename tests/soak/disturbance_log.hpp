// Records which part of the deployment was disturbed and when. The checks in promise_checks.hpp use it to
// excuse a gateway that couldn't keep a promise because of an injected fault.
#pragma once

#include "soak/sent_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace borageford::soak {

/// What a disturbance affects.
enum class disturbance_kind : std::uint8_t {
    gateway_down,     ///< a gateway was killed or frozen
    gateway_stopping, ///< from SIGTERM to a gateway until its process has ended
    store,            ///< the store, or a gateway's connections to it
    server_path,      ///< the connections to a server
};

/// The disturbances of one soak, in the order in which they began.
class disturbance_log {
public:
    /// Records the begin of a disturbance of one gateway, or of all gateways without `gateway`. Returns its
    /// number for end(); a disturbance that is never ended lasts forever.
    std::size_t begin(disturbance_kind kind, std::optional<std::size_t> gateway, clock::time_point at);
    void end(std::size_t number, clock::time_point at);

    /// True when a disturbance of this kind overlaps the time from `from` to `to` and affects this gateway.
    /// Without `gateway`, a disturbance of any gateway counts.
    [[nodiscard]] bool has(disturbance_kind kind, std::optional<std::size_t> gateway, clock::time_point from,
                           clock::time_point to) const;
    /// True when a disturbance of this kind that affects all gateways overlaps the time from `from` to `to`.
    [[nodiscard]] bool has_of_all_gateways(disturbance_kind kind, clock::time_point from,
                                           clock::time_point to) const;

private:
    struct entry {
        disturbance_kind kind = disturbance_kind::store;
        std::optional<std::size_t> gateway; ///< none: affects all gateways
        clock::time_point begin;
        clock::time_point end = clock::time_point::max();
    };

    std::vector<entry> m_entries;
};

} // namespace borageford::soak
