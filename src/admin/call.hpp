// What an operator's HTTP call means: method and target in, AdminCall out. Pure: no I/O. Called by
// admin::Session.
#pragma once

#include <string>
#include <string_view>

namespace slatejunction::admin {

struct AdminCall {
    enum class Kind {
        none,
        readyz,
        suspend,
        resume,
        drain,
        activate,
        fleet,
        quorum,
        rollout,
        propose,
        erase
    };
    Kind kind = Kind::none;
    std::string id;         // of a backend, or the rollout key that is proposed or erased; percent-decoded
    std::string body;       // of propose; filled in by the session
    int error_status = 0;   // HTTP status of a call that is invalid; 0: it is valid
    std::string_view allow;   // the methods of that path, with 405
    bool omit_body = false;   // HEAD
};

/// `target` as in the request line; a query is ignored.
AdminCall read_call(std::string_view method, std::string_view target);

/// Percent-decodes (RFC 3986, section 2.1). False: it is not well formed.
bool decode(std::string_view text, std::string& out);

}   // namespace slatejunction::admin
