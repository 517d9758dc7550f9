// Metrics: the table of families and its documentation, consistent counters, and counters across restarts.
#include "metrics/measures.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "files.hpp"

namespace metrics = slatejunction::metrics;
using metrics::Id;
using metrics::Measures;
using metrics::RequestResult;

namespace {

Measures::Shape test_shape() {
    slatejunction::ServiceClass read{"risk-read", 1.5, 4}, send{"warn-send", 5, 12};
    read.priority_weight = 2, read.late_priority_weight = 0.2;
    send.priority_weight = 6, send.late_priority_weight = 0.1;
    slatejunction::Plan basis{"basis"}, plus{"plus"};
    basis.plan_weight = 0.8, plus.plan_weight = 1.2;
    return {{read, send}, {basis, plus}};
}

std::map<std::string, double> values_by_series(const Measures& measures) {
    std::vector<double> values;
    measures.sample(values);
    REQUIRE(values.size() == measures.series().size());
    std::map<std::string, double> all;
    for (std::size_t i = 0; i < values.size(); ++i) {
        std::string name = measures.series()[i].name;
        for (const auto& [label, value] : measures.series()[i].labels) name += " " + label + "=" + value;
        REQUIRE(all.emplace(name, values[i]).second);
    }
    return all;
}

}   // namespace

TEST_CASE("the documentation contains the table of families") {
    std::ifstream in(SOURCE "/docs/metrics.md");
    const std::string page((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    CHECK(page.find(metrics::markdown()) != std::string::npos);
    std::set<std::string_view> names;
    for (const auto& family : metrics::kFamilies) {
        INFO(family.name);
        CHECK(names.insert(family.name).second);
        CHECK(family.name.starts_with("slatejunction_"));
        CHECK((family.type == metrics::Type::counter) == family.name.ends_with("_total"));
        CHECK_FALSE(family.help.empty());
    }
}

TEST_CASE("a finished request updates its count, weight and duration") {
    Measures measures(test_shape(), 1000);
    const double served = measures.count_request({0, 1, RequestResult::served, 0, 0.3, 2});
    CHECK(served == Approx(2 * 1.2 * 2));
    CHECK(measures.count_request({1, 0, RequestResult::served, 0, 6, 1}) ==
          Approx(6 * 0.8 * 0.1));   // late
    CHECK(measures.count_request({1, 0, RequestResult::rejected, 3, 0.001, 1}) == 0);
    CHECK(measures.count_request({1, 0, RequestResult::failed, 0, 1.5, 1}) == 0);
    auto all = values_by_series(measures);
    CHECK(all["slatejunction_requests_total class=risk-read plan=plus outcome=served"] == 1);
    CHECK(all["slatejunction_requests_total class=warn-send plan=basis outcome=refused"] == 1);
    CHECK(all["slatejunction_refusals_total class=warn-send plan=basis reason=open_work"] == 1);
    CHECK(all["slatejunction_worth_offered_total class=warn-send plan=basis"] == Approx(3 * 4.8));
    CHECK(all["slatejunction_worth_lost_total class=warn-send plan=basis"] == Approx(3 * 4.8 - 0.48));
    CHECK(all["slatejunction_request_duration_seconds_bucket class=risk-read outcome=served le=0.25"] == 0);
    CHECK(all["slatejunction_request_duration_seconds_bucket class=risk-read outcome=served le=0.5"] == 1);
    CHECK(all["slatejunction_request_duration_seconds_bucket class=risk-read outcome=served le=1.5"] == 1);
    CHECK(all["slatejunction_request_duration_seconds_bucket class=warn-send outcome=failed le=1.5"] == 1);
    CHECK(all["slatejunction_request_duration_seconds_bucket class=warn-send outcome=failed le=1"] == 0);
    CHECK(all["slatejunction_request_duration_seconds_count class=warn-send outcome=served"] == 1);
    CHECK(all["slatejunction_request_duration_seconds_sum class=warn-send outcome=served"] == 6);
}

TEST_CASE("rejections, durations and weights agree with the requests for random requests") {
    Measures measures(test_shape(), 1000);
    std::mt19937 random(7);
    for (int i = 0; i < 5000; ++i)
        measures.count_request({random() % 2, random() % 2, static_cast<RequestResult>(random() % 3),
                                random() % 8, 1e-3 * (random() % 20000), 1.0 + random() % 3});
    double requests = 0, refused = 0, refusals = 0, counts = 0, infinite = 0;
    double offered = 0, earned = 0;
    for (const auto& [name, value] : values_by_series(measures)) {
        if (name.starts_with("slatejunction_requests_total")) requests += value;
        if (name.starts_with("slatejunction_requests_total") && name.ends_with("=refused"))
            refused += value;
        if (name.starts_with("slatejunction_refusals_total")) refusals += value;
        if (name.starts_with("slatejunction_request_duration_seconds_count")) counts += value;
        if (name.ends_with("le=+Inf")) infinite += value;
        if (name.starts_with("slatejunction_worth_offered_total")) offered += value;
        if (name.starts_with("slatejunction_worth_served_total")) earned += value;
        if (name.starts_with("slatejunction_worth_lost_total")) earned += value;
    }
    CHECK(requests == 5000);
    CHECK(counts == 5000);
    CHECK(infinite == 5000);
    CHECK(refused == refusals);
    CHECK(offered == Approx(earned));
}

TEST_CASE("counters in a file continue after a restart, also when classes and plans change") {
    const Folder folder;
    {
        Measures measures(test_shape(), 1000, folder.file("counters"));
        measures.count_request({0, 1, RequestResult::served, 0, 0.3, 1});
        measures.set_last_sample_ms(5000);
    }
    Measures::Shape other = test_shape();
    other.plans.erase(other.plans.begin());   // plus is now the first
    other.classes[0].latency_objective_s = 2.5;
    Measures measures(other, 9000, folder.file("counters"));
    auto all = values_by_series(measures);
    CHECK(all["slatejunction_requests_total class=risk-read plan=plus outcome=served"] == 1);
    CHECK(measures.counters().dropped() > 0);
    CHECK(measures.counters().created_ms() == 1000);
    CHECK(measures.last_sample_ms() == 5000);
}
