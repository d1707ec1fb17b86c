// Request ids that contain the time at which the request was received and a hash of the entry's name. Without
// them, finding a request by its id would require reading every batch that any entry has ever written.
#pragma once

#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace borageford::audit {

/// Makes an id of 128 bits: 48 bits of time in milliseconds since 1970, 16 bits of a hash of the entry's VM
/// name, 64 random bits.
[[nodiscard]] request_id
make_request_identifier(std::string_view entry_vm,
                        std::chrono::system_clock::time_point now = std::chrono::system_clock::now());

/// The time at which the request was received, according to the entry's clock.
[[nodiscard]] std::chrono::system_clock::time_point start_time(const request_id& request) noexcept;

/// Whether the entry on this VM may have made the id. If false, it certainly didn't; if true, there is a
/// chance of 1 in 65,536 that another entry did.
[[nodiscard]] bool may_come_from(const request_id& request, std::string_view entry_vm) noexcept;

} // namespace borageford::audit
