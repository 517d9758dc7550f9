#include "quota/driver.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

namespace slatejunction::quota {
namespace {

constexpr double kSilentMost = 2;   // s without an answer after which a connection is given up
constexpr std::size_t kReadAtOnce = 8192;

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}   // namespace

struct Driver::Link final : net::Protocol {
    Link(Driver& driver, std::size_t part)
        : driver_(driver),
          part_(part),
          wire_(driver.options_.protocol == 0 ? http_counter_protocol(driver.parts_[part])
                                              : resp_counter_protocol()) {}

    void call(const CounterCall& one) {
        if (written_.empty() && waiting_.empty()) heard_at = net::now();
        wire_->write(one, out_);
        waiting_.push_back(one.id);
    }
    // All that waits, in one write.
    void flush() {
        if (dialling || waiting_.empty()) return;
        // From here on they may have reached the counter, whatever becomes of the connection.
        written_.insert(written_.end(), waiting_.begin(), waiting_.end());
        waiting_.clear();
        const std::string bytes = std::exchange(out_, {});
        const std::string_view part = bytes;
        if (!stream.send({&part, 1})) on_end(false);
    }
    void on_open() override {
        dialling = false;
        flush();
    }
    std::span<char> receive_buffer() override { return room_; }
    void on_bytes(std::size_t size) override {
        const auto keep = shared_from_this();
        std::vector<Reply> replies;
        const bool good = wire_->feed({room_, size}, replies);
        if (!replies.empty()) heard_at = net::now();
        for (const Reply& reply : replies) {
            if (written_.empty()) return on_end(false);   // an answer to nothing
            const std::uint64_t id = written_.front();
            written_.pop_front();
            if (reply.added)
                driver_.bank_.on_reply(driver_.now(), id, reply.total);
            else
                driver_.bank_.on_rejected(driver_.now(), id);
        }
        if (!good || wire_->ending()) return on_end(good);
        driver_.pump();
    }
    void on_end(bool) override {
        const auto keep = shared_from_this();
        lose();
        driver_.pump();
    }
    void lose() {
        stream.close();
        dialling = false;
        if (driver_.links_[part_].get() == this) driver_.links_[part_].reset();
        const double now = driver_.now();
        for (const std::uint64_t id : std::exchange(written_, {})) driver_.bank_.on_unknown_result(now, id);
        for (const std::uint64_t id : std::exchange(waiting_, {})) driver_.bank_.on_rejected(now, id);
    }
    bool silent(double now) const {
        return !(written_.empty() && waiting_.empty()) && now - heard_at > kSilentMost;
    }
    double silent_due() const {
        return written_.empty() && waiting_.empty() ? 1e18 : heard_at + kSilentMost;
    }

