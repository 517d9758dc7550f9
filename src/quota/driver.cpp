#include "quota/driver.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

namespace slatejunction::quota {
namespace {

constexpr double kReplyTimeoutS = 2;   // without a reply, until a connection is closed
constexpr double kNoDeadlineS = 1e18;
constexpr double kMinSetTotal = 0.5;   // the incarnation entry holds an integer, and 0 while it is not set
constexpr std::size_t kReceiveBufferBytes = 8192;

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}   // namespace

struct Driver::Connection final : net::Protocol {
    Connection(Driver& driver, std::size_t shard)
        : driver_(driver),
          shard_(shard),
          protocol_(driver.options_.protocol == 0 ? http_counter_protocol(driver.shards_[shard])
                                                  : resp_counter_protocol()) {}

    void call(const CounterCall& call) {
        if (idle()) last_reply_at_s = net::now();
        protocol_->write(call, unsent_bytes_);
        unsent_calls_.push_back(call.id);
    }
    // Sends all unsent calls in one write.
    void flush() {
        if (connecting || unsent_calls_.empty()) return;
        // From here on the calls may reach the counter, even if the connection fails.
        sent_calls_.insert(sent_calls_.end(), unsent_calls_.begin(), unsent_calls_.end());
        unsent_calls_.clear();
        const std::string bytes = std::exchange(unsent_bytes_, {});
        const std::string_view buffer = bytes;
        if (!stream.send({&buffer, 1})) on_end(false);
    }
    void on_open() override {
        connecting = false;
        flush();
    }
    std::span<char> receive_buffer() override { return receive_buffer_; }
    void on_bytes(std::size_t size) override {
        const auto self = shared_from_this();
        std::vector<Reply> replies;
        const ProtocolStatus status = protocol_->parse({receive_buffer_, size}, replies);
        if (!replies.empty()) last_reply_at_s = net::now();
        for (const Reply& reply : replies) {
            if (sent_calls_.empty()) return on_end(false);   // a reply without a call
            const std::uint64_t id = sent_calls_.front();
            sent_calls_.pop_front();
            if (reply.added)
                driver_.shared_quota_.on_reply(driver_.now(), id, reply.total);
            else
                driver_.shared_quota_.on_rejected(driver_.now(), id);
        }
        if (status == ProtocolStatus::violated || protocol_->connection_closing())
            return on_end(status == ProtocolStatus::ok);
        driver_.pump();
    }
    void on_end(bool) override {
        const auto self = shared_from_this();
        close();
        driver_.pump();
    }
    void close() {
        stream.close();
        connecting = false;
        if (driver_.connections_[shard_].get() == this) driver_.connections_[shard_].reset();
        const double now = driver_.now();
        for (const std::uint64_t id : std::exchange(sent_calls_, {}))
            driver_.shared_quota_.on_unknown_result(now, id);
        for (const std::uint64_t id : std::exchange(unsent_calls_, {}))
            driver_.shared_quota_.on_rejected(now, id);
    }
    bool idle() const { return sent_calls_.empty() && unsent_calls_.empty(); }
    bool timed_out(double now) const { return !idle() && now - last_reply_at_s > kReplyTimeoutS; }
    double reply_deadline_s() const { return idle() ? kNoDeadlineS : last_reply_at_s + kReplyTimeoutS; }

