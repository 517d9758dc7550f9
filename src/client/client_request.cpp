#include "client/client_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace slatejunction::client {
namespace {

template <class T, class... Base>
bool read(std::string_view text, T& value, Base... base) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

// How far a stated deadline may lie over its class's: both are rounded.
constexpr double kDeadlineSlack = 1.01;

// units=2,spread=3,first=1, each once. What lies outside the settings is no request of this deployment: it
// must neither reach a provider nor move the decisions on the customer that it names.
bool read_terms(std::string_view text, const slatejunction::Settings& settings, ClientRequest& invocation) {
    int units = 0, spread = 0, first = 0;
    std::uint32_t doors = 0, door = 0;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view part = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (part.starts_with(' ')) part.remove_prefix(1);
        const auto number = [&](std::string_view name, int& seen, auto& value) {
            if (!part.starts_with(name)) return true;
            ++seen;
            return read(part.substr(name.size()), value);
        };
        if (!number("units=", units, invocation.units) || !number("spread=", spread, doors) ||
            !number("first=", first, door))
            return false;
    }
    if (units != 1 || spread != 1 || first != 1) return false;
    invocation.ingress_count = doors;
    invocation.first_ingress = door;
    const bool bounded = settings.max_request_units > 0;
    return std::isfinite(invocation.units) && invocation.units > 0 &&
           (!bounded || invocation.units <= settings.max_request_units) && doors >= 1 &&
           (settings.ingress_count < 1 ||
            (doors <= settings.ingress_count && door < settings.ingress_count));
}

// Once, as 16 hexadecimal digits of a number below 2^33.
bool read_customer(std::string_view target, std::uint64_t& customer) {
    const std::size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    int seen = 0;
    while (!query.empty()) {
        const std::size_t amp = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, amp);
        query.remove_prefix(std::min(amp + 1, query.size()));
        if (!pair.starts_with("customer=")) continue;
        if (++seen > 1 || pair.size() != 25 || !read(pair.substr(9), customer, 16)) return false;
    }
    return seen == 1 && customer < std::uint64_t{1} << 33;
}

}   // namespace

bool ClientRequest::client_disconnected() const {
    const auto one = response_writer.lock();
    return one && one->client_disconnected();
}

std::string_view first_part(std::string_view target) {
    target.remove_prefix(1);
    return target.substr(0, target.find_first_of("/?"));
}

const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name) {
    const auto at = std::find_if(settings.classes.begin(), settings.classes.end(),
                                 [&](const auto& one) { return one.name == name; });
    return at == settings.classes.end() ? nullptr : &*at;
}

std::string_view read_request(const http::Head& head, const slatejunction::Settings& settings, double now,
                              ClientRequest& invocation) {
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
    invocation.idempotency_key = field("idempotency-key");
    invocation.is_client_retry = field("x-retry") == "1";
    const std::string_view deadline = field("x-deadline");
    const std::string_view terms = field("x-call-terms");
    double wait = 0;
    if (repeated) return "a repeated field";
    if (invocation.request_id.empty()) return "X-Request-Id";
    const slatejunction::ServiceClass* service = find_class(settings, first_part(invocation.target));
    if (!service || invocation.service_class != service->name) return "X-Class";
    // The class determines the method.
    const bool repeatable = service->idempotency == slatejunction::Idempotency::idempotent;
    if (invocation.method != (repeatable ? "GET" : "POST")) return "method";
    // Without it a provider would run a repeat as another request.
    if (service->idempotency == slatejunction::Idempotency::idempotency_key &&
        invocation.idempotency_key.empty())
        return "Idempotency-Key";
    if (!settings.plans.empty() &&
        std::none_of(settings.plans.begin(), settings.plans.end(),
                     [&](const auto& plan) { return plan.name == invocation.plan; }))
        return "X-Tier";
    if (!read(deadline, wait) || !std::isfinite(wait) || wait < 0) return "X-Deadline";
    if (service->deadline_s > 0 && wait > kDeadlineSlack * service->deadline_s) return "X-Deadline";
    if (!read_terms(terms, settings, invocation)) return "X-Call-Terms";
    if (!read_customer(invocation.target, invocation.customer)) return "customer";
    invocation.arrived_at_s = now;
    invocation.timeout_s = wait;
    invocation.deadline_at_s = now + wait;
    return {};
}

}   // namespace slatejunction::client
