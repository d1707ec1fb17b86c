// Reading a whole table when nothing is known yet and the store may not answer.
#pragma once

#include "base/timer_service.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace borageford::store {

/// Reads all rows whose keys start with `prefix`. While no answer comes, the question is asked again at every
/// `period`, over a connection of its own; the first answer counts, a refusal as well, and later ones are
/// passed over.
///
/// A store that is silent loses the questions that reach it meanwhile, and a question waits seconds until it
/// counts as lost. A process that had just started, and knew no configuration, thus went on refusing its
/// callers for up to a whole timeout after the store was back.
///
/// `table` must outlive the timeout of its calls. Throws store_error.
[[nodiscard]] boost::asio::awaitable<row_page> read_all_repeatedly(boost::asio::any_io_executor executor,
                                                                   timer_service& timers, table& table,
                                                                   std::string prefix,
                                                                   std::chrono::milliseconds period);

} // namespace borageford::store
