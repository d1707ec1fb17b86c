// When which part was disturbed, so that a promise is only held against a process that could keep it.
#pragma once

#include "soak/sent_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace borageford::soak {

enum class disturbance_kind : std::uint8_t {
    gateway_down,     ///< killed or frozen
    gateway_stopping, ///< from SIGTERM until it was started again
    store,            ///< the store, or one gateway's way to it
    server_path,      ///< the way to a server
};

class disturbance_log {
public:
    /// Returns a number for end().
    std::size_t begin(disturbance_kind kind, std::optional<std::size_t> gateway, clock::time_point at);
    void end(std::size_t number, clock::time_point at);

    /// Whether one of this kind, at this gateway or at all of them, overlaps a time.
    [[nodiscard]] bool has(disturbance_kind kind, std::optional<std::size_t> gateway, clock::time_point from,
                           clock::time_point to) const;

private:
    struct entry {
        disturbance_kind kind = disturbance_kind::store;
        std::optional<std::size_t> gateway; ///< none: concerns all
        clock::time_point begin;
        clock::time_point end = clock::time_point::max();
    };

    std::vector<entry> m_entries;
};

} // namespace borageford::soak
