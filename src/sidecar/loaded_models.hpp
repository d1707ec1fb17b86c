// The models that the engine has loaded, as it reported them last.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace borageford::sidecar {

/// The engine's loaded models. Before the engine has reported them, no model counts as loaded, so that no
/// request is accepted: the engine would answer it with an error if the model is still to be loaded.
class loaded_models {
public:
    /// To be called when the engine went down: its models are unknown until it reports them again.
    void forget() noexcept { m_state = state::not_queried; }
    /// The engine can't report its models. From now on every model counts as loaded.
    void set_unreadable() noexcept { m_state = state::unreadable; }
    /// Sets the names of the models that the engine has reported.
    void set(std::vector<std::string> names) {
        m_names = std::move(names);
        m_state = state::known;
    }

    /// Whether the engine has been asked for its models since it came up. May be called from any thread.
    [[nodiscard]] bool has_been_queried() const noexcept { return m_state != state::not_queried; }
    /// Whether the model counts as loaded.
    [[nodiscard]] bool has(const std::string& name) const {
        if (m_state == state::known) {
            return std::ranges::find(m_names, name) != m_names.end();
        }
        return m_state == state::unreadable;
    }

private:
    enum class state : std::uint8_t { not_queried, unreadable, known };

    std::atomic<state> m_state = state::not_queried;
    std::vector<std::string> m_names;
};

} // namespace borageford::sidecar
