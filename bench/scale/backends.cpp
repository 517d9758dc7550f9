// The list of backends at one ingress, each step of it as src/ingress takes it: the answer's bytes, JSON,
// entries, operators' layer, pool of connections, decision module; a list that comes again and a change of
// ten; and how many entries an answer of http::kBodyMost may have.
#include <rapidjson/document.h>

#include <cmath>

#include "admin/operator_overrides.hpp"
#include "backend/connection_pool.hpp"
#include "discovery/endpoint_list.hpp"
#include "duties.hpp"
#include "http/message.hpp"
#include "meter.hpp"
#include "net/timers.hpp"
#include "sample.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr std::size_t kChanged = 10;   // entries of a list of changes

struct Nobody final : backend::CallCallbacks {
    void on_call_end(const backend::AttemptTag&, const backend::CallResult&) override {}
    void on_health_check_end(const std::string&, const backend::CallResult&) override {}
};

// What the directory answers, over HTTP; false: the ingress turns it down.
bool taken(const std::string& body) {
    http::Parser parser(http::Parser::Kind::response);
    http::Buffer buffer;
    const std::string message = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t at = 0; at < message.size();) {
        const auto space = parser.receive_space(buffer);
        const std::size_t size = std::min(space.size(), message.size() - at);
        if (size == 0) return false;
        std::copy_n(message.data() + at, size, space.data());
        at += size;
        buffer.commit(size);
        const http::ParseResult step = parser.feed(buffer);
        if (step == http::ParseResult::done) return true;
        if (step != http::ParseResult::need_more) return false;
    }
    return false;
}

// CPU ms of a call.
template <class Call>
double ms(Call call) {
    const double from = cpu_s();
    call();
    return (cpu_s() - from) * 1e3;
}

double kb(std::size_t from) { return (static_cast<double>(allocated()) - static_cast<double>(from)) / 1e3; }

discovery::EndpointList parse(const std::string& text, double& json_ms, double& entries_ms) {
    const discovery::UnixTimeConverter clock;
    rapidjson::Document document;
    json_ms = ms([&] { document.Parse(text.data(), text.size()); });
    discovery::EndpointList listing;
    int broken = 0;
    entries_ms = ms([&] { discovery::read_endpoint_list(document, clock, listing, broken); });
    return listing;
}

}   // namespace

void backends(const Run& run) {
    Table table{"backends",
                {"backends", "list_kb", "taken", "json_ms", "entries_ms", "listing_kb", "operations_ms",
                 "operations_kb", "pool_first_ms", "pool_again_ms", "pool_kb", "gateway_first_ms",
                 "gateway_again_ms", "gateway_kb", "all_kb", "change_kb", "change_ms"},
                {}};
    for (const std::size_t n : run.sizes({30, 100, 300, 400, 1000, 3000, 10'000, 30'000, 74'000}, 1000)) {
        const std::string text = list_text(n, 0, n, true);
        const bool fits = taken(text);
        const std::size_t began = allocated();
        double json_ms = 0, entries_ms = 0;
        const discovery::EndpointList listing = parse(text, json_ms, entries_ms);
        const double listing_kb = kb(began);

        std::size_t from = allocated();
        admin::OperatorOverrides operations;
        discovery::EndpointList laid = listing;
        const double copy_kb = kb(from);
        const double operations_ms = ms([&] { operations.apply_to(laid); });
        const double operations_kb = kb(from) - copy_kb;

        Nobody nobody;
        net::Timers timers;
        http::ByteBudget budget(1 << 20);
        from = allocated();
        backend::ConnectionPool pool(nobody, timers, {}, budget, {});
        const double pool_first_ms = ms([&] { pool.update(listing); });
        const double pool_kb = kb(from);
        const double pool_again_ms = ms([&] { pool.update(listing); });

        from = allocated();
        Gateway gateway(settings_of(4, 3), 1);
        std::vector<Action> actions;
        gateway.handle(100, Start{}, actions);
        const Event event = listing.update;
        const double event_kb = kb(from);
        const double gateway_first_ms = ms([&] { gateway.handle(100, event, actions); });
        const double gateway_kb = kb(from) - event_kb;
        const double gateway_again_ms = ms([&] { gateway.handle(101, event, actions); });

        const std::string few = list_text(n, 0, std::min(n, kChanged), false);
        double few_json = 0, few_entries = 0;
        discovery::EndpointList change = parse(few, few_json, few_entries);
        const double change_ms = few_json + few_entries + ms([&] {
                                     operations.apply_to(change);
                                     pool.update(change);
                                     gateway.handle(102, change.update, actions);
                                 });
        table.add({static_cast<double>(n), static_cast<double>(text.size()) / 1e3, fits ? 1.0 : 0.0,
                   json_ms, entries_ms, listing_kb, operations_ms, operations_kb, pool_first_ms,
                   pool_again_ms, pool_kb, gateway_first_ms, gateway_again_ms, gateway_kb,
                   operations_kb + pool_kb + gateway_kb, static_cast<double>(few.size()) / 1e3, change_ms});
        write(run.directory, table);
    }
    // The largest list that is taken.
    std::size_t least = 1, most = 10'000;
    while (least + 1 < most) {
        const std::size_t middle = (least + most) / 2;
        (taken(list_text(middle, 0, middle, true)) ? least : most) = middle;
    }
    Table largest{"backends_largest_list", {"body_most", "backends"}, {}};
    largest.add({static_cast<double>(http::kMaxBufferedBodyBytes), static_cast<double>(least)});
    write(run.directory, largest);
}

}   // namespace slatejunction::scale
