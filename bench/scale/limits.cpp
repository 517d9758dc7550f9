// Fleet limits: whole fleets of rooms, and one room among N that are none (they own keys and answer, and
// report as N would), each ingress asked 257 times a second over the tenants that come with its size.
#include <algorithm>
#include <deque>
#include <random>

#include "duties.hpp"
#include "fleet.hpp"
#include "fleet_rate_limit.pb.h"
#include "names.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kRequests = 257;                         // a second, at each ingress at the peak
constexpr double kTenants = 150'000.0 / 7000;             // for each ingress
constexpr fleet_rate_limit::LimitSpec kSpec{20, 40, 1};   // a tenant asks 12 times a second
constexpr std::uint32_t kLimit = 1;
constexpr double kRoundTrip = 0.07;   // s; about the mean between regions

std::size_t keys_of(std::size_t n) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(kTenants * static_cast<double>(n)));
}

void whole(const Run& run) {
    Table table{"limits",
                {"ingresses", "datagrams_s_each", "bytes_s_each", "most_bytes_s", "cpu_us_s_each",
                 "cpu_us_a_request", "passed_part", "resident_kb_each"},
                {}};
    for (const std::size_t n : run.sizes({10, 30, 100, 300, 1000}, 100)) {
        Plan plan;
        plan.ingresses = n;
        plan.membership = false;
        plan.requests_s = kRequests;
        plan.keys = keys_of(n);
        plan.limit = kSpec;
        const std::size_t before = allocated();
        Fleet fleet(plan, 1);
        fleet.limit_wall(run.wall_s);
        fleet.run(3);
        const Spent from = fleet.total();
        std::vector<double> bytes;
        for (std::size_t i = 0; i < n; ++i) bytes.push_back(fleet.spent(i).all_bytes());
        const std::uint64_t asked = fleet.asked(), passed = fleet.passed();
        const double s = run.quick ? 2 : 4;
        if (!fleet.run(3 + s)) break;
        const Spent to = fleet.total();
        double most = 0;
        for (std::size_t i = 0; i < n; ++i) most = std::max(most, fleet.spent(i).all_bytes() - bytes[i]);
        const auto d = static_cast<std::size_t>(Duty::limits);
        const double each = static_cast<double>(n) * s,
                     requests = static_cast<double>(fleet.asked() - asked);
        const double cpu = to.cpu_s[d] - from.cpu_s[d];
        table.add({static_cast<double>(n), static_cast<double>(to.datagrams[d] - from.datagrams[d]) / each,
                   (to.of(Duty::limits) - from.of(Duty::limits)) / each, most / s, cpu / each * 1e6,
                   cpu / requests * 1e6, static_cast<double>(fleet.passed() - passed) / requests,
                   static_cast<double>(allocated() - before) / static_cast<double>(n) / 1e3});
        write(run.directory, table);
    }
}

