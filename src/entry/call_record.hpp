// What every audit record of one call has in common.
#pragma once

#include "audit/record.hpp"
#include "entry/call.hpp"

namespace borageford::entry {

/// A record of this decision about the call, under the revision that the call was decided by.
[[nodiscard]] audit::record make_record(const call& request, audit::event what);

} // namespace borageford::entry
