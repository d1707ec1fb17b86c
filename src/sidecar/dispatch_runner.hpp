// Runs started dispatches at the backend server and follows each answer to its end.
#pragma once

#include "backend/answer_checker.hpp"
#include "backend/backend_server.hpp"
#include "sidecar/backend_monitor.hpp"
#include "sidecar/dispatch_record.hpp"
#include "sidecar/sidecar_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace borageford::sidecar {

/// Used on its strand, where all callbacks run.
class dispatch_runner {
public:
    using record_pointer = std::shared_ptr<dispatch_record>;

    struct callbacks {
        /// The head or more bytes are in the answer; `bytes` of them are new.
        std::function<void(dispatch_record&, std::size_t bytes)> progressed;
        /// Events of a streamed answer have come.
        std::function<void(dispatch_record&, std::size_t tokens)> tokens_came;
        /// The answer has ended; the record's ending isn't set yet.
        std::function<void(const record_pointer&, answer_ending)> ended;
        /// The backend server can't have got the call.
        std::function<void(const record_pointer&)> never_began;
        /// The backend server died or forgot the dispatch; waits until that is written down.
        std::function<boost::asio::awaitable<void>(const record_pointer&)> lost;
        /// A former incarnation's dispatch that the backend server doesn't know either.
        std::function<void(const record_pointer&)> unknown;
    };

    dispatch_runner(boost::asio::strand<boost::asio::any_io_executor> strand, backend::backend_server& server,
                    backend_monitor& monitor, const sidecar_settings& settings, callbacks calls);

    /// Runs the record's call, or resumes an adopted dispatch.
    void start(const record_pointer& dispatch);

    /// Ends a running dispatch and tells the backend server.
    void cancel(const record_pointer& dispatch);

private:
    struct attempt;

    boost::asio::awaitable<void> run(record_pointer dispatch);
    boost::asio::awaitable<void> open(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> read(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> follow(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> recover(const record_pointer& dispatch, attempt& state);
    boost::asio::awaitable<void> tell_cancel(dispatch_id dispatch);
    [[nodiscard]] backend::stream_limits limits_for(const dispatch_record& dispatch) const;
    [[nodiscard]] static error_kind kind_of(backend::failure what);

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    backend::backend_server& m_server;
    backend_monitor& m_monitor;
    const sidecar_settings& m_settings;
    callbacks m_calls;
};

} // namespace borageford::sidecar
