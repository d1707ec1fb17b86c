// The text of the events that emulated engines send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace borageford::emulator {

/// The event with this number, which counts from 1. It names the software version that wrote it, if there is
/// one, so that whoever reads a stream sees whether several versions did. `padding` is a number of bytes that
/// say nothing.
[[nodiscard]] std::string describe_event(std::uint64_t number, std::string_view software,
                                         std::size_t padding = 0);

/// The software versions that wrote these events.
[[nodiscard]] std::set<std::string, std::less<>> software_in(std::string_view events);

} // namespace borageford::emulator
