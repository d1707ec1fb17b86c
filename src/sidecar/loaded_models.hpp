// Which models the engine has loaded, as far as it could be asked.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace borageford::sidecar {

/// Until the engine has been asked, no request is let in: it would be answered with an error for a model that
/// is about to be loaded.
class loaded_models {
public:
    /// The engine has been started again, or was never asked.
    void forget() noexcept { m_state = state::not_asked; }
    /// It can't say: everything that is configured counts as loaded.
    void set_unreadable() noexcept { m_state = state::unreadable; }
    void set(std::vector<std::string> names) {
        m_names = std::move(names);
        m_state = state::known;
    }

    /// Safe from any thread.
    [[nodiscard]] bool is_asked() const noexcept { return m_state != state::not_asked; }
    [[nodiscard]] bool has(const std::string& name) const {
        if (m_state == state::known) {
            return std::ranges::find(m_names, name) != m_names.end();
        }
        return m_state == state::unreadable;
    }

private:
    enum class state : std::uint8_t { not_asked, unreadable, known };

    std::atomic<state> m_state = state::not_asked;
    std::vector<std::string> m_names;
};

} // namespace borageford::sidecar
