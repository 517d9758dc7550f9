// Parses the method and target of an HTTP request to the admin server into an AdminCall. Pure: no I/O.
// Called by admin::Session.
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
    // The backend's id, or the rollout key that is proposed or erased; percent-decoded.
    std::string id;
    std::string body;         // of a propose call: the request's body, set by admin::Session
    int error_status = 0;     // HTTP status for an invalid call; 0: the call is valid
    std::string_view allow;   // with status 405: the value of the Allow header
    bool omit_body = false;   // the method is HEAD
};

/// `target` is the request target of the request line; its query is ignored.
AdminCall read_call(std::string_view method, std::string_view target);

/// Percent-decodes `text` (RFC 3986, section 2.1) into `out`. Returns false if an escape is malformed.
bool percent_decode(std::string_view text, std::string& out);

}   // namespace slatejunction::admin
