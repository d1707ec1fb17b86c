// Notices that a file was changed by somebody who sends no signal.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

namespace borageford::settings {

/// Compares the file's time of change and size each time it is asked.
class file_watch {
public:
    /// The present content counts as known.
    explicit file_watch(std::filesystem::path file);

    /// Whether the file has another content than the known one, and the same as at the last call: a file that
    /// is being written isn't read halfway. The content counts as known afterwards.
    [[nodiscard]] bool has_changed();
    /// The present content counts as known.
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
