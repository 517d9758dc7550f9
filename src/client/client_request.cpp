#include "client/client_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace slatejunction::client {
namespace {

template <class T, class... Base>
bool parse_number(std::string_view text, T& value, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

// A stated deadline may exceed that of its class by this factor, as both are rounded.
constexpr double kDeadlineTolerance = 1.01;

// Parses the value of X-Call-Terms, such as "units=2,spread=3,first=1". Each part must occur once and be
// within the settings.
bool parse_call_terms(std::string_view text, const slatejunction::Settings& settings,
                      ClientRequest& request) {
    int units = 0, spread = 0, first = 0;
    std::uint32_t ingress_count = 0, first_ingress = 0;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view part = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (part.starts_with(' ')) part.remove_prefix(1);
        const auto number = [&](std::string_view name, int& occurrences, auto& value) {
            if (!part.starts_with(name)) return true;
            ++occurrences;
            return parse_number(part.substr(name.size()), value);
        };
        if (!number("units=", units, request.units) || !number("spread=", spread, ingress_count) ||
            !number("first=", first, first_ingress))
            return false;
    }
    if (units != 1 || spread != 1 || first != 1) return false;
    request.ingress_count = ingress_count;
    request.first_ingress = first_ingress;
    const bool bounded = settings.max_request_units > 0;
    return std::isfinite(request.units) && request.units > 0 &&
           (!bounded || request.units <= settings.max_request_units) && ingress_count >= 1 &&
           (settings.ingress_count < 1 ||
            (ingress_count <= settings.ingress_count && first_ingress < settings.ingress_count));
}

// Parses the query parameter `customer`, which must occur once with 16 hexadecimal digits of a number below
// 2^33.
bool parse_customer(std::string_view target, std::uint64_t& customer) {
    const std::size_t query_start = target.find('?');
    std::string_view query =
        query_start == std::string_view::npos ? std::string_view() : target.substr(query_start + 1);
    int occurrences = 0;
    while (!query.empty()) {
        const std::size_t ampersand = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, ampersand);
        query.remove_prefix(std::min(ampersand + 1, query.size()));
        if (!pair.starts_with("customer=")) continue;
        if (++occurrences > 1 || pair.size() != 25 || !parse_number(pair.substr(9), customer, 16))
            return false;
    }
    return occurrences == 1 && customer < std::uint64_t{1} << 33;
}

}   // namespace

bool ClientRequest::client_disconnected() const {
    const auto writer = response_writer.lock();
    return writer && writer->client_disconnected();
}

std::string_view first_path_segment(std::string_view target) {
    target.remove_prefix(1);
    return target.substr(0, target.find_first_of("/?"));
}

const slatejunction::ServiceClass* find_class(const slatejunction::Settings& settings,
                                              std::string_view name) {
    const auto it = std::find_if(settings.classes.begin(), settings.classes.end(),
                                 [&](const auto& service_class) { return service_class.name == name; });
    return it == settings.classes.end() ? nullptr : &*it;
}

std::string_view read_request(const http::Head& head, const slatejunction::Settings& settings, double now,
                              ClientRequest& request) {
    request.method = head.method;
    request.target = head.target;
    bool repeated = false;
    const auto field = [&](std::string_view name) {
        const std::string_view* value = head.find(name, &repeated);
        return value ? *value : std::string_view();
    };
    request.request_id = field("x-request-id");
    request.service_class = field("x-class");
    request.plan = field("x-tier");
    request.content_type = field("content-type");
    request.idempotency_key = field("idempotency-key");
    request.is_client_retry = field("x-retry") == "1";
    const std::string_view deadline = field("x-deadline");
    const std::string_view call_terms = field("x-call-terms");
    double timeout_s = 0;
    if (repeated) return "repeated header field";
    if (request.request_id.empty()) return "X-Request-Id";
    const slatejunction::ServiceClass* service_class =
        find_class(settings, first_path_segment(request.target));
    if (!service_class || request.service_class != service_class->name) return "X-Class";
    // The idempotency of the class determines the method.
    const bool idempotent = service_class->idempotency == slatejunction::Idempotency::idempotent;
    if (request.method != (idempotent ? "GET" : "POST")) return "method";
    // Backends recognise a retry by its key.
    if (service_class->idempotency == slatejunction::Idempotency::idempotency_key &&
        request.idempotency_key.empty())
        return "Idempotency-Key";
    if (!settings.plans.empty() &&
        std::none_of(settings.plans.begin(), settings.plans.end(),
                     [&](const auto& plan) { return plan.name == request.plan; }))
        return "X-Tier";
    if (!parse_number(deadline, timeout_s) || !std::isfinite(timeout_s) || timeout_s < 0)
        return "X-Deadline";
    if (service_class->deadline_s > 0 && timeout_s > kDeadlineTolerance * service_class->deadline_s)
        return "X-Deadline";
    if (!parse_call_terms(call_terms, settings, request)) return "X-Call-Terms";
    if (!parse_customer(request.target, request.customer)) return "customer";
    request.arrived_at_s = now;
    request.timeout_s = timeout_s;
    request.deadline_at_s = now + timeout_s;
    return {};
}

}   // namespace slatejunction::client
