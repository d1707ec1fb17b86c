// Fills an audit record with the fields of a call.
#include "entry/call_record.hpp"

namespace borageford::entry {

audit::record make_record(const call& request, audit::event what) {
    audit::record entry;
    entry.what = what;
    entry.request = request.id;
    entry.workspace = request.workspace->name;
    entry.tier = request.tier->rank;
    entry.target = request.target;
    entry.revision = request.configuration->revision;
    return entry;
}

} // namespace borageford::entry
