// Builds a gateway's backend_roster, backend_directory and rollout_manager without network, so that a test
// can feed them rows of the table of servers directly.
#pragma once

#include "gateway/backend_directory.hpp"
#include "gateway/backend_roster.hpp"

#include <boost/asio/io_context.hpp>

#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace borageford::test {

/// The rows of servers have the form "SERVICE@START#VERSION", with the prefix "leaving " for a draining
/// server.
/// "@START" and "#VERSION" may be left out; the row then states no start or no version. An empty row and
/// "garbage" are unreadable.
class known_servers {
public:
    explicit known_servers(std::chrono::milliseconds registration_life = std::chrono::hours(1))
        : m_slots(m_context.get_executor(), m_timers, {}, {}),
          m_rollouts(m_backends, m_slots),
          m_crashes(m_context.get_executor(), m_timers, m_slots),
          m_roster(m_context.get_executor(), m_timers, m_deployment, m_backends, m_slots, m_crashes,
                   m_rollouts, registration_life) {
        m_rollouts.set_observers({[this] { return m_decides; },
                                  [this](const routing::rollout_status& status) {
                                      m_recorded.push_back(status);
                                  }});
        m_deployment.backend_table = "servers";
        m_deployment.decode_backend = decode;
    }

    boost::asio::io_context& context() { return m_context; }
    gateway::backend_directory& backends() { return m_backends; }
    gateway::backend_roster& roster() { return m_roster; }
    gateway::rollout_manager& rollouts() { return m_rollouts; }
    policy::software_history& history() { return m_slots.streams().history(); }
    /// Sets whether this gateway is the one that decides on roll-outs.
    void set_deciding(bool decides) { m_decides = decides; }
    /// The statuses of roll-outs that the gateway would have written into the store.
    [[nodiscard]] const std::vector<routing::rollout_status>& recorded() const { return m_recorded; }

    /// Delivers a changed row from the store, in the current era.
    void write(const std::string& id, const std::string& value, std::uint64_t version) {
        m_roster.apply_change({{"servers/" + id, value, version}, false});
    }
    void register_server(const std::string& id, std::uint64_t version) { write(id, "engines", version); }
    void unregister_server(const std::string& id, std::uint64_t version) {
        m_roster.apply_change({{"servers/" + id, "", version}, true});
    }

    /// A row of the table of servers, without the table's prefix in its key.
    struct entry {
        std::string id;
        std::string value;
        std::uint64_t version = 0;
    };
    /// Delivers all rows at once, as when a gateway reads the whole table, for example after a store restore.
    void read_all(store::position at, const std::vector<entry>& entries) {
        store::row_page page;
        page.position = at;
        for (const auto& [id, value, version] : entries) {
            page.rows.push_back({"servers/" + id, value, version});
        }
        m_roster.apply_page(page);
    }

    /// The key of the server with this id if its state is ready; otherwise 0.
    [[nodiscard]] policy::server_key usable_key(const std::string& id) const {
        const auto server = m_backends.find_id(id);
        const bool is_usable = server != nullptr && server->record().state == routing::backend_state::ready;
        return is_usable ? server->record().key() : 0;
    }
    /// True when the roster has a server with this id in any state.
    [[nodiscard]] bool has_server(const std::string& id) const { return m_roster.all().contains(id); }

private:
    static routing::backend_record decode(std::string_view id, std::string_view value) {
        if (value == "garbage" || value.empty()) {
            throw std::invalid_argument("garbage");
        }
        routing::backend_record record;
        record.id = id;
        if (value.starts_with("leaving ")) {
            record.state = routing::backend_state::draining;
            value.remove_prefix(value.find(' ') + 1);
        }
        if (const auto software = value.find('#'); software != std::string_view::npos) {
            record.version = value.substr(software + 1);
            value.remove_suffix(value.size() - software);
        }
        const auto mark = value.find('@');
        record.service = value.substr(0, mark);
        if (mark != std::string_view::npos) {
            std::from_chars(value.data() + mark + 1, value.data() + value.size(), record.start);
        }
        return record;
    }

    boost::asio::io_context m_context;
    timer_service m_timers;
    gateway::deployment m_deployment;
    gateway::backend_directory m_backends;
    coordination::slot_broker m_slots;
    gateway::rollout_manager m_rollouts;
    gateway::crash_watch m_crashes;
    gateway::backend_roster m_roster;
    bool m_decides = false;
    std::vector<routing::rollout_status> m_recorded;
};

} // namespace borageford::test
