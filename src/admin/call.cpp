#include "admin/call.hpp"

namespace slatejunction::admin {
namespace {

constexpr std::size_t kMaxIdBytes = 1024;   // bytes

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

}   // namespace

bool decode(std::string_view text, std::string& out) {
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

// /v1/rollout/KEY: the key is a section's header.
AdminCall read_change(std::string_view method, std::string_view key) {
    AdminCall call;
    if (key.empty() || key.find('/') != std::string_view::npos) {
        call.error_status = 404;
    } else if (method != "POST" && method != "DELETE") {
        call.error_status = 405;
        call.allow = "POST, DELETE";
    } else if (key.size() > kMaxIdBytes || !decode(key, call.id)) {
        call.error_status = 400;
    }
    if (call.error_status != 404)
        call.kind = method == "DELETE" ? AdminCall::Kind::erase : AdminCall::Kind::propose;
    return call;
}

}   // namespace

AdminCall read_call(std::string_view method, std::string_view target) {
    AdminCall call;
    const std::string_view path = target.substr(0, target.find('?'));
    constexpr std::string_view kBackends = "/v1/backends/", kRollout = "/v1/rollout/";
    std::string_view wanted = "POST";
    if (path.starts_with(kRollout)) return read_change(method, path.substr(kRollout.size()));
    if (path == "/v1/readyz") {
        call.kind = AdminCall::Kind::readyz;
        wanted = "GET";
    } else if (path == "/v1/fleet" || path == "/v1/fleet/quorum") {
        call.kind = path == "/v1/fleet" ? AdminCall::Kind::fleet : AdminCall::Kind::quorum;
        wanted = "GET";
    } else if (path == "/v1/rollout") {
        call.kind = AdminCall::Kind::rollout;
        wanted = "GET";
    } else if (path == "/v1/ingress/drain") {
        call.kind = AdminCall::Kind::drain;
    } else if (path == "/v1/ingress/activate") {
        call.kind = AdminCall::Kind::activate;
    } else if (path.starts_with(kBackends)) {
        std::string_view id = path.substr(kBackends.size());
        const std::size_t slash = id.rfind('/');
        const std::string_view verb = slash == std::string_view::npos ? "" : id.substr(slash + 1);
        id = id.substr(0, slash);
        if (verb == "suspend") call.kind = AdminCall::Kind::suspend;
        if (verb == "resume") call.kind = AdminCall::Kind::resume;
        if (id.empty() || id.find('/') != std::string_view::npos) call.kind = AdminCall::Kind::none;
        if (call.kind != AdminCall::Kind::none && (id.size() > kMaxIdBytes || !decode(id, call.id)))
            call.error_status = 400;
    }
    if (call.kind == AdminCall::Kind::none) {
        call.error_status = 404;
    } else if (wanted == "GET" && method == "HEAD") {
        call.omit_body = true;
    } else if (method != wanted) {
        call.error_status = 405;
        call.allow = wanted == "GET" ? "GET, HEAD" : "POST";
    }
    return call;
}

}   // namespace slatejunction::admin
