// Whether one request is quarantined, because it or a part of its prompt has crashed servers.
#pragma once

#include "gateway/admitted_request.hpp"
#include "policy/crash_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace borageford::gateway {

/// Looks the suspects of a request up in the ledger of this process, before each slot request and again
/// before the request is sent.
class quarantine_check {
public:
    using clock = std::chrono::steady_clock;

    explicit quarantine_check(const policy::crash_ledger& crashes) : m_crashes(crashes) {}

    /// A quarantine that holds for the request.
    struct finding {
        policy::suspect_kind kind = policy::suspect_kind::request;
        std::chrono::milliseconds left{};
    };
    /// To be called before a slot is requested: returns the longest quarantine for which the request is
    /// refused. A request that has one quarantined part whose turn it is becomes a probe instead, if the
    /// process that grants slots accepts it.
    [[nodiscard]] std::optional<finding> begin_slot_request(const admitted_request& request);
    /// Whether the request may not be sent, unless as the probe that was accepted.
    [[nodiscard]] bool holds(const admitted_request& request) const { return !find(request).empty(); }
    /// The quarantined part for which the request is a probe, as a key of policy::crash_suspect; 0: none.
    [[nodiscard]] std::uint64_t probed_part() const noexcept { return m_probed_part; }
    /// What a refusal by the process that grants slots is about.
    [[nodiscard]] policy::suspect_kind refused_kind() const noexcept {
        return m_probed_part == 0 ? policy::suspect_kind::request : policy::suspect_kind::prompt_part;
    }

private:
    struct quarantined_suspect {
        policy::crash_suspect suspect;
        policy::duration left{};
    };
    [[nodiscard]] std::vector<quarantined_suspect> find(const admitted_request& request) const;

    const policy::crash_ledger& m_crashes;
    std::uint64_t m_probed_part = 0;
};

/// The reason of a refusal, for the log.
[[nodiscard]] std::string_view describe_quarantine(policy::suspect_kind kind) noexcept;

} // namespace borageford::gateway
