// Which software versions may have begun the streams that callers may still resume.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace borageford::policy {

/// Software versions by service.
using software_versions = std::map<service_key, std::set<software_key>>;

/// With a single version, the origin of any stream is known without being told. So the history remembers a
/// version for `lifetime` after its last server has left, which is as long as a caller may come back for a
/// stream that the version began. What was there before this process knew of it can't be excluded, except if
/// another process says so (settle()).
class software_history {
public:
    /// `known_since`: from when on no server escaped this process; time_point::min() if there was none
    /// before.
    software_history(duration lifetime, time_point known_since)
        : m_lifetime(lifetime), m_known_since(known_since) {}

    /// A server may get requests. Its software may change without the key, if it reports no start.
    void add(server_key server, service_key service, software_key software, time_point now);
    /// A server gets no further requests.
    void remove(server_key server, time_point now);
    /// The service has had this version until now, if none of the servers that are known has it.
    void note_former(service_key service, software_key software, time_point now);
    /// This process may have missed servers until now.
    void interrupt(time_point now);
    /// From when on no server has escaped this process; time_point::min() if there was none before.
    [[nodiscard]] time_point known_since() const noexcept { return m_known_since; }
    /// Another process, which has known all servers for long enough, says that the service has had this
    /// version only. Servers of another one may have replaced all of it since.
    void settle(service_key service, software_key software, time_point now);

    /// The only version that may have begun a stream of the service; nothing if there may be several, or
    /// none.
    [[nodiscard]] std::optional<software_key> only_version(service_key service, time_point now) const;
    /// The versions that may have begun streams which callers may still resume, as far as this process knows.
    [[nodiscard]] software_versions list(time_point now) const;
    /// Whether this process knows all versions that may have begun a stream of the service.
    [[nodiscard]] bool is_settled(service_key service, time_point now) const;
    /// Changes whenever another version of some service shows up, or this process may have missed one.
    [[nodiscard]] unsigned revision() const noexcept { return m_revision; }

private:
    struct server {
        service_key service = 0;
        software_key software = 0;
    };
    struct version {
        unsigned servers = 0;
        time_point left; ///< when its last server left; only valid while `servers` is 0
    };
    using versions = std::map<software_key, version>;

    [[nodiscard]] bool counts(const version& known, time_point now) const {
        return known.servers > 0 || now - known.left <= m_lifetime;
    }

    duration m_lifetime;
    time_point m_known_since;
    std::unordered_map<server_key, server> m_servers;
    std::unordered_map<service_key, versions> m_services;
    std::set<service_key> m_settled; ///< by what another process has said
    unsigned m_revision = 0;
};

} // namespace borageford::policy