    Driver& driver_;
    const std::size_t shard_;
    net::Stream stream{*this};
    std::unique_ptr<CounterProtocol> protocol_;
    std::string unsent_bytes_;
    std::deque<std::uint64_t> sent_calls_;     // ids of sent calls without a reply, in their order
    std::deque<std::uint64_t> unsent_calls_;   // ids of the calls in unsent_bytes_
    double last_reply_at_s = 0;
    bool connecting = false;
    char receive_buffer_[kReceiveBufferBytes];
};

Driver::Driver(const Options& options, const Settings& settings, std::uint64_t seed, net::Timers& timers,
               Log& log)
    : options_(options),
      shards_(options.shards()),
      shared_quota_(settings, seed),
      timers_(timers),
      log_(log),
      timer_(timers, [this] { on_timer(); }),
      connections_(settings.shards),
      logged_unreachable_(settings.shards),
      unix_offset_s_(unix_s() - net::now()) {
    for (const std::string& shard : shards_) addresses_.push_back(net::parse_address(shard));
}

Driver::~Driver() {
    for (const auto& connection : connections_)
        if (connection) connection->stream.close();
}

double Driver::now() const { return unix_offset_s_ + net::now(); }

void Driver::start() { on_timer(); }

bool Driver::reload(const Options& options) {
    Options reloaded = options_;
    reloaded.counter = options.counter;
    reloaded.protocol = options.protocol;
    const bool same_shard_count = options.shards().size() == shards_.size();
    if (same_shard_count && reloaded != options_) {
        options_ = reloaded;
        shards_ = options.shards();
        addresses_.clear();
        for (const std::string& shard : shards_) addresses_.push_back(net::parse_address(shard));
        for (std::size_t shard = 0; shard < connections_.size(); ++shard)
            if (const auto connection = connections_[shard]) connection->close();
        pump();
    }
    return options == options_;
}

double Driver::retry_after_s(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units) {
    const double wait = shared_quota_.retry_after_s(now(), customer, plan, ingresses, units);
    if (shared_quota_.has_calls()) pump();
    return wait;
}

void Driver::consume(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units) {
    shared_quota_.consume(now(), customer, plan, ingresses, units);
    if (shared_quota_.has_calls() || shared_quota_.next_deadline() - unix_offset_s_ < timer_deadline_s_)
        pump();
}

void Driver::join_fleet(FleetCallbacks fleet) {
    fleet_ = std::move(fleet);
    incarnation_.emplace(static_cast<unsigned>(shards_.size()));
    logged_generation_.assign(shards_.size(), -1);
}

void Driver::on_leadership_change(bool is_leader) {
    incarnation_->on_leadership_change(now(), is_leader);
    pump();
}

void Driver::on_message(std::string_view body) {
    const auto message = parse_incarnation_message(body);
    if (!message) return;
    incarnation_->on_message(now(), *message);
    pump();
}

// Passes the detected losses and incarnation reads of SharedQuota to CounterIncarnation, and the confirmed
// losses and calls of CounterIncarnation back.
void Driver::exchange_incarnation_events() {
    for (const unsigned shard : shared_quota_.take_detected_losses())
        incarnation_->on_local_loss(now(), shard);
    for (const auto& read : shared_quota_.take_incarnation_reads()) {
        incarnation_->on_read(now(), read.shard, read.generation, read.total);
        if (read.total < kMinSetTotal ||
            std::exchange(logged_generation_[read.shard], read.generation) == read.generation)
            continue;
        const std::pair<std::string_view, std::string> fields[] = {
            {"part", std::to_string(read.shard)}, {"generation", std::to_string(read.generation)}};
        log_.event("sentinel_seen", fields);
    }
    for (const unsigned shard : incarnation_->take_confirmed_losses())
        shared_quota_.on_counter_state_lost(now(), shard);
    for (const auto& add : incarnation_->take_adds())
        if (add.amount == 0 || fleet_.leader_may_act())
            shared_quota_.add_to_incarnation(now(), add.shard, add.generation, add.amount);
    for (const auto& outgoing : incarnation_->take_outgoing())
        fleet_.send(outgoing.broadcast, serialize(outgoing.message));
}

void Driver::pump() {
    if (incarnation_) exchange_incarnation_events();
    send_calls();
    arm_timer();
    log_counter_state();
}

void Driver::send_calls() {
    // A call that fails at once may cause other calls. These wait for the next timer, so that the loop
    // ends.
    for (const CounterCall& call : shared_quota_.take_calls()) {
        ++calls_sent_;
        auto& connection = connections_[call.shard];
        if (!connection) {
            connection = std::make_shared<Connection>(*this, call.shard);
            connection->connecting = true;
            if (!connection->stream.dial(addresses_[call.shard].get())) {
                connection.reset();
                shared_quota_.on_rejected(now(), call.id);
                continue;
            }
        }
        connection->call(call);
    }
    for (std::size_t shard = 0; shard < connections_.size(); ++shard)
        if (const auto connection = connections_[shard]) connection->flush();
}

void Driver::arm_timer() {
    double next = shared_quota_.next_deadline() - unix_offset_s_;
    if (incarnation_) next = std::min(next, incarnation_->next_deadline() - unix_offset_s_);
    for (const auto& connection : connections_)
        if (connection) next = std::min(next, connection->reply_deadline_s());
    timer_deadline_s_ = next;
    timer_.arm(next);
}

void Driver::on_timer() {
    for (std::size_t shard = 0; shard < connections_.size(); ++shard)
        if (const auto connection = connections_[shard]; connection && connection->timed_out(net::now()))
            connection->close();
    if (shared_quota_.next_deadline() <= now()) shared_quota_.on_timer(now());
    if (incarnation_ && incarnation_->next_deadline() <= now()) incarnation_->on_timer(now());
    pump();
}

void Driver::log_counter_state() {
    for (std::size_t shard = 0; shard < logged_unreachable_.size(); ++shard) {
        const bool unreachable = shared_quota_.unreachable(static_cast<unsigned>(shard));
        if (unreachable == logged_unreachable_[shard]) continue;
        logged_unreachable_[shard] = unreachable;
        if (unreachable)
            log_.write(Log::Level::warning, net::now(),
                       "quota: the counter at %s is unreachable; admitting from fallback buckets",
                       shards_[shard].c_str());
        else
            log_.write(Log::Level::info, net::now(), "quota: the counter at %s is reachable again",
                       shards_[shard].c_str());
    }
    if (shared_quota_.counter_losses() == logged_losses_) return;
    logged_losses_ = shared_quota_.counter_losses();
    log_.event("counter_emptied", {});
    log_.write(Log::Level::warning, net::now(),
               "quota: the counter lost its state; customers' shared buckets count as empty from now on");
}

}   // namespace slatejunction::quota
