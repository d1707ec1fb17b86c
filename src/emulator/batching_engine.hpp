// A model of an engine that batches continuously, in time that is told to it: what a scheduler's decisions
// come to can be played through without engines, sockets or waiting.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageford::emulator {

using policy::duration;
using policy::time_point;

/// What an engine takes for its work at speed 1.
struct engine_model {
    unsigned slots = 8;
    double step_ms = 4.84;          ///< one token for every running request
    double step_ms_per_slot = 0.07; ///< more for each of them
    double prompt_tokens_per_ms = 75;
    double pairs_ms_per_million = 0; ///< more for each million pairs of prompt tokens: long prompts cost more
    double setup_ms = 70;            ///< from a request's admission to the reading of its prompt
    unsigned tokens_per_event = 4;
    unsigned prompt_chunk = 4096; ///< prompt tokens that are read between two steps at most
    std::size_t queue = 48;       ///< requests that wait inside; more are refused
    double speed = 1;
    double cache_tokens = 375000; ///< prompt parts that are kept, in tokens
};

/// One part of a prompt: parts that requests share are read once while they are kept.
struct prompt_part {
    std::uint64_t id = 0;
    double tokens = 0;
};

struct engine_request {
    std::uint64_t id = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
};

struct engine_event {
    enum class kind { output, finished };
    std::uint64_t request = 0;
    kind what = kind::output;
    time_point at;
};

/// First come, first served, no priorities. Invariant: at most `slots` requests run.
class batching_engine {
public:
    batching_engine(engine_model model, time_point start);

    /// False when its queue is full: the request doesn't run.
    [[nodiscard]] bool add(engine_request request, time_point now);
    void cancel(std::uint64_t request, time_point now);

    /// Works up to this time and returns what happened, in order.
    [[nodiscard]] std::vector<engine_event> advance(time_point now);
    /// When the next step ends; nothing while it has nothing to do.
    [[nodiscard]] std::optional<time_point> next_step() const;

    void set_speed(double speed) noexcept { m_model.speed = speed; }
    /// Everything that it works on is lost.
    void crash(time_point now);

    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// Prompt tokens read so far, and how many of all were found kept.
    [[nodiscard]] double tokens_read() const noexcept { return m_tokens_read; }
    [[nodiscard]] double tokens_kept() const noexcept { return m_tokens_kept; }

private:
    struct running_request {
        engine_request request;
        double unread = 0;   ///< prompt tokens still to be read
        double read = 0;     ///< prompt tokens that are there
        time_point readable; ///< its setup is over
        unsigned made = 0;   ///< output tokens
    };

    void admit(time_point now);
    void begin_step(time_point now);
    void end_step(std::vector<engine_event>& events);
    void make_token(running_request& entry, std::vector<engine_event>& events);
    [[nodiscard]] double count_unread(const engine_request& request);
    void keep(const prompt_part& part);
    [[nodiscard]] duration scaled(double milliseconds) const;

    engine_model m_model;
    std::deque<engine_request> m_waiting;
    std::list<running_request> m_running;
    std::optional<time_point> m_step_end;
    time_point m_now;
    std::list<prompt_part> m_kept; ///< the last one was used last
    std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> m_kept_by_id;
    double m_kept_tokens = 0;
    double m_tokens_read = 0;
    double m_tokens_kept = 0;
};

} // namespace borageford::emulator
