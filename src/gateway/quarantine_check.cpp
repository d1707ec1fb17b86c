// Implementation of quarantine_check.
#include "gateway/quarantine_check.hpp"

#include <algorithm>

namespace borageford::gateway {

std::vector<quarantine_check::quarantined_suspect>
quarantine_check::find(const admitted_request& request) const {
    std::vector<quarantined_suspect> found;
    if (m_crashes.is_empty()) {
        return found;
    }
    const auto now = clock::now();
    for (const auto& suspect : request.suspects()) {
        const bool is_probed =
            suspect.kind == policy::suspect_kind::prompt_part && suspect.key == m_probed_part;
        const auto left = m_crashes.quarantine_left(suspect, now);
        if (left.has_value() && !is_probed) {
            found.push_back({suspect, *left});
        }
    }
    return found;
}

std::optional<quarantine_check::finding>
quarantine_check::begin_slot_request(const admitted_request& request) {
    m_probed_part = 0;
    const auto found = find(request);
    if (found.empty()) {
        return std::nullopt;
    }
    if (found.size() == 1 && m_crashes.is_probe_due(found.front().suspect, clock::now())) {
        m_probed_part = found.front().suspect.key;
        return std::nullopt;
    }
    const auto& longest = *std::ranges::max_element(found, {}, &quarantined_suspect::left);
    return finding{longest.suspect.kind, std::chrono::duration_cast<std::chrono::milliseconds>(longest.left)};
}

std::string_view describe_quarantine(policy::suspect_kind kind) noexcept {
    return kind == policy::suspect_kind::request
               ? "servers crashed while they ran it"
               : "servers crashed while they ran requests with a part of its prompt";
}

} // namespace borageford::gateway
