// What can go wrong with a call to the platform, by what it means for the caller.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace borageford::store {

/// Whether a failed write can have taken effect.
enum class effect : std::uint8_t {
    none,    ///< refused or never sent: nothing changed
    unknown, ///< sent, and no answer came: read back to learn
};

/// An outage, a refusal for its rate, a timeout or a lost answer.
class store_error : public std::runtime_error {
public:
    store_error(effect possible_effect, const std::string& text)
        : std::runtime_error(text), m_effect(possible_effect) {}
    [[nodiscard]] effect possible_effect() const noexcept { return m_effect; }

private:
    effect m_effect;
};

} // namespace borageford::store
