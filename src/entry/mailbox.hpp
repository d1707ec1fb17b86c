// An unbounded event queue that passes events from other threads to the one coroutine that handles a request.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace borageford::entry {

/// A queue of events with any number of senders and one receiver.
/// Invariant: the queue is accessed only on the executor, which must be the receiver's strand.
template <typename Event>
class mailbox : public std::enable_shared_from_this<mailbox<Event>> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit mailbox(const boost::asio::any_io_executor& executor)
        : m_executor(executor), m_timer(executor) {}

    /// Appends an event. Thread-safe; the receiver gets the events of one sender in the order they were
    /// pushed.
    void push(Event event) {
        boost::asio::post(m_executor, [self = this->shared_from_this(), held = std::move(event)]() mutable {
            self->m_events.push_back(std::move(held));
            self->m_timer.cancel();
        });
    }

    /// Waits for the next event and removes it from the queue. Returns nothing when no event has arrived by
    /// `until`.
    boost::asio::awaitable<std::optional<Event>> receive(time_point until) {
        while (m_events.empty() && std::chrono::steady_clock::now() < until) {
            boost::system::error_code ignored;
            m_timer.expires_at(until);
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        if (m_events.empty()) {
            co_return std::nullopt;
        }
        std::optional<Event> event(std::move(m_events.front()));
        m_events.pop_front();
        co_return event;
    }

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    std::deque<Event> m_events;
};

} // namespace borageford::entry
