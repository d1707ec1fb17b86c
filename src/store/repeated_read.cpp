// Detached questions that share one place for the first answer.
#include "store/repeated_read.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>
#include <variant>

namespace borageford::store {

namespace asio = boost::asio;

namespace {

using answer = std::variant<row_page, store_error>;
using answer_channel = asio::experimental::channel<void(boost::system::error_code, std::shared_ptr<answer>)>;

/// What all questions of one read share; the last of them to end destroys it.
struct shared_question {
    shared_question(const asio::any_io_executor& executor, table& read_from, std::string rows)
        : asked(read_from), prefix(std::move(rows)), first_answer(executor, 1) {}

    table& asked;
    std::string prefix;
    answer_channel first_answer; ///< has room for one: later answers don't fit and are dropped
};

asio::awaitable<void> ask(std::shared_ptr<shared_question> question) {
    std::shared_ptr<answer> received;
    try {
        received = std::make_shared<answer>(co_await question->asked.read_all(question->prefix));
    } catch (const store_error& error) {
        received = std::make_shared<answer>(error);
    }
    question->first_answer.try_send(boost::system::error_code{}, std::move(received));
}

} // namespace

asio::awaitable<row_page> read_all_repeatedly(asio::any_io_executor executor, timer_service& timers,
                                              table& table, std::string prefix,
                                              std::chrono::milliseconds period) {
    const auto question = std::make_shared<shared_question>(executor, table, std::move(prefix));
    asio::co_spawn(executor, ask(question), asio::detached);
    const auto repeat = timers.every(
        executor, period, [executor, question] { asio::co_spawn(executor, ask(question), asio::detached); });
    const auto received = co_await question->first_answer.async_receive(asio::use_awaitable);
    if (const auto* error = std::get_if<store_error>(received.get())) {
        throw store_error(*error);
    }
    co_return std::get<row_page>(std::move(*received));
}

} // namespace borageford::store
