#include "load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "http/message.hpp"

namespace fakes {

namespace net = slatejunction::net;
namespace http = slatejunction::http;

namespace {

double quantile(std::vector<float>& sorted, double part) {
    if (sorted.empty()) return 0;
    return sorted[std::min(sorted.size() - 1,
                           static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

constexpr double kLinger = 15;   // s after the last request, for its answer

}   // namespace

struct Load::Connection final : net::Protocol {
    explicit Connection(Load& load) : load_(load), parser_(http::Parser::Kind::response) {}

    void begin(Job job) {
        job_ = std::move(job);
        busy_ = true;
        any_ = false;
        if (up_) write();
    }
    void on_open() override {
        up_ = true;
        write();
    }
    std::span<char> receive_buffer() override { return parser_.receive_space(buffer_); }
    void on_bytes(std::size_t size) override {
        const auto keep = shared_from_this();
        buffer_.commit(size);
        any_ = true;
        const http::ParseResult step = parser_.feed(buffer_);
        if (step == http::ParseResult::need_more) return;
        const int status = step == http::ParseResult::done ? parser_.head().status : 0;
        const bool reusable = step == http::ParseResult::done && parser_.head().keep_alive;
        parser_.reset();
        buffer_.clear();
        used_ = true;
        busy_ = false;
        if (reusable)
            load_.idle_.push_back(std::static_pointer_cast<Connection>(keep));
        else
            lose();
        load_.ended(job_, status);
    }
    void on_end(bool) override {
        const auto keep = shared_from_this();
        const bool was_busy = std::exchange(busy_, false);
        lose();
        // A close that crossed a request: the protocol lets it be sent once more, on a new connection.
        if (was_busy && used_ && !any_ && !job_.again) {
            job_.again = true;
            --load_.open_;
            return load_.give(std::move(job_));
        }
        if (was_busy) load_.ended(job_, 0);
    }
    void lose() {
        stream.close();
        std::erase_if(load_.idle_, [&](const auto& one) { return one.get() == this; });
        load_.connections_.erase(std::static_pointer_cast<Connection>(shared_from_this()));
    }
    void write() {
        const std::string_view bytes = job_.bytes;
        if (!stream.send({&bytes, 1})) on_end(false);
    }

    Load& load_;
    net::Stream stream{*this};
    http::Parser parser_;
    http::Buffer buffer_;
    Job job_;
    bool up_ = false, busy_ = false, used_ = false, any_ = false;
};

Load::Load(net::Timers& timers, const LoadSettings& settings, const slatejunction::Settings& platform,
           std::function<void()> done)
    : timers_(timers),
      settings_(settings),
      platform_(platform),
      done_(std::move(done)),
      address_(net::parse_address(settings.target)),
      timer_(timers, [this] { fire(); }),
      progress_(timers, [this] { progress(); }),
      random_(settings.seed) {}

void Load::start() {
    started_ = due_ = net::now();
    if (settings_.progress_s > 0) progress_.arm(started_ + settings_.progress_s);
    if (settings_.one_by_one > 0) return give(make());
    next();
}

void Load::next() {
    due_ += std::exponential_distribution<double>(settings_.rate)(random_);
    timer_.arm(due_);
}

void Load::fire() {
    const double now = net::now();
    while (!over_ && due_ <= now) {
        if (due_ > started_ + settings_.seconds) {
            over_ = true;
            break;
        }
        Job job = make();
        if (open_ < settings_.most_open)
            give(std::move(job));
        else
            ++unsent_;
        next();
    }
    if (over_) {
        timer_.arm(due_ + kLinger);
        if (now >= due_ + kLinger)
            while (!connections_.empty()) (*connections_.begin())->on_end(false);
        maybe_done();
    }
}

Load::Job Load::make() {
    Job job;
    job.at = due_;
    job.id = settings_.prefix + std::to_string(++numbers_);
    const std::uint64_t customer = 1 + random_() % settings_.customers;
    const auto& plans = platform_.plans;
    job.plan = plans.empty() ? "none" : plans[customer % plans.size()].name;
    const bool write = std::uniform_real_distribution<double>(0, 1)(random_) < settings_.write_part;
    const slatejunction::ServiceClass* service = &platform_.classes.front();
    for (const auto& one : platform_.classes)
        if ((one.idempotency != slatejunction::Idempotency::idempotent) == write) service = &one;
    job.service_class = service->name;
    const bool pure = service->idempotency == slatejunction::Idempotency::idempotent;
    const auto gateways = static_cast<unsigned>(std::max(1.0, platform_.ingress_count));
    const int first = settings_.spread > 1 ? static_cast<int>(customer % gateways)
                                           : static_cast<int>(platform_.ingress_index);
    char head[512];
    std::snprintf(head, sizeof head,
                  "%s /%s?customer=%016llx HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n"
                  "X-Class: %s\r\nX-Tier: %s\r\nX-Deadline: %.3f\r\n%s"
                  "X-Call-Terms: units=%g,spread=%u,first=%d\r\n\r\n",
                  pure ? "GET" : "POST", service->name.c_str(), static_cast<unsigned long long>(customer),
                  job.id.c_str(), service->name.c_str(), job.plan.c_str(),
                  service->deadline_s > 0 ? service->deadline_s : 5.0, pure ? "" : "Content-Length: 0\r\n",
                  settings_.units, settings_.spread, first);
    job.bytes = head;
    return job;
}

void Load::give(Job job) {
    ++open_;
    if (!idle_.empty()) {
        const auto connection = std::move(idle_.back());
        idle_.pop_back();
        return connection->begin(std::move(job));
    }
    const auto connection = std::make_shared<Connection>(*this);
    connections_.insert(connection);
    connection->begin(std::move(job));
    if (!connection->stream.dial(address_.get())) connection->on_end(false);
}

void Load::ended(const Job& job, int status) {
    --open_;
    Tally& tally = tallies_[{job.service_class, job.plan}];
    for (Tally* one : {&tally, &all_}) {
        if (status == 200)
            ++one->served;
        else if (status == 429 || status == 503)
            ++one->refused;
        else
            ++one->failed;
    }
    if (status == 200) seconds_.push_back(static_cast<float>(net::now() - job.at));
    if (settings_.one_by_one > 0 && !over_) {
        over_ = numbers_ >= settings_.one_by_one;
        due_ = net::now();
        if (!over_) return give(make());
    }
    if (over_) maybe_done();
}

void Load::maybe_done() {
    if (open_ == 0 && done_) std::exchange(done_, {})();
}

void Load::progress() {
    const double at = net::now() - started_;
    std::fprintf(stderr, "%6.1f s: %llu served, %llu refused, %llu failed, %llu open\n", at,
                 static_cast<unsigned long long>(all_.served - printed_.served),
                 static_cast<unsigned long long>(all_.refused - printed_.refused),
                 static_cast<unsigned long long>(all_.failed - printed_.failed),
                 static_cast<unsigned long long>(open_));
    printed_ = all_;
    if (!over_) progress_.arm(net::now() + settings_.progress_s);
}

std::string Load::summary() const {
    auto sorted = seconds_;
    std::sort(sorted.begin(), sorted.end());
    char text[256];
    std::snprintf(
        text, sizeof text,
        "{\"served\":%llu,\"refused\":%llu,\"failed\":%llu,\"unsent\":%llu,\"p50_s\":%.6f,"
        "\"p90_s\":%.6f,\"p99_s\":%.6f,\"max_s\":%.6f,\"by\":[",
        static_cast<unsigned long long>(all_.served), static_cast<unsigned long long>(all_.refused),
        static_cast<unsigned long long>(all_.failed), static_cast<unsigned long long>(unsent_),
        quantile(sorted, 0.5), quantile(sorted, 0.9), quantile(sorted, 0.99), quantile(sorted, 1));
    std::string all = text;
    for (const auto& [key, tally] : tallies_) {
        std::snprintf(
            text, sizeof text,
            "%s{\"class\":\"%s\",\"plan\":\"%s\",\"served\":%llu,\"refused\":%llu,\"failed\":%llu}",
            all.back() == '[' ? "" : ",", key.first.c_str(), key.second.c_str(),
            static_cast<unsigned long long>(tally.served), static_cast<unsigned long long>(tally.refused),
            static_cast<unsigned long long>(tally.failed));
        all += text;
    }
    return all + "]}";
}

void Load::report() const {
    auto sorted = seconds_;
    std::sort(sorted.begin(), sorted.end());
    std::printf("%-12s %-10s %9s %9s %9s\n", "class", "plan", "served", "refused", "failed");
    for (const auto& [key, tally] : tallies_)
        std::printf("%-12s %-10s %9llu %9llu %9llu\n", key.first.c_str(), key.second.c_str(),
                    static_cast<unsigned long long>(tally.served),
                    static_cast<unsigned long long>(tally.refused),
                    static_cast<unsigned long long>(tally.failed));
    std::printf("%-12s %-10s %9llu %9llu %9llu\n", "all", "", static_cast<unsigned long long>(all_.served),
                static_cast<unsigned long long>(all_.refused),
                static_cast<unsigned long long>(all_.failed));
    std::printf("latency of those served: p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, longest %.1f ms\n",
                1e3 * quantile(sorted, 0.5), 1e3 * quantile(sorted, 0.9), 1e3 * quantile(sorted, 0.99),
                1e3 * quantile(sorted, 1));
}

}   // namespace fakes
