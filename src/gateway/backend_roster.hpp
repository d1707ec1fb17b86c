// Keeps the directory of backend servers and the slots to be had in step with what the store, or another
// gateway, says of them.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/deployment.hpp"
#include "policy/registration_watch.hpp"
#include "policy/server_starts.hpp"
#include "store/row.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::gateway {

class backend_roster {
public:
    /// One registration, as it is passed between gateways.
    struct registration {
        std::string value; ///< empty for an entry that couldn't be read
        std::uint64_t version = 0;
    };
    using registrations = std::map<std::string, registration, std::less<>>;

    backend_roster(boost::asio::any_io_executor executor, timer_service& timers, const deployment& speech,
                   backend_directory& backends, coordination::slot_broker& slots);

    void start();

    // From the store.
    void take_all(const store::row_page& page);
    void take_change(const store::row_change& change);
    /// The store couldn't be reached; it had answered last at `answered`.
    void take_outage(std::chrono::steady_clock::time_point answered = std::chrono::steady_clock::now());
    /// The store answers another gateway, and has without a break for so long.
    void note_other_in_touch(std::chrono::steady_clock::duration unbroken);

    /// What has changed after a version, for a gateway that holds just that version.
    struct update {
        std::uint64_t version = 0; ///< held after it
        bool is_whole = false;     ///< everything that is known: what isn't listed is gone
        registrations present;
        std::vector<std::string> gone; ///< only in one that isn't whole
        /// Present ones that vanished around an outage: gone if they don't come back soon, which changes no
        /// version.
        std::vector<std::string> missed{};
    };
    /// A whole update where the removals since then are no longer known.
    [[nodiscard]] update changes_after(std::uint64_t version) const;
    /// From another gateway; passed over unless it is newer.
    void take_update(const update& newer);

    /// The store's version of the last change that is known here.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] const registrations& all() const noexcept { return m_all; }

private:
    void take_present(const std::string& id, const std::string& value, std::uint64_t version);
    [[nodiscard]] std::optional<routing::backend_record> read(const std::string& id, std::string_view value,
                                                              bool is_told) const;
    void refuse_entry(const std::string& id, registration& known);
    void put_in_use(routing::backend_record record, std::uint64_t version);
    void take_out_of_use(const std::string& id);
    void take_restart(const routing::backend_record& record);
    void take_missing(const std::string& id);
    [[nodiscard]] bool has_left_for_good(std::string_view id) const;
    void remove(const std::string& id, std::string_view reason);
    void tick();
    void check_missed();
    [[nodiscard]] std::string id_of(const store::row& row) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const deployment& m_speech;
    backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    policy::registration_watch m_watch;
    policy::server_starts m_starts;
    registrations m_all;
    std::uint64_t m_version = 0;
    /// Removed registrations by the version at which that was learned, the newest of them only.
    std::multimap<std::uint64_t, std::string> m_removed;
    std::uint64_t m_removals_known_after = 0; ///< older removals aren't in `m_removed`
    timer_subscription m_timer;
};

} // namespace borageford::gateway
