// Waits for a condition with a guard against hanging; the guard never decides what a test finds, it only ends
// a test that would hang.
#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace borageford::test {

/// Long enough for a loaded machine; a test that passes never waits for it.
inline constexpr std::chrono::seconds hang_guard{40};

/// Returns once the condition holds; throws std::runtime_error naming it when the guard's time has passed.
/// An exception of the condition counts as "not yet".
void wait_until(const std::string& what, const std::function<bool()>& condition,
                std::chrono::milliseconds guard = hang_guard);

} // namespace borageford::test
