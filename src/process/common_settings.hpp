// The settings that every long-running process has: who and where it is, its threads, logs and platform.
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

struct common_settings {
    std::string vm;
    std::string failure_domain;
    std::string region;
    unsigned threads = 2;
    log::format log_format = log::format::text;
    log::level log_level = log::level::info;
    boost::asio::ip::tcp::endpoint platform;
    std::chrono::milliseconds poll_period{5000};      ///< head of the configuration, list of VMs, marks
    std::chrono::milliseconds heartbeat_period{1000}; ///< on every connection between our processes
    std::chrono::milliseconds silence_limit{3000};    ///< a connection silent for longer is abandoned
    std::chrono::milliseconds platform_timeout{2000}; ///< one call to the table or the object store
    std::chrono::milliseconds audit_period{30000};    ///< between batches of audit records
};

/// Reads the sections [process] and [platform]. Complaints go to `problems`.
[[nodiscard]] common_settings read_common_settings(const settings::ini_document& document,
                                                   std::vector<settings::problem>& problems);

/// The section of this kind without a name; null when the file has none.
[[nodiscard]] const settings::ini_section* find_section(const settings::ini_document& document,
                                                        std::string_view kind);

/// Complains about every section whose kind isn't listed.
void refuse_unknown_sections(const settings::ini_document& document, std::span<const std::string_view> known,
                             std::vector<settings::problem>& problems);

} // namespace borageford::process
