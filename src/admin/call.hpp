// What an operator's call means. No I/O.
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
    std::string id;            // of a backend, or the key that is proposed or erased; percent-decoded
    std::string body;          // of what is proposed; filled in by the server
    int fault = 0;             // HTTP status, when it is no call
    std::string_view allow;    // the methods of that path, with 405
    bool head_alone = false;   // HEAD: the answer has no body
};

// `target` as the request line has it; a query is ignored.
AdminCall read_call(std::string_view method, std::string_view target);

// Percent-decoded (RFC 3986, section 2.1); false when it is not well formed.
bool decode(std::string_view text, std::string& out);

}   // namespace slatejunction::admin
