// How many tokens of an engine's memory a request will take, and how many tokens the engines of each service
// may be given.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <unordered_map>

namespace borageford::policy {

/// What is stated and learned about the memory of the engines of each service. The engines of a service are
/// alike as far as the configuration says.
class memory_model {
public:
    /// Sets the tokens that fit into each engine of the service; 0: unknown, and without limit.
    void set_capacity(service_key service, double tokens);
    [[nodiscard]] bool is_limited(service_key service) const;

    /// Tokens that a request of this cost will take, prompt and output. At most what an engine may be given,
    /// so that an estimate excludes no request: the largest ones get an engine for themselves.
    [[nodiscard]] double expect(service_key service, const token_cost& cost) const;
    /// Records that a served request produced `output` tokens, where its cost said `expected`.
    void learn_output(service_key service, double expected, double output);

    /// Tokens that this process may give to one engine with that many slots, if it grants this share of all
    /// slots; 0: any number.
    [[nodiscard]] double limit(service_key service, double share, double places) const;

    /// An engine crashed, or turned requests away, while it held `held` tokens. Returns whether less is given
    /// to the engines of the service from now on.
    bool learn_overflow(service_key service, double held, time_point now);
    /// Gives the engines more again after a time without overflows. Returns whether any limit has changed.
    bool recover(time_point now);

private:
    struct service_memory {
        double capacity = 0;     ///< tokens
        double usable_share = 1; ///< the part of the capacity that the engines seem to have
        double output_ratio = 1; ///< nearly all answers are at most this many times as long as expected
        time_point changed;      ///< when usable_share was last changed
    };
    [[nodiscard]] const service_memory* find(service_key service) const;

    std::unordered_map<service_key, service_memory> m_services;
};

} // namespace borageford::policy
