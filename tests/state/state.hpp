// What is not state but what state is opened with, for the generator and the test alike: settings, and the
// batches that a backlog gives.
#pragma once

#include <snappy.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "metrics/measures.hpp"
#include "remotewrite/backlog.hpp"
#include "rules/rules.hpp"

namespace state {

using namespace slatejunction;

inline metrics::Measures::Shape shape() {
    ServiceClass read{"read", 0.5, 4};
    read.priority_weight = 2, read.late_priority_weight = 0.25;
    Plan basis{"basis"}, plus{"plus"};
    basis.plan_weight = 0.5, plus.plan_weight = 1.5;
    metrics::Measures::Shape shape{{read}, {basis, plus}};
    shape.rules = {"limit hour"};
    shape.limits = {"hour"};
    shape.tags = {{"kind", {"web"}}};
    return shape;
}

// The rates are so low that a bucket fills in hours ("hour") or decades ("decades").
inline std::unique_ptr<rules::Rules> rules() {
    rules::Settings settings;
    rules::LimitSettings hour, decades;
    hour.name = "hour", hour.when = "true", hour.key = "[string(request.customer), request.class]";
    hour.rate = 0.001, hour.burst = 10, hour.max_keys = 100;
    decades.name = "decades", decades.when = "true", decades.key = "request.path";
    decades.rate = 1e-9, decades.burst = 40, decades.max_keys = 100, decades.count = 1;
    settings.limits = {hour, decades};
    std::vector<std::string> faults;
    auto rules = rules::Rules::load(settings, {"gateway", "zone"}, faults);
    for (const std::string& one : faults) UNSCOPED_INFO(one);
    REQUIRE(rules);
    return rules;
}

inline rules::RequestFacts request(std::int64_t customer, const char* path, double units) {
    rules::RequestFacts facts;
    facts.customer = customer;
    facts.service_class = "read";
    facts.path = path;
    facts.units = units;
    return facts;
}

// Draws from each limit.
inline void send(rules::Rules& rules, double now, std::int64_t customer, const char* path, double units) {
    rules::RequestVerdict verdict = rules.evaluate(now, request(customer, path, units));
    REQUIRE(verdict.rate_limit_retry_after_s == 0);
    rules.on_first_attempt(now, verdict, false);
    rules::Rules::on_request_end(now, verdict);
}

inline remotewrite::Settings sender_settings(int protocol) {
    remotewrite::Settings settings;
    settings.protocol = protocol;
    settings.backlog_mb = 1;
    settings.batch_samples = 100;
    return settings;
}

// The requests' bodies that a backlog's folder gives, in order, out of their compression: that may change
// with its library.
inline std::vector<std::string> batches(const std::string& folder, int protocol) {
    remotewrite::Sender sender(sender_settings(protocol), 1);
    remotewrite::Backlog backlog(folder, sender);
    std::vector<std::string> all;
    for (double now = 0; !sender.empty(); now += 100) {
        const remotewrite::Batch* const batch = sender.next(now);
        REQUIRE(batch);
        all.emplace_back();
        REQUIRE(snappy::Uncompress(batch->body.data(), batch->body.size(), &all.back()));
        sender.on_answer(now, {remotewrite::Answer::How::answered, 204, -1, -1});
    }
    return all;
}

}   // namespace state
