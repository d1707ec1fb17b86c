// Keeps the directory of backend servers and the slots to be had in step with what the store, or another
// gateway, says of them.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/deployment.hpp"
#include "gateway/removal_log.hpp"
#include "gateway/rollout_keeper.hpp"
#include "policy/registration_watch.hpp"
#include "policy/server_starts.hpp"
#include "store/row.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::gateway {

class backend_roster {
public:
    /// One registration, as it is passed between gateways.
    struct registration {
        std::string value;        ///< empty for an entry that couldn't be read
        store::position position; ///< of its last change that is known
    };
    using registrations = std::map<std::string, registration, std::less<>>;

    /// `registration_life`: the store removes a registration that its server hasn't renewed for so long.
    backend_roster(boost::asio::any_io_executor executor, timer_service& timers, const deployment& speech,
                   backend_directory& backends, coordination::slot_broker& slots, rollout_keeper& rollouts,
                   std::chrono::milliseconds registration_life = std::chrono::milliseconds(4500));

    void start();

    // From the store.
    /// Of the present era or of a newer one, which it begins.
    void take_all(const store::row_page& page);
    /// Of the present era.
    void take_change(const store::row_change& change);
    /// The store couldn't be reached; it had answered last at `answered`.
    void take_outage(std::chrono::steady_clock::time_point answered = std::chrono::steady_clock::now());
    /// The store answers another gateway, and has without a break for so long.
    void note_other_in_touch(std::chrono::steady_clock::duration unbroken);

    /// What has changed after a position, for a gateway that holds just that one.
    struct update {
        store::position position; ///< held after it
        bool is_whole = false;    ///< everything that is known: what isn't listed is gone
        registrations present;
        std::vector<std::string> gone; ///< only in one that isn't whole
        /// Present ones that vanished around an outage: gone if they don't come back soon, which changes no
        /// version.
        std::vector<std::string> missed{};
    };
    /// A whole update where the removals since then are no longer known, or another era has begun.
    [[nodiscard]] update changes_after(store::position held) const;
    /// From another gateway; passed over unless it is newer.
    void take_update(const update& newer);

    /// The last change that is known here.
    [[nodiscard]] store::position position() const noexcept { return m_position; }
    [[nodiscard]] const registrations& all() const noexcept { return m_all; }

private:
    /// A registration of an older copy, of a server that is known to have left.
    struct doubted_registration {
        registration entry;
        std::chrono::steady_clock::time_point until; ///< one that still stands then was renewed
    };
    /// What the first look at a new era showed.
    struct era_report {
        store::position former;
        std::string_view source;
        std::size_t missing = 0;
        std::size_t outdated = 0;
    };

    void begin_era(store::position first_look, std::string_view source);
    void report_era();
    [[nodiscard]] bool begins_era(store::position seen) const;
    [[nodiscard]] bool may_be_outdated(store::position known, store::position at) const;
    [[nodiscard]] bool was_removed_after(const std::string& id, store::position at) const;
    void doubt(const std::string& id, registration entry);
    void note_outdated();
    void check_doubted();

    void take_present(const std::string& id, const registration& told);
    void accept(const std::string& id, const registration& told);
    void miss_all_but(const std::set<std::string, std::less<>>& present);
    [[nodiscard]] std::optional<routing::backend_record> read(const std::string& id, std::string_view value,
                                                              bool is_told) const;
    void refuse_entry(const std::string& id, registration& known);
    void put_in_use(routing::backend_record record, store::position at);
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
    rollout_keeper& m_rollouts;
    policy::registration_watch m_watch;
    policy::server_starts m_starts;
    registrations m_all;
    store::position m_position;
    store::position m_first_look;           ///< at the present era: what is after it was written in this era
    std::optional<era_report> m_era_report; ///< while that look is taken in
    removal_log m_removals;
    std::chrono::milliseconds m_registration_life;
    std::map<std::string, doubted_registration, std::less<>> m_doubted; ///< none of them in m_all
    timer_subscription m_timer;
};

} // namespace borageford::gateway
