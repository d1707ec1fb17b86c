// Finds out which software version began a stream that a caller resumes, whichever gateway it began at.
#pragma once

#include "coordination/server_table_access.hpp"
#include "coordination/stream_items.hpp"
#include "policy/member_key.hpp"
#include "policy/software_history.hpp"
#include "policy/stream_origin_table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::coordination {

/// How it is known which software version began a stream.
enum class origin_source : std::uint8_t {
    here,          ///< it began here, or its gateway has told this one
    one_version,   ///< no other version can have begun it
    other_gateway, ///< another gateway was asked
    unknown,
};

[[nodiscard]] std::string_view to_string(origin_source source) noexcept;

/// A stream that a caller resumes.
struct resumed_stream {
    policy::stream_key stream = 0;   ///< 0: the caller doesn't say which one
    policy::service_key service = 0; ///< the service that it goes to now; 0: there are several
};

struct found_origin {
    origin_source source = origin_source::unknown;
    policy::service_key service = 0;
    policy::software_key software = 0;
};

/// While a service has a single software version, nothing is sent. Otherwise each gateway tells the streams
/// that begin there to a few others, the keepers, and a gateway that doesn't know a stream asks them. A
/// keeper that was lost is replaced by another one, which is told all streams that may still be resumed. Used
/// on one executor.
///
/// Invariant: that a service has had a single version is only concluded for a stream if the store has
/// confirmed it to this process or to a keeper after the caller came back. Whoever can't ask the store
/// doesn't conclude it.
class stream_exchange {
public:
    using origin_handler = std::function<void(const found_origin&)>;

    struct environment {
        /// The members that keep the streams of all gateways.
        std::function<std::vector<policy::member_key>()> keepers;
        std::function<void(policy::member_key, stream_items)> send;
        server_table_access servers = {};
    };

    /// `lifetime`: for how long a caller may come back for a stream. `known_since`: see software_history.
    stream_exchange(policy::duration lifetime, policy::time_point known_since, environment surroundings);

    [[nodiscard]] policy::software_history& history() noexcept { return m_history; }
    [[nodiscard]] const policy::stream_origin_table& table() const noexcept { return m_table; }
    /// Whether the store has confirmed recently that this process knows all servers.
    [[nodiscard]] bool has_current_servers() const { return m_environment.servers.is_current(); }

    /// A stream began here, or was resumed here. `must_tell`: its route leads to several services, so others
    /// can't know its origin even if the service has one version only.
    void note(const policy::stream_origin& origin, bool must_tell, policy::time_point now);
    /// Finds the origin of a stream. `on_found` is called once, before this function returns if no other
    /// gateway has to be asked.
    void find(const resumed_stream& wanted, origin_handler on_found, policy::time_point now);

    /// The store has confirmed that this process knows all servers.
    void handle_servers_checked(policy::time_point now);
    /// To be called every 50 ms.
    void tick(policy::time_point now);
    /// Whether take_for() has something to send to this keeper.
    [[nodiscard]] bool has_news_for(policy::member_key keeper, policy::time_point now);
    /// What to send to a keeper with the next heartbeat.
    [[nodiscard]] stream_items take_for(policy::member_key keeper, policy::time_point now);
    /// Takes over what a member sent; returns what to send back. `incarnation` identifies its process.
    [[nodiscard]] stream_items receive(policy::member_key member, std::uint64_t incarnation,
                                       const stream_items& received, policy::time_point now);

private:
    struct noted_here {
        policy::stream_origin origin;
        bool must_tell = false;
    };
    /// How far a keeper has been told the streams of this process.
    struct keeper_state {
        std::uint64_t incarnation = 0;
        std::uint32_t told = 0; ///< number of streams that it has acknowledged
    };
    struct pending_question {
        stream_question question;
        origin_handler on_found;
        policy::time_point since;
        std::set<policy::member_key> asked;
        std::set<policy::member_key> answered;
        unsigned rounds = 0;
    };
    using pending_questions = std::map<std::uint64_t, pending_question>;
    /// A member's question that is answered when the store has confirmed what this process knows.
    struct owed_answer {
        policy::member_key member = 0;
        stream_question question;
        policy::time_point since;
    };

    [[nodiscard]] std::optional<found_origin> find_told(policy::stream_key stream,
                                                        policy::time_point now) const;
    [[nodiscard]] std::optional<found_origin>
    find_only_version(policy::service_key service, policy::time_point since, policy::time_point now) const;
    [[nodiscard]] bool has_one_version(policy::service_key service, policy::time_point now) const;
    void ask(const stream_question& question, origin_handler on_found, policy::time_point now);
    void send_question(pending_question& pending);
    void apply_answer(policy::member_key member, const stream_answer& answer, policy::time_point now);
    void finish(pending_questions::iterator pending, const found_origin& found);
    void finish_all(const std::map<std::uint64_t, found_origin>& ended);
    void ask_again(policy::time_point now);
    [[nodiscard]] std::optional<stream_answer>
    find_answer(const stream_question& question, policy::time_point since, policy::time_point now) const;
    [[nodiscard]] bool owes(policy::member_key member, const stream_question& question) const;
    void send_owed_answers(policy::time_point now);
    void drop_old(policy::time_point now);
    void settle(policy::service_key service, policy::time_point now);
    [[nodiscard]] bool should_tell(const noted_here& entry, policy::time_point now) const;
    void apply_acknowledgement(keeper_state& keeper, std::uint64_t incarnation,
                               std::uint32_t acknowledged) const;
    keeper_state& state_of(policy::member_key keeper);
    void skip_untold(keeper_state& state, policy::time_point now);

    policy::duration m_lifetime;
    environment m_environment;
    policy::software_history m_history;
    policy::stream_origin_table m_table;
    /// The streams of this process that may still be resumed, the oldest first.
    std::deque<noted_here> m_log;
    std::uint32_t m_first = 0; ///< number of the first entry of m_log
    unsigned m_told_revision = 0;
    std::map<policy::member_key, keeper_state> m_keepers;
    pending_questions m_questions;
    std::uint64_t m_last_question = 0;
    std::unordered_map<policy::service_key, policy::time_point>
        m_settling; ///< when the keepers were last asked
    std::vector<owed_answer> m_owed;
};

} // namespace borageford::coordination
