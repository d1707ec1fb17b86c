// The settings that all long-running processes have in common: their VM and location, threads, logging,
// heartbeats and access to the platform.
#pragma once

#include "base/log.hpp"
#include "settings/ini_document.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::process {

/// The settings in the sections [process] and [platform]. Each member is named after its key, with `platform`
/// for `address` and `platform_timeout` for `timeout`.
struct common_settings {
    std::string vm; ///< name of the VM that the process runs on
    std::string failure_domain;
    std::string region;
    unsigned threads = 2;
    log::format log_format = log::format::text;
    log::level log_level = log::level::info;
    boost::asio::ip::tcp::endpoint platform;
    /// Time between two polls of the platform for the configuration, the list of VMs and the crash marks.
    std::chrono::milliseconds poll_period{5000};
    /// Time without messages after which a heartbeat is sent on a connection between processes.
    std::chrono::milliseconds heartbeat_period{1000};
    /// A connection between processes is closed when nothing is received for this long; longer than
    /// heartbeat_period.
    std::chrono::milliseconds silence_limit{3000};
    /// Longest time for one call to the table or the object store.
    std::chrono::milliseconds platform_timeout{2000};
    /// Time between two batches of audit records.
    std::chrono::milliseconds audit_period{30000};
};

/// Reads the sections [process] and [platform]. Errors in them are appended to `problems`.
[[nodiscard]] common_settings read_common_settings(const settings::ini_document& document,
                                                   std::vector<settings::problem>& problems);

/// The section of this kind that has no name, such as [process]; null when the file has none.
[[nodiscard]] const settings::ini_section* find_section(const settings::ini_document& document,
                                                        std::string_view kind);

/// Appends an error to `problems` for every section whose title isn't listed in `known`.
void report_unknown_sections(const settings::ini_document& document, std::span<const std::string_view> known,
                             std::vector<settings::problem>& problems);

} // namespace borageford::process
