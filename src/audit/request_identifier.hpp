// Request ids that say when and at which entry a request came in. Without that, an auditor with nothing but
// the id would have to read every batch of every entry since the beginning.
#pragma once

#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace borageford::audit {

/// 48 bits of time in milliseconds since 1970, 16 bits that name the entry, 64 random bits.
[[nodiscard]] request_id
make_request_identifier(std::string_view entry_vm,
                        std::chrono::system_clock::time_point now = std::chrono::system_clock::now());

[[nodiscard]] std::chrono::system_clock::time_point start_time(const request_id& request) noexcept;

/// Whether the entry of this name can have made the id: certainly not when false; one entry in 65,536 others
/// gives true as well.
[[nodiscard]] bool may_come_from(const request_id& request, std::string_view entry_vm) noexcept;

} // namespace borageford::audit
