// An immutable value that many threads read on a request's path while another replaces it (read, copy,
// update).
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace borageford {

/// Readers take the current value and keep it as long as they like; a writer swaps in a new one.
/// Invariant: never empty.
template <typename Value>
class snapshot {
public:
    explicit snapshot(Value initial) : m_current(std::make_shared<const Value>(std::move(initial))) {}

    [[nodiscard]] std::shared_ptr<const Value> read() const noexcept { return m_current.load(); }

    void replace(Value next) { m_current.store(std::make_shared<const Value>(std::move(next))); }

private:
    std::atomic<std::shared_ptr<const Value>> m_current;
};

} // namespace borageford
