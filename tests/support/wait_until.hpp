// Waits for a condition. The timeout only ends a test that would hang; no test's result depends on its
// length.
#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace borageford::test {

/// The usual limit: long enough for a loaded machine. A test that passes never waits this long.
inline constexpr std::chrono::seconds hang_timeout{40};

/// Returns once the condition holds. Throws std::runtime_error with the text `what` when it doesn't hold
/// within `guard`. While the condition throws, it counts as not holding; the error contains the last
/// exception's text.
void wait_until(const std::string& what, const std::function<bool()>& condition,
                std::chrono::milliseconds guard = hang_timeout);

} // namespace borageford::test
