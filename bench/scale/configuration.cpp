// Files that are read again on a reload: the operator's with N routes, as operator_config::load checks it
// and the rules part compiles it a second time; the platform's with N services and as many contracts. And
// quotas through a shared counter by the customers known.
#include <filesystem>
#include <fstream>
#include <limits>
#include <random>
#include <unordered_map>

#include "config/config.hpp"
#include "duties.hpp"
#include "meter.hpp"
#include "operator_config/options.hpp"
#include "quota/shared_quota.hpp"
#include "rules/rules.hpp"
#include "sample.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kNone = std::numeric_limits<double>::quiet_NaN();

double kb_since(std::size_t before) {
    return (static_cast<double>(allocated()) - static_cast<double>(before)) / 1e3;
}

void operators_file(const Run& run) {
    Table table{"configuration_routes",
                {"routes", "file_kb", "taken", "load_ms", "compile_ms", "options_kb", "rules_kb",
                 "resident_growth_kb"},
                {}};
    const std::string path = run.directory + "/operator.ini.tmp";
    for (const std::size_t n : run.sizes({10, 100, 300, 1000, 3000, 10'000, 30'000}, 1000)) {
        const std::string text = operator_text(n, 10);
        std::ofstream(path) << text;
        const std::size_t before = allocated(), resident_before = resident();
        operator_config::Options options;
        const double from = cpu_s();
        const auto faults = operator_config::load(path, options);
        const double load_ms = (cpu_s() - from) * 1e3;
        const double options_kb = kb_since(before);
        const std::size_t compiled_from = allocated();
        const double compile_from = cpu_s();
        std::vector<std::string> more;
        std::unique_ptr<rules::Rules> made;
        if (faults.empty()) made = rules::Rules::load(options.rules, {"n0", "zone-1"}, more);
        const double compile_ms = (cpu_s() - compile_from) * 1e3;
        const double grown = (static_cast<double>(resident()) - static_cast<double>(resident_before)) / 1e3;
        table.add({static_cast<double>(n), static_cast<double>(text.size()) / 1e3,
                   faults.empty() ? 1.0 : 0.0, load_ms, compile_ms, options_kb, kb_since(compiled_from),
                   grown});
        write(run.directory, table);
    }
    std::filesystem::remove(path);
}

std::string platform_text(std::size_t services) {
    std::string text =
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"1\","
        "\"settings\":{\"Balancers\":7000,\"Limits\":{\"AttemptsCap\":3},\"Services\":[";
    for (std::size_t i = 0; i < services; ++i)
        text += (i ? "," : "") + std::string("{\"Name\":\"") + class_name(i) +
                "\",\"AimS\":0.5,\"DeadlineS\":5,\"Effect\":\"pure\",\"Worth\":1}";
    text += "],\"Contracts\":[";
    for (std::size_t i = 0; i < services; ++i)
        text += (i ? "," : "") + std::string("{\"Name\":\"") + plan_name(i) +
                "\",\"UnitsPerS\":10,\"Depth\":20,\"Price\":1}";
    return text + "]}}";
}

void platforms_file(const Run& run) {
    Table table{"configuration_services", {"services", "file_kb", "read_ms", "kb"}, {}};
    for (const std::size_t n : run.sizes({4, 40, 100, 400, 1000, 4000, 20'000}, 400)) {
        const std::string text = platform_text(n);
        const discovery::UnixTimeConverter clock;
        const std::size_t before = allocated();
        const double from = cpu_s();
        const config::Config made = config::read(text, clock);
        const double ms = (cpu_s() - from) * 1e3;
        if (made.settings.classes.size() != n) throw std::runtime_error("services were not taken");
        table.add({static_cast<double>(n), static_cast<double>(text.size()) / 1e3, ms, kb_since(before)});
        write(run.directory, table);
    }
}

}   // namespace

void configuration(const Run& run) {
    operators_file(run);
    platforms_file(run);
}

// One ingress of quota::kMaxIngresses, whose counter answers at once; its calls_per_s is that of the
// operator's file. Each customer is asked for by 257 requests a second, evenly.
void quotas(const Run& run) {
    Table table{"quotas",
                {"customers", "request_us", "calls_s", "resident_kb", "kb_a_customer", "let_pass_part"},
                {}};
    for (const std::size_t n : run.sizes({100, 300, 1000, 3000, 10'000, 30'000, 100'000, 150'000}, 1000)) {
        const std::size_t before = allocated();
        quota::Settings settings;
        settings.plans = {{"basis", 12, 24, 0}};
        settings.ingress_count = quota::kMaxIngresses;
        settings.max_customers = 150'000;
        quota::SharedQuota bank(settings, 1);
        std::unordered_map<std::string, double> counter;
        std::mt19937_64 random(4);
        Meter meter;
        double account = 0, calls = 0, passed = 0, now = 1e6;
        // Twice as many requests as customers, so that nearly all are known.
        const auto requests = std::max<std::size_t>(20'000, 2 * n);
        const double from = now;
        for (std::size_t k = 0; k < requests; ++k) {
            now += std::exponential_distribution<double>(257)(random);
            const std::uint64_t customer = k < n ? k : random() % n;
            std::vector<quota::CounterCall> out;
            {
                const Booked booked(meter, &account);
                if (bank.next_deadline() <= now) bank.on_timer(now);
                if (bank.retry_after_s(now, customer, 0, {0, quota::kMaxIngresses}, 1) <= 0) {
                    bank.consume(now, customer, 0, {0, quota::kMaxIngresses}, 1);
                    bank.release(customer);
                    passed += 1;
                }
                out = bank.take_calls();
            }
            for (const quota::CounterCall& call : out) {
                calls += 1;
                const double total = counter[call.name] += call.amount;
                const Booked booked(meter, &account);
                bank.on_reply(now, call.id, total);
            }
        }
        counter = {};
        const double kb = kb_since(before), count = static_cast<double>(requests);
        table.add({static_cast<double>(n), account / count * 1e6, calls / (now - from), kb,
                   kb / static_cast<double>(bank.customers()), passed / count});
        write(run.directory, table);
    }
}

}   // namespace slatejunction::scale
