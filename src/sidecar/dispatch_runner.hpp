// Runs started dispatches at the backend server and reads each answer to its end.
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

/// Runs dispatches. Used on its strand only; all callbacks are called on the strand.
class dispatch_runner {
public:
    using record_pointer = std::shared_ptr<dispatch_record>;

    struct callbacks {
        /// Whether there is memory for so many further bytes of the record's answer, which then count as
        /// held.
        std::function<bool(const dispatch_record&, std::size_t bytes)> take_memory;
        /// The head or body of the record's answer has grown.
        std::function<void(dispatch_record&)> progressed;
        /// Whether the answer's readers should take what they were sent before more of it is read.
        std::function<bool(const dispatch_record&)> must_wait;
        /// The given number of output tokens of a streamed answer has been received.
        std::function<void(dispatch_record&, std::size_t tokens)> tokens_received;
        /// The answer has ended as described by the answer_ending. The callback must store the ending in the
        /// record.
        std::function<void(const record_pointer&, answer_ending)> ended;
        /// The backend server can't have received the call, because nothing was sent to it.
        std::function<void(const record_pointer&)> never_began;
        /// The backend server died, or lost the dispatch. The runner waits for the returned operation before
        /// it reports the end of the dispatch.
        std::function<boost::asio::awaitable<void>(const record_pointer&)> lost;
        /// The backend server doesn't know a dispatch that was adopted from a previous process of this
        /// sidecar.
        std::function<void(const record_pointer&)> unknown;
    };

    dispatch_runner(boost::asio::strand<boost::asio::any_io_executor> strand, backend::backend_server& server,
                    backend_monitor& monitor, const sidecar_settings& settings, callbacks calls);

    /// Starts to run the record's call or, if the dispatch is adopted, to resume its answer.
    void start(const record_pointer& dispatch);

    /// Cancels a running dispatch, here and at the backend server.
    void cancel(const record_pointer& dispatch);

private:
    struct attempt;

    boost::asio::awaitable<void> run(record_pointer dispatch);
    boost::asio::awaitable<void> open(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> read(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> check_end(const dispatch_record& dispatch);
    boost::asio::awaitable<void> wait_for_readers(const dispatch_record& dispatch);
    boost::asio::awaitable<void> follow(dispatch_record& dispatch, attempt& state);
    boost::asio::awaitable<void> recover(const record_pointer& dispatch, attempt& state);
    boost::asio::awaitable<void> send_cancel(dispatch_id dispatch);
    [[nodiscard]] backend::stream_limits limits_for(const dispatch_record& dispatch) const;
    [[nodiscard]] static error_kind kind_of(backend::failure what);

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    backend::backend_server& m_server;
    backend_monitor& m_monitor;
    const sidecar_settings& m_settings;
    callbacks m_calls;
};

} // namespace borageford::sidecar
