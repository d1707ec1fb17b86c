// The error of a call to the platform's store (see store/table.hpp) or to its object store, with what it
// means for a write.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace borageford::store {

/// Whether a failed write may have taken effect.
enum class effect : std::uint8_t {
    none,    ///< the write was refused or never sent, so nothing changed
    unknown, ///< the write was sent but not answered; the caller has to read the data to find out
};

/// Thrown when a call fails: an outage of the called store, a rate limit, a timeout, a lost or an unexpected
/// answer.
class store_error : public std::runtime_error {
public:
    store_error(effect possible_effect, const std::string& text)
        : std::runtime_error(text), m_effect(possible_effect) {}
    [[nodiscard]] effect possible_effect() const noexcept { return m_effect; }

private:
    effect m_effect;
};

} // namespace borageford::store
