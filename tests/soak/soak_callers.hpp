// The callers of a soak. Each caller sends a request, checks the answer, pauses and sends the next request.
// Callers reuse their connections until the gateway's process ends.
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

/// May only be used on the thread of the emulated parts, through soak_deployment::on_emulator().
class soak_callers {
public:
    soak_callers(soak_deployment& deployment, std::uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;

    /// Starts `count` callers.
    void start(std::size_t count);
    /// Sends no further requests; requests in progress are continued.
    void stop() noexcept { m_is_stopping = true; }
    /// Requests in progress.
    [[nodiscard]] std::size_t requests_in_progress() const noexcept { return m_requests_in_progress; }

    /// Sends one request on a route to a gateway. It is recorded and checked like the callers' own requests.
    void send_probe(std::size_t gateway, const std::string& route);
    /// True when the last probe of this route at this gateway was answered successfully.
    [[nodiscard]] bool has_served_probe(std::size_t gateway, const std::string& route) const;

    /// Sends requests that crash servers from now on, at this rate: alternately one that is always the same,
    /// and others with a certain part in their prompts. They are recorded and checked like the others.
    void start_fatal(double per_second);

    /// All requests that have ended.
    [[nodiscard]] const std::vector<sent_request>& requests() const noexcept { return m_requests; }
    /// Violations that check_answer() found when answers were received.
    [[nodiscard]] const broken_promises& broken() const noexcept { return m_broken; }

    /// What became of the requests that resumed a stream.
    struct resume_counts {
        std::size_t sent = 0;
        std::size_t gone_on = 0; ///< brought events
        std::size_t refused = 0; ///< answered as not run
    };
    [[nodiscard]] const resume_counts& resumes() const noexcept { return m_resumes; }

private:
    struct caller;

    void send_fatal();
    void send_next(const std::shared_ptr<caller>& sender);
    void send(const std::shared_ptr<caller>& sender, sent_request request);
    void finish(const std::shared_ptr<caller>& sender, caller_end end, const experiment::call_result& result);
    void check(const sent_request& request);
    [[nodiscard]] std::size_t draw_gateway();
    [[nodiscard]] sent_request draw_request();
    [[nodiscard]] sent_request make_request(const std::string& route, std::size_t gateway);

    soak_deployment& m_deployment;
    std::mt19937_64 m_random;
    std::shared_ptr<experiment::connection_pool> m_pool = std::make_shared<experiment::connection_pool>();
    std::vector<std::shared_ptr<caller>> m_callers;
    std::vector<sent_request> m_requests;
    broken_promises m_broken;
    std::map<std::pair<std::size_t, std::string>, bool> m_probes;
    std::uint64_t m_last_number = 0;
    std::size_t m_requests_in_progress = 0;
    resume_counts m_resumes;
    bool m_is_stopping = false;
    std::size_t m_fatal_requests = 0;
    timer_subscription m_fatal_timer;
};

} // namespace borageford::soak
