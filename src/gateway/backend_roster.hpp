// Keeps the directory of backend servers and the slots to be had in step with what the store, or another
// gateway, says of them.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/deployment.hpp"
#include "policy/registration_watch.hpp"
#include "store/row.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::gateway {

class backend_roster {
public:
    /// One registration, as it is passed between gateways.
    struct registration {
        std::string value;
        std::uint64_t version = 0;
    };
    using registrations = std::map<std::string, registration, std::less<>>;

    backend_roster(boost::asio::any_io_executor executor, timer_service& timers, const deployment& speech,
                   backend_directory& backends, coordination::slot_broker& slots);

    void start();

    // From the store.
    void take_all(const store::row_page& page);
    void take_change(const store::row_change& change);
    void take_outage();

    /// From another gateway that knows a newer version: what it doesn't list is gone.
    void take_newer(const registrations& all, std::uint64_t version);

    /// The store's version of the last change that is known here.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] const registrations& all() const noexcept { return m_all; }

private:
    void take_present(const std::string& id, const std::string& value, std::uint64_t version);
    void take_missing(const std::string& id);
    void remove(const std::string& id, std::string_view reason);
    void check_missed();
    [[nodiscard]] std::string id_of(const store::row& row) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const deployment& m_speech;
    backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    policy::registration_watch m_watch;
    registrations m_all;
    std::uint64_t m_version = 0;
    timer_subscription m_timer;
};

} // namespace borageford::gateway
