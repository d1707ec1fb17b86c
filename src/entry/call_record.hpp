// Creates audit records for calls.
#pragma once

#include "audit/record.hpp"
#include "entry/call.hpp"

namespace borageford::entry {

/// An audit record of this event with the fields that all records of the call share. Its revision is that of
/// the configuration under which the call was authorized.
[[nodiscard]] audit::record make_record(const call& request, audit::event what);

} // namespace borageford::entry