    Driver& driver_;
    const std::size_t part_;
    net::Stream stream{*this};
    std::unique_ptr<CounterProtocol> wire_;
    std::string out_;
    std::deque<std::uint64_t> written_, waiting_;   // calls
    double heard_at = 0;
    bool dialling = false;
    char room_[kReadAtOnce];
};

Driver::Driver(const Options& options, const Settings& settings, std::uint64_t seed, net::Timers& timers,
               Log& log)
    : options_(options),
      parts_(options.parts()),
      bank_(settings, seed),
      timers_(timers),
      log_(log),
      timer_(timers, [this] { due(); }),
      links_(settings.parts),
      told_lost_(settings.parts),
      unix_at_zero_(unix_s() - net::now()) {
    for (const std::string& one : parts_) addresses_.push_back(net::parse_address(one));
}

Driver::~Driver() {
    for (const auto& link : links_)
        if (link) link->stream.close();
}

double Driver::now() const { return unix_at_zero_ + net::now(); }

void Driver::start() { due(); }

bool Driver::reload(const Options& options) {
    Options moved = options_;
    moved.counter = options.counter;
    moved.protocol = options.protocol;
    const bool as_many = options.parts().size() == parts_.size();
    if (as_many && (moved.counter != options_.counter || moved.protocol != options_.protocol)) {
        options_ = moved;
        parts_ = options.parts();
        addresses_.clear();
        for (const std::string& one : parts_) addresses_.push_back(net::parse_address(one));
        for (std::size_t part = 0; part < links_.size(); ++part)
            if (const auto link = links_[part]) link->lose();
        pump();
    }
    return options == options_;
}

double Driver::retry_after_s(std::uint64_t customer, unsigned plan, IngressSet doors, double units) {
    const double wait = bank_.retry_after_s(now(), customer, plan, doors, units);
    if (bank_.has_calls()) pump();
    return wait;
}

void Driver::consume(std::uint64_t customer, unsigned plan, IngressSet doors, double units) {
    bank_.consume(now(), customer, plan, doors, units);
    if (bank_.has_calls() || bank_.next_deadline() - unix_at_zero_ < armed_for_) pump();
}

void Driver::join_fleet(FleetCallbacks ways) {
    ways_ = std::move(ways);
    sentinel_.emplace(static_cast<unsigned>(parts_.size()));
    seen_.assign(parts_.size(), -1);
}

void Driver::on_leadership_change(bool on) {
    sentinel_->on_leadership_change(now(), on);
    pump();
}

void Driver::on_message(std::string_view body) {
    IncarnationMessage message;
    if (!read(body, message)) return;
    sentinel_->on_message(now(), message);
    pump();
}

// What the bank has found and read goes to the sentinel, what that wants to the bank.
void Driver::pump_sentinel() {
    for (const unsigned part : bank_.take_found_losses()) sentinel_->on_lost(now(), part);
    for (const auto& one : bank_.take_incarnations()) {
        sentinel_->on_read(now(), one.part, one.generation, one.total);
        if (one.total < 0.5 || std::exchange(seen_[one.part], one.generation) == one.generation) continue;
        const std::pair<std::string_view, std::string> fields[] = {
            {"part", std::to_string(one.part)}, {"generation", std::to_string(one.generation)}};
        log_.event("sentinel_seen", fields);
    }
    for (const unsigned part : sentinel_->take_lost()) bank_.on_counter_lost(now(), part);
    for (const auto& add : sentinel_->take_adds())
        if (add.by == 0 || ways_.permit()) bank_.add_incarnation(now(), add.part, add.generation, add.by);
    for (const auto& post : sentinel_->take_outgoing()) ways_.send(post.all, write(post.message));
}

void Driver::pump() {
    if (sentinel_) pump_sentinel();
    // A call that fails at once may bring others: those of the next wake-up, so that this ends.
    for (const CounterCall& call : bank_.take_calls()) {
        ++calls_;
        auto& link = links_[call.part];
        if (!link) {
            link = std::make_shared<Link>(*this, call.part);
            link->dialling = true;
            if (!link->stream.dial(addresses_[call.part].get())) {
                link.reset();
                bank_.on_rejected(now(), call.id);
                continue;
            }
        }
        link->call(call);
    }
    for (std::size_t part = 0; part < links_.size(); ++part)
        if (const auto link = links_[part]) link->flush();
    double next = bank_.next_deadline() - unix_at_zero_;
    if (sentinel_) next = std::min(next, sentinel_->next_deadline() - unix_at_zero_);
    for (const auto& link : links_)
        if (link) next = std::min(next, link->silent_due());
    armed_for_ = next;
    timer_.arm(next);
    tell();
}

void Driver::due() {
    for (std::size_t part = 0; part < links_.size(); ++part)
        if (const auto link = links_[part]; link && link->silent(net::now())) link->lose();
    if (bank_.next_deadline() <= now()) bank_.on_timer(now());
    if (sentinel_ && sentinel_->next_deadline() <= now()) sentinel_->on_timer(now());
    pump();
}

void Driver::tell() {
    for (std::size_t part = 0; part < told_lost_.size(); ++part) {
        const bool lost = bank_.lost(static_cast<unsigned>(part));
        if (lost == told_lost_[part]) continue;
        told_lost_[part] = lost;
        if (lost)
            log_.write(Log::Level::warning, net::now(),
                       "quota: the counter at %s is lost; this ingress keeps to its share",
                       parts_[part].c_str());
        else
            log_.write(Log::Level::info, net::now(), "quota: the counter at %s answers again",
                       parts_[part].c_str());
    }
    if (bank_.counter_losses() == told_empties_) return;
    told_empties_ = bank_.counter_losses();
    log_.event("counter_emptied", {});
    log_.write(Log::Level::warning, net::now(),
               "quota: the counter has lost what it held; customers' stores count as empty from now on");
}

}   // namespace slatejunction::quota
