// One gateway's knowledge of backend servers, without network or time.
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

/// Entries are "SERVICE@START#VERSION", with "leaving " before it of a server that drains; a part that is
/// left out isn't told.
class known_servers {
public:
    explicit known_servers(std::chrono::milliseconds registration_life = std::chrono::hours(1))
        : m_slots(m_context.get_executor(), m_timers, {}, {}),
          m_rollouts(m_backends, m_slots),
          m_roster(m_context.get_executor(), m_timers, m_deployment, m_backends, m_slots, m_rollouts,
                   registration_life) {
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
    /// Whether this gateway coordinates.
    void decide(bool decides) { m_decides = decides; }
    /// States of roll-outs that were to be written into the store.
    [[nodiscard]] const std::vector<routing::rollout_status>& recorded() const { return m_recorded; }

    /// The store tells of a change, in the present era.
    void write(const std::string& id, const std::string& value, std::uint64_t version) {
        m_roster.apply_change({{"servers/" + id, value, version}, false});
    }
    void register_server(const std::string& id, std::uint64_t version) { write(id, "engines", version); }
    void unregister_server(const std::string& id, std::uint64_t version) {
        m_roster.apply_change({{"servers/" + id, "", version}, true});
    }

    struct entry {
        std::string id;
        std::string value;
        std::uint64_t version = 0;
    };
    /// All rows are read, as after a return of the store.
    void read_all(store::position at, const std::vector<entry>& entries) {
        store::row_page page;
        page.position = at;
        for (const auto& [id, value, version] : entries) {
            page.rows.push_back({"servers/" + id, value, version});
        }
        m_roster.apply_page(page);
    }

    /// The key of the server that takes work under this id; 0: none does.
    [[nodiscard]] policy::server_key usable(const std::string& id) const {
        const auto server = m_backends.find_id(id);
        const bool is_usable = server != nullptr && server->record().state == routing::backend_state::ready;
        return is_usable ? server->record().key() : 0;
    }
    [[nodiscard]] bool knows(const std::string& id) const { return m_roster.all().contains(id); }

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
    gateway::backend_roster m_roster;
    bool m_decides = false;
    std::vector<routing::rollout_status> m_recorded;
};

} // namespace borageford::test
