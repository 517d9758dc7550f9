// One call at a running ingress's operators' address.
#pragma once

#include <string>
#include <string_view>

namespace slatejunction::app {

// The status, and the answer's body; 0: there was no answer within some seconds.
int call_admin(const std::string& address, std::string_view method, const std::string& path,
               std::string_view body, std::string& answer);

// Percent-encoded but for RFC 3986's unreserved characters.
std::string encode(std::string_view text);

}   // namespace slatejunction::app
