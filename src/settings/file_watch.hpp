// Notices that a file was changed by somebody who sends no signal.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

namespace borageford::settings {

/// Knows a state of the file, its time of change and its size, and compares it with the present one when it
/// is asked.
class file_watch {
public:
    /// Knows the present state.
    explicit file_watch(std::filesystem::path file);

    /// Whether the file's state differs from the known one, and is the same as at the last call of this
    /// function, so that nobody is writing the file. Such a state is known afterwards.
    [[nodiscard]] bool has_changed();
    /// Knows the present state from now on: the caller reads the file for another reason.
    void accept();

private:
    struct state {
        std::filesystem::file_time_type changed;
        std::uintmax_t size = 0;
        bool operator==(const state&) const = default;
    };
    /// Nothing if the file can't be read.
    [[nodiscard]] std::optional<state> look() const;

    std::filesystem::path m_file;
    std::optional<state> m_known;
    std::optional<state> m_last; ///< at the last call of has_changed()
};

} // namespace borageford::settings
