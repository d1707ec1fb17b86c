// The callers of a soak: each sends a request, looks at what comes, and sends the next. They keep connections
// and use them until the process behind them is gone.
#pragma once

#include "base/timer_service.hpp"
#include "experiment/call_text.hpp"
#include "experiment/load_call.hpp"
#include "soak/promise_checks.hpp"
#include "soak/sent_request.hpp"
#include "soak/soak_deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace borageford::soak {

/// Belongs to the thread of the deployment's emulated parts.
class soak_callers {
public:
    soak_callers(soak_deployment& deployment, std::uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;

    void start(std::size_t count);
    /// No further requests; those under way go on.
    void stop() noexcept { m_is_stopping = true; }
    [[nodiscard]] std::size_t under_way() const noexcept { return m_under_way; }

    /// Sends one request of a route to a gateway; it is recorded like the others.
    void send_probe(std::size_t gateway, const std::string& route);
    /// The last answer to a probe of this route at this gateway was a success.
    [[nodiscard]] bool has_served_probe(std::size_t gateway, const std::string& route) const;

    /// All that have ended.
    [[nodiscard]] const std::vector<sent_request>& requests() const noexcept { return m_requests; }
    /// Answers that broke a promise when they came.
    [[nodiscard]] const broken_promises& broken() const noexcept { return m_broken; }

private:
    struct caller;

    void send_next(const std::shared_ptr<caller>& by);
    void send(const std::shared_ptr<caller>& by, sent_request request);
    void finish(const std::shared_ptr<caller>& by, caller_end end, const experiment::call_result& result);
    void check(const sent_request& request);
    [[nodiscard]] sent_request draw_request();
    [[nodiscard]] sent_request make_request(const std::string& route, std::size_t gateway);

    soak_deployment& m_deployment;
    std::mt19937_64 m_random;
    std::shared_ptr<experiment::kept_connections> m_kept = std::make_shared<experiment::kept_connections>();
    std::vector<std::shared_ptr<caller>> m_callers;
    std::vector<sent_request> m_requests;
    broken_promises m_broken;
    std::map<std::pair<std::size_t, std::string>, bool> m_probes;
    std::uint64_t m_last_number = 0;
    std::size_t m_under_way = 0;
    bool m_is_stopping = false;
};

} // namespace borageford::soak