// One real room; time goes on by one request after the other.
class One {
  public:
    explicit One(std::size_t n) : n_(n), keys_(keys_of(n)), names_(names(n)), room_(settings(), 5) {
        room_.define(kLimit, kSpec);
        there_cpu_ = booked(there_s_, [&] { room_.set_alive_members(0, names_); });
    }
    void run(double seconds) {
        const double end = now_ + seconds;
        while (now_ < end) {
            now_ += std::exponential_distribution<double>(kRequests)(random_);
            hear();
            ask();
            report();
            wake();
        }
    }
    // One of the others is gone, and back.
    double change_ms() {
        std::vector<std::string> fewer = names_;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(n_ / 2));
        const double from = cpu_s();
        room_.set_alive_members(now_, fewer);
        const double to = cpu_s();
        room_.set_alive_members(now_, names_);
        room_.take_outgoing();
        return (to - from) * 1e3;
    }
    void forget() { ask_s_ = own_s_ = wake_s_ = 0, asks_ = reports_ = posts_ = 0, bytes_ = 0; }
    double ask_us() const { return ask_s_ / asks_ * 1e6; }
    double report_us() const { return own_s_ / reports_ * 1e6; }
    double wake_us() const { return wake_s_ / asks_ * 1e6; }
    double posts() const { return posts_; }
    double bytes() const { return bytes_; }
    double cpu() const { return ask_s_ + own_s_ + wake_s_; }

  private:
    static std::vector<std::string> names(std::size_t n) {
        std::vector<std::string> all;
        for (std::size_t i = 0; i < n; ++i) all.push_back(ingress_name(i));
        std::sort(all.begin(), all.end());
        return all;
    }
    fleet_rate_limit::Settings settings() const { return {names_[0], names_}; }
    template <class Call>
    double booked(double& account, Call call) {
        const Booked one(meter_, &account);
        call();
        return account;
    }
    void ask() {
        const std::uint64_t key = random_() % keys_;
        booked(ask_s_, [&] {
            if (room_.retry_after_s(now_, kLimit, key, 1) <= 0) room_.consume(now_, kLimit, key, 1);
        });
        asks_ += 1;
        deliver();
    }
    // A report of another for a key that is this one's: as many come as it asks.
    void report() {
        fleet_rate_limit::wire::Batch batch;
        const std::size_t i = 1 + random_() % (n_ - 1);
        batch.set_number(++numbers_);
        fleet_rate_limit::wire::Item& item = *batch.add_item();
        item.set_limit(kLimit);
        item.set_key(random_() % keys_ * n_);
        item.set_units(1);
        const std::string body = batch.SerializeAsString();
        bytes_ += static_cast<double>(body.size() + kEnvelope);
        booked(own_s_, [&] { room_.on_datagram(now_, names_[i], 100 + i, body); });
        reports_ += 1;
        deliver();
    }
    void wake() {
        booked(wake_s_, [&] {
            if (room_.next_deadline() <= now_) room_.on_timer(now_);
        });
        deliver();
    }
    void hear() {
        while (!answers_.empty() && answers_.front().at <= now_) {
            const Answer& one = answers_.front();
            bytes_ += static_cast<double>(one.body.size() + kEnvelope);
            booked(ask_s_, [&] { room_.on_datagram(now_, one.from, 99, one.body); });
            answers_.pop_front();
            deliver();
        }
    }
    // What it reports is answered after kRoundTrip; what it answers is heard.
    void deliver() {
        for (const auto& post : room_.take_outgoing()) {
            posts_ += 1;
            bytes_ += static_cast<double>(post.body.size() + kEnvelope);
            fleet_rate_limit::wire::Batch said;
            if (!said.ParseFromString(post.body) || said.answer()) continue;
            said.set_answer(true);
            for (int i = 0; i < said.item_size(); ++i) {
                said.mutable_item(i)->set_level(kSpec.burst);
                said.mutable_item(i)->set_knows(true);
                said.mutable_item(i)->clear_units();
            }
            answers_.push_back({now_ + kRoundTrip, post.to, said.SerializeAsString()});
        }
    }

    const std::size_t n_, keys_;
    const std::vector<std::string> names_;
    std::mt19937_64 random_{11};
    Meter meter_;
    fleet_rate_limit::RateLimitNode room_;
    struct Answer {
        double at;
        std::string from, body;
    };
    std::deque<Answer> answers_;
    std::uint64_t numbers_ = 0;
    double now_ = 1, there_s_ = 0, there_cpu_ = 0;
    double ask_s_ = 0, own_s_ = 0, wake_s_ = 0, asks_ = 0, reports_ = 0, posts_ = 0, bytes_ = 0;
};

void single(const Run& run) {
    Table table{"limits_one",
                {"ingresses", "ask_us", "report_us", "wake_us", "cpu_us_s", "datagrams_s", "bytes_s",
                 "who_is_there_changes_ms", "resident_kb"},
                {}};
    for (const std::size_t n : run.sizes({10, 30, 100, 300, 1000, 3000, 7000}, 300)) {
        const std::size_t before = allocated();
        One one(n);
        const double s = run.quick ? 5 : 20;
        one.run(s);
        one.forget();
        one.run(s);
        const double kb = static_cast<double>(allocated() - before) / 1e3;
        table.add({static_cast<double>(n), one.ask_us(), one.report_us(), one.wake_us(),
                   one.cpu() / s * 1e6, one.posts() / s, one.bytes() / s, one.change_ms(), kb});
        write(run.directory, table);
    }
}

}   // namespace

void limits(const Run& run) {
    single(run);
    whole(run);
}

}   // namespace slatejunction::scale
