// Starts another read at every tick of a timer until the first read is answered.
#include "store/repeated_read.hpp"

#include "store/repeated_poll.hpp"

#include <utility>

namespace borageford::store {

namespace asio = boost::asio;

asio::awaitable<row_page> read_all_repeatedly(asio::any_io_executor executor, timer_service& timers,
                                              table& table, std::string prefix,
                                              std::chrono::milliseconds period) {
    repeated_poll<row_page> read(executor);
    read.start_call(table.read_all(prefix));
    const auto repeat = timers.every(executor, period, [&] { read.start_call(table.read_all(prefix)); });
    co_return co_await read.first_answer();
}

} // namespace borageford::store
