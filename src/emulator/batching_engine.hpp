// A model of an inference engine with continuous batching. It runs in virtual time, which the caller passes
// in, so that the effect of scheduling decisions can be simulated without real engines, sockets or waiting.
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

/// The capacity of an engine, and how long its work takes at speed 1.
struct engine_model {
    unsigned slots = 8;             ///< requests that run at a time
    double step_ms = 4.84;          ///< a step that produces one token for every running request
    double step_ms_per_slot = 0.07; ///< added to such a step for each running request
    double prompt_tokens_per_ms = 75;
    /// Added for each million pairs of tokens of the same prompt, so that a long prompt takes longer per
    /// token.
    double pairs_ms_per_million = 0;
    double setup_ms = 70;          ///< from a request's admission until its prompt can be read
    unsigned tokens_per_event = 4; ///< tokens between two events of a stream
    unsigned prompt_chunk = 4096;  ///< the most prompt tokens that are read in one step
    std::size_t queue = 48;        ///< the most requests that wait for a slot; further ones are refused
    double speed = 1;              ///< a factor: at 2, all work takes half as long
    double cache_tokens = 375000;  ///< size of the prompt cache, in tokens
    /// Tokens of prompts and output that the requests which the engine holds may have; 0: any number. See
    /// batching_engine::is_over_memory().
    double memory_tokens = 0;
};

/// One part of a prompt. A part that several requests share is read only once for as long as it stays in the
/// engine's cache.
struct prompt_part {
    std::uint64_t id = 0; ///< the same in all requests that share the part
    double tokens = 0;
};

/// A request for the engine.
struct engine_request {
    std::uint64_t id = 0;
    std::vector<prompt_part> prompt;
    unsigned output_tokens = 1;
};

/// Something that the engine did for a request: it sent an event of output, or finished.
struct engine_event {
    enum class kind { output, finished };
    std::uint64_t request = 0; ///< engine_request::id
    kind what = kind::output;
    time_point at;
};

/// Serves requests in the order of their arrival, without priorities. Invariant: at most engine_model::slots
/// requests run at a time.
class batching_engine {
public:
    batching_engine(engine_model model, time_point start);

    /// Queues a request. Returns false when the queue is full; the request won't run then.
    [[nodiscard]] bool add(engine_request request, time_point now);
    /// Drops a request, whether it is waiting or running.
    void cancel(std::uint64_t request, time_point now);

    /// Simulates the work up to `now` and returns the events since the last call, in order.
    [[nodiscard]] std::vector<engine_event> advance(time_point now);
    /// When the current step ends; nothing while the engine is idle.
    [[nodiscard]] std::optional<time_point> next_step() const;

    /// Takes effect with the next step.
    void set_speed(double speed) noexcept { m_model.speed = speed; }
    /// Drops all requests and the prompt cache.
    void crash(time_point now);

    /// Tokens of the requests that wait or run: those of their prompts, and the output so far.
    [[nodiscard]] double held_tokens() const;
    /// Whether the requests that it holds have more tokens than its memory takes. A real engine crashes then.
    [[nodiscard]] bool is_over_memory() const;

    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// Prompt tokens that had to be read, of all requests so far.
    [[nodiscard]] double tokens_read() const noexcept { return m_tokens_read; }
    /// Prompt tokens that were found in the cache instead, of all requests so far.
    [[nodiscard]] double tokens_from_cache() const noexcept { return m_tokens_from_cache; }

private:
    /// A request that occupies a slot.
    struct running_request {
        engine_request request;
        double unread = 0;        ///< prompt tokens that are still to be read
        double read = 0;          ///< prompt tokens that this request has read
        time_point setup_end;     ///< when its setup ends
        unsigned tokens_made = 0; ///< output tokens produced
    };

    void admit(time_point now);
    void begin_step(time_point now);
    void end_step(std::vector<engine_event>& events);
    void make_token(running_request& entry, std::vector<engine_event>& events);
    /// The prompt tokens that aren't cached. Adds them to the cache.
    [[nodiscard]] double count_uncached_tokens(const engine_request& request);
    /// Adds a part to the cache, and removes the least recently used parts when the cache is too large.
    void add_to_cache(const prompt_part& part);
    /// Converts the time that work takes at speed 1 to the time that it takes at the engine's speed.
    [[nodiscard]] duration scaled(double milliseconds) const;

    engine_model m_model;
    std::deque<engine_request> m_waiting;
    std::list<running_request> m_running;
    std::optional<time_point> m_step_end;
    time_point m_now;
    std::list<prompt_part> m_cache; ///< the prompt cache; the most recently used part is the last one
    std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> m_cache_index;
    double m_cached_tokens = 0;
    double m_tokens_read = 0;
    double m_tokens_from_cache = 0;
};

} // namespace borageford::emulator
