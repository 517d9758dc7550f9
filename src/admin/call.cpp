#include "admin/call.hpp"

#include <algorithm>
#include <array>

namespace slatejunction::admin {
namespace {

constexpr std::size_t kMaxIdBytes = 1024;   // percent-encoded

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

}   // namespace

bool percent_decode(std::string_view text, std::string& out) {
    out.clear();
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        if (i + 2 >= text.size()) return false;
        const int high = hex_digit(text[i + 1]), low = hex_digit(text[i + 2]);
        if (high < 0 || low < 0) return false;
        out += static_cast<char>(16 * high + low);
        i += 2;
    }
    return true;
}

namespace {

// Parses /v1/rollout/KEY, where KEY is the header of a section of the operator's file.
AdminCall read_rollout_path(std::string_view method, std::string_view key) {
    AdminCall call;
    if (key.empty() || key.find('/') != std::string_view::npos) {
        call.error_status = 404;
    } else if (method != "POST" && method != "DELETE") {
        call.error_status = 405;
        call.allow = "POST, DELETE";
    } else if (key.size() > kMaxIdBytes || !percent_decode(key, call.id)) {
        call.error_status = 400;
    }
    if (call.error_status != 404)
        call.kind = method == "DELETE" ? AdminCall::Kind::erase : AdminCall::Kind::propose;
    return call;
}

struct FixedPath {
    std::string_view path;
    AdminCall::Kind kind;
    bool is_read;   // allows GET and HEAD; else POST
};
constexpr std::array<FixedPath, 6> kFixedPaths{
    {{"/v1/readyz", AdminCall::Kind::readyz, true},
     {"/v1/fleet", AdminCall::Kind::fleet, true},
     {"/v1/fleet/quorum", AdminCall::Kind::quorum, true},
     {"/v1/rollout", AdminCall::Kind::rollout, true},
     {"/v1/ingress/drain", AdminCall::Kind::drain, false},
     {"/v1/ingress/activate", AdminCall::Kind::activate, false}}};

// Parses ID/suspend or ID/resume, the part of the path after /v1/backends/.
void read_backend_path(std::string_view path, AdminCall& call) {
    const std::size_t slash = path.rfind('/');
    const std::string_view verb = slash == std::string_view::npos ? "" : path.substr(slash + 1);
    const std::string_view id = path.substr(0, slash);
    if (id.empty() || id.find('/') != std::string_view::npos) return;
    if (verb == "suspend") call.kind = AdminCall::Kind::suspend;
    if (verb == "resume") call.kind = AdminCall::Kind::resume;
    if (call.kind != AdminCall::Kind::none && (id.size() > kMaxIdBytes || !percent_decode(id, call.id)))
        call.error_status = 400;
}

}   // namespace

AdminCall read_call(std::string_view method, std::string_view target) {
    constexpr std::string_view kBackendsPrefix = "/v1/backends/";
    constexpr std::string_view kRolloutPrefix = "/v1/rollout/";
    const std::string_view path = target.substr(0, target.find('?'));
    if (path.starts_with(kRolloutPrefix))
        return read_rollout_path(method, path.substr(kRolloutPrefix.size()));
    AdminCall call;
    bool is_read = false;
    const auto fixed = std::find_if(kFixedPaths.begin(), kFixedPaths.end(),
                                    [&](const FixedPath& candidate) { return candidate.path == path; });
    if (fixed != kFixedPaths.end()) {
        call.kind = fixed->kind;
        is_read = fixed->is_read;
    } else if (path.starts_with(kBackendsPrefix)) {
        read_backend_path(path.substr(kBackendsPrefix.size()), call);
    }
    if (call.kind == AdminCall::Kind::none) {
        call.error_status = 404;
    } else if (is_read && method == "HEAD") {
        call.omit_body = true;
    } else if (method != (is_read ? "GET" : "POST")) {
        call.error_status = 405;
        call.allow = is_read ? "GET, HEAD" : "POST";
    }
    return call;
}

}   // namespace slatejunction::admin
