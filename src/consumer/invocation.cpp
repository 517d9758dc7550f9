#include "consumer/invocation.hpp"

#include <charconv>
#include <cmath>

namespace slatejunction::consumer {
namespace {

template <class T, class... Base>
bool read(std::string_view text, T& value, Base... base) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

// units=2,spread=3,first=1
bool read_terms(std::string_view text, Invocation& invocation) {
    bool units = false, spread = false;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view part = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (part.starts_with(' ')) part.remove_prefix(1);
        if (part.starts_with("units="))
            units = read(part.substr(6), invocation.units);
        else if (part.starts_with("spread="))
            spread = read(part.substr(7), invocation.doors);
    }
    return units && spread && std::isfinite(invocation.units) && invocation.units >= 0 &&
           std::isfinite(invocation.doors) && invocation.doors >= 1;
}

bool read_customer(std::string_view target, std::uint64_t& customer) {
    const std::size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        const std::size_t amp = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, amp);
        query.remove_prefix(std::min(amp + 1, query.size()));
        if (pair.starts_with("customer=")) return pair.size() == 25 && read(pair.substr(9), customer, 16);
    }
    return false;
}

}   // namespace

Fault read_invocation(const http::Head& head, double now, Invocation& invocation, const char*& why) {
    invocation.method = head.first;
    invocation.target = head.second;
    // Two fields of one name are two readings of the request: neither is taken.
    bool repeated = false;
    const auto field = [&](std::string_view name) {
        const std::string_view* value = head.find(name, &repeated);
        return value ? *value : std::string_view();
    };
    invocation.request_id = field("x-request-id");
    invocation.service_class = field("x-class");
    invocation.plan = field("x-tier");
    invocation.content_type = field("content-type");
    const std::string_view deadline = field("x-deadline");
    const std::string_view terms = field("x-call-terms");
    invocation.repeat = field("x-retry") == "1";

    std::string_view first = invocation.target.substr(1);
    first = first.substr(0, first.find_first_of("/?"));
    why = "path";
    if (invocation.service_class.empty() ? first != "" && deadline.empty() && terms.empty()
                                         : first != invocation.service_class)
        return Fault::not_found;
    const auto bad = [&](const char* name) { return why = name, Fault::bad_request; };
    if (repeated) return bad("a repeated field");
    if (invocation.method != "GET" && invocation.method != "POST") return bad("method");
    if (invocation.request_id.empty()) return bad("X-Request-Id");
    if (invocation.service_class.empty()) return bad("X-Class");
    if (invocation.plan.empty()) return bad("X-Tier");
    double wait = 0;
    if (!read(deadline, wait) || !std::isfinite(wait) || wait < 0) return bad("X-Deadline");
    if (!read_terms(terms, invocation)) return bad("X-Call-Terms");
    if (!read_customer(invocation.target, invocation.customer)) return bad("customer");
    invocation.arrived = now;
    invocation.due = now + wait;
    why = "";
    return Fault::none;
}

}   // namespace slatejunction::consumer
