// The faults that tests switch on in fake_engine and fake_service through POST /control.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::test {

/// The faults in force; the defaults mean none.
struct fault_controls {
    double slowdown = 1.0;                    ///< factor by which the server is slower than usual
    std::optional<std::uint32_t> stall_after; ///< output tokens after which a stream stops without ending
    bool garble = false;                      ///< answers with bytes that aren't a valid answer
    bool refuse = false;                      ///< answers every request with status 503
    bool cut = false;                         ///< closes the connection before the answer's end
    std::string crash_on; ///< a request whose body contains this text ends the process; empty: none
    std::optional<std::uint32_t>
        lag_ms; ///< lag of load reports and cache events; none: the one of the command line

    /// Sets the members that the JSON object names; null resets an optional member or `crash_on`. Throws for
    /// an unknown name or malformed JSON.
    void apply(std::string_view json);

    /// Ends the process at once, without closing anything, when the body contains `crash_on`.
    void crash_if_asked(std::string_view body) const;
};

} // namespace borageford::test
