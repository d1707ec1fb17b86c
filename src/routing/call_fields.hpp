// The names of the header fields by which callers, the system and backend servers tell each other about a
// request. A deployment names them; the folder platform/ has those of the users' platform.
#pragma once

#include <string>

namespace borageford::routing {

struct call_fields {
    // From the caller, passed on unchanged.
    std::string request_id;
    std::string model;
    std::string tokens;          ///< prompt tokens and most output tokens: "1460,80"
    std::string prompt_parts;    ///< "ID:TOKENS,ID:TOKENS", the request's own part last
    std::string expected_length; ///< the caller's guess at the output tokens
    std::string last_event;      ///< the last event of a stream that the caller has

    // From the caller, read and replaced.
    std::string deadline; ///< milliseconds that are left
    std::string workspace;

    // Set by the system alone; taken off a caller's request.
    std::string expected_server;
    std::string hold;
    std::string pin_time;
    std::string memory_backup;
    std::string memory_source;
    std::string memory_fetch;

    // In answers.
    std::string not_executed; ///< the server says that it didn't run the request
    std::string signature;    ///< the server's proof that the answer is its own
};

} // namespace borageford::routing
