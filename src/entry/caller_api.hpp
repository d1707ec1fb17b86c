// The HTTP interface of an entry for callers: completions, services, the list of models and health checks.
#pragma once

#include "base/request_error.hpp"
#include "entry/caller_answer.hpp"
#include "entry/entry_context.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>

namespace borageford::entry {

/// Handles the HTTP requests of callers.
class caller_api {
public:
    explicit caller_api(entry_context& context);

    /// Handles one request, from parsing it to writing the end of its answer.
    boost::asio::awaitable<void> handle(const http::request& received, http::response_writer& writer);

    /// Refuses all new requests from now on with error_kind::draining (not run). Requests in progress
    /// continue.
    void drain() noexcept { m_draining.store(true); }
    [[nodiscard]] bool is_draining() const noexcept { return m_draining.load(); }
    /// True when calls can be served: the entry isn't draining and has a configuration.
    [[nodiscard]] bool is_ready() const;

private:
    boost::asio::awaitable<void> handle_call(const http::request& received, http::response_writer& writer);
    boost::asio::awaitable<void> run(call& request, http::response_writer& writer);
    boost::asio::awaitable<void> write_error(const call& request, const caller_answer& answer,
                                             const request_error& error, http::response_writer& writer);
    [[nodiscard]] http::response list_models(const http::request& received) const;
    void record(const call& request, audit::event what, const request_error* error);

    entry_context& m_context;
    std::atomic<bool> m_draining = false;
};

} // namespace borageford::entry
