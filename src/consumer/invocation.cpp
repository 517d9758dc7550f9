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

std::string_view first_part(std::string_view target) {
    target.remove_prefix(1);
    return target.substr(0, target.find_first_of("/?"));
}

std::string_view read_invocation(const http::Head& head, double now, Invocation& invocation) {
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
    invocation.repeat = field("x-retry") == "1";
    const std::string_view deadline = field("x-deadline");
    const std::string_view terms = field("x-call-terms");
    double wait = 0;
    if (repeated) return "a repeated field";
    if (invocation.method != "GET" && invocation.method != "POST") return "method";
    if (invocation.request_id.empty()) return "X-Request-Id";
    if (invocation.service_class != first_part(invocation.target)) return "X-Class";
    if (invocation.plan.empty()) return "X-Tier";
    if (!read(deadline, wait) || !std::isfinite(wait) || wait < 0) return "X-Deadline";
    if (!read_terms(terms, invocation)) return "X-Call-Terms";
    if (!read_customer(invocation.target, invocation.customer)) return "customer";
    invocation.arrived = now;
    invocation.due = now + wait;
    return {};
}

}   // namespace slatejunction::consumer
