// Reads a complete table from a store that may be unresponsive, for a process that has no data yet.
#pragma once

#include "base/timer_service.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace borageford::store {

/// Reads all rows whose keys start with `prefix`. While there is no answer, the read is started again after
/// each `period`, over another connection. The first answer counts, also if it is a refusal; later answers
/// are ignored.
///
/// An unresponsive store loses the reads that it receives, and a lost read times out only after seconds.
/// Without the repeated reads, a process that had just started and had no configuration refused its callers
/// for up to one timeout after the store had recovered.
///
/// `table` must stay valid until its calls have timed out. Throws store_error when the first answer is a
/// failure.
[[nodiscard]] boost::asio::awaitable<row_page> read_all_repeatedly(boost::asio::any_io_executor executor,
                                                                   timer_service& timers, table& table,
                                                                   std::string prefix,
                                                                   std::chrono::milliseconds period);

} // namespace borageford::store
