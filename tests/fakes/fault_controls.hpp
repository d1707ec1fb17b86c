// The faults that tests switch on in the engine's and the service's stand-ins through POST /control.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::test {

struct fault_controls {
    double slowdown = 1.0;                    ///< times slower than usual
    std::optional<std::uint32_t> stall_after; ///< tokens after which a stream stands still
    bool garble = false;                      ///< answers with bytes that aren't an answer
    bool refuse = false;                      ///< answers 503
    bool cut = false;                         ///< ends the connection in the middle of the answer
    std::string crash_on;                     ///< a request with this word ends the process at once
    std::optional<std::uint32_t> lag_ms;      ///< how late the load is reported

    /// Applies the members that the JSON object names; null clears one. Throws for anything else.
    void apply(std::string_view json);

    /// Ends the process without a trace, as an engine's crash does, when the body holds the word.
    void crash_if_asked(std::string_view body) const;
};

} // namespace borageford::test
