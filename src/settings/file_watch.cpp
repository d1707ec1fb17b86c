// Implementation of file_watch.
#include "settings/file_watch.hpp"

#include <system_error>
#include <utility>

namespace borageford::settings {

file_watch::file_watch(std::filesystem::path file) : m_file(std::move(file)) {
    accept();
}

bool file_watch::has_changed() {
    const auto now = look();
    const bool is_settled = now == std::exchange(m_last, now);
    if (!now.has_value() || !is_settled || now == m_known) {
        return false;
    }
    m_known = now;
    return true;
}

void file_watch::accept() {
    m_known = look();
}

std::optional<file_watch::state> file_watch::look() const {
    std::error_code error;
    state found;
    found.changed = std::filesystem::last_write_time(m_file, error);
    if (error) {
        return std::nullopt;
    }
    found.size = std::filesystem::file_size(m_file, error);
    if (error) {
        return std::nullopt;
    }
    return found;
}

} // namespace borageford::settings
