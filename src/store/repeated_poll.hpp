// One request to the store that is sent more than once; the first answer counts.
#pragma once

#include "store/store_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace borageford::store {

/// An unresponsive store never answers the requests that it received during an outage or shortly before it,
/// not even after it has recovered. Therefore the request is sent again while the first call is still open.
/// The first call is kept, because a store that is merely slow may still answer it. A refusal counts as an
/// answer, too.
///
/// Belongs to one coroutine and its executor. The destructor cancels the calls that are still open and
/// closes their connections.
template <typename Answer>
class repeated_poll {
public:
    explicit repeated_poll(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor)), m_first(std::make_shared<outcome_channel>(m_executor, 1)) {}
    ~repeated_poll();
    repeated_poll(const repeated_poll&) = delete;
    repeated_poll& operator=(const repeated_poll&) = delete;
    repeated_poll(repeated_poll&&) = delete;
    repeated_poll& operator=(repeated_poll&&) = delete;

    /// Starts one more call of the same request. The calls that are open go on.
    void start_call(boost::asio::awaitable<Answer> call);

    /// Waits for the first call to end and returns its answer. Throws store_error if that call failed. May
    /// be called only once.
    [[nodiscard]] boost::asio::awaitable<Answer> first_answer();

private:
    using outcome = std::variant<Answer, store_error>;
    /// Has a capacity of one outcome, so later outcomes are dropped.
    using outcome_channel =
        boost::asio::experimental::channel<void(boost::system::error_code, std::shared_ptr<outcome>)>;

    [[nodiscard]] static boost::asio::awaitable<void> run(std::shared_ptr<outcome_channel> first,
                                                          boost::asio::awaitable<Answer> call);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<outcome_channel> m_first;
    /// The cancellation signals of the calls. Each signal lives as long as its call.
    std::vector<std::weak_ptr<boost::asio::cancellation_signal>> m_calls;
};

template <typename Answer>
repeated_poll<Answer>::~repeated_poll() {
    for (const auto& call : m_calls) {
        if (const auto open = call.lock()) {
            open->emit(boost::asio::cancellation_type::terminal);
        }
    }
}

template <typename Answer>
void repeated_poll<Answer>::start_call(boost::asio::awaitable<Answer> call) {
    auto cancellation = std::make_shared<boost::asio::cancellation_signal>();
    const auto slot = cancellation->slot();
    m_calls.push_back(cancellation);
    auto keep_alive = [cancellation = std::move(cancellation)](const std::exception_ptr&) {
    };
    boost::asio::co_spawn(m_executor, run(m_first, std::move(call)),
                          boost::asio::bind_cancellation_slot(slot, std::move(keep_alive)));
}

template <typename Answer>
boost::asio::awaitable<void> repeated_poll<Answer>::run(std::shared_ptr<outcome_channel> first,
                                                        boost::asio::awaitable<Answer> call) {
    std::shared_ptr<outcome> received;
    try {
        received = std::make_shared<outcome>(co_await std::move(call));
    } catch (const store_error& error) {
        received = std::make_shared<outcome>(error);
    } catch (const std::exception& error) {
        received = std::make_shared<outcome>(store_error(effect::none, error.what()));
    }
    first->try_send(boost::system::error_code{}, std::move(received));
}

template <typename Answer>
boost::asio::awaitable<Answer> repeated_poll<Answer>::first_answer() {
    const auto received = co_await m_first->async_receive(boost::asio::use_awaitable);
    if (const auto* error = std::get_if<store_error>(received.get())) {
        throw store_error(*error);
    }
    co_return std::get<Answer>(std::move(*received));
}

} // namespace borageford::store
