#include "app/fleet_component.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>

#include "app/random_seed.hpp"
#include "lease.pb.h"
#include "lease/boot_clock.hpp"

namespace slatejunction::app {
namespace {

using lease::boot_clock_s;

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::vector<membership::AuthKey> load_keys_or_throw(const operator_config::Options& options) {
    std::vector<membership::AuthKey> keys;
    const std::string why = membership::load_keys(options.membership, keys);
    if (!why.empty()) throw std::runtime_error("[peers] " + why);
    return keys;
}

fleet_counters::CounterValues counter_values(const metrics::Measures& measures) {
    using metrics::Id;
    fleet_counters::CounterValues values{};
    for (std::size_t ending = 0; ending < metrics::kEndings.size(); ++ending)
        values[fleet_counters::served + ending] =
            static_cast<std::uint64_t>(measures.sum(Id::requests, metrics::kEndings.size(), ending));
    values[fleet_counters::weight_offered] = static_cast<std::uint64_t>(
        std::llround(measures.sum(Id::worth_offered) * fleet_counters::kWeightScale));
    values[fleet_counters::weight_served] = static_cast<std::uint64_t>(
        std::llround(measures.sum(Id::worth_served) * fleet_counters::kWeightScale));
    return values;
}

}   // namespace

FleetComponent::FleetComponent(const operator_config::Options& options, const config::Config& config,
                               ingress::Ingress& ingress, telemetry::Telemetry* telemetry,
                               net::Timers& timers, Log& log)
    : options_(options),
      name_(config.name),
      ingress_(ingress),
      log_(log),
      peers_(membership::settings_of(options.membership, config.name, config.settings.zone,
                                     SLATEJUNCTION_VERSION),
             load_keys_or_throw(options), draw_process(), config.seed, timers, log),
      telemetry_(telemetry),
      timer_(timers, [this] { on_timer(); }) {
    ingress_.register_extension(static_cast<ingress::AdminCallExtension&>(*this));
    ingress_.register_extension(static_cast<ingress::StateTransfer&>(*this));
    if (telemetry) telemetry->join([this](metrics::Measures& measures) { count(measures); });
    if (!options.lease.on()) return;
    make_leases(config, timers);
    if (leases_->settings().acceptors.members().contains(config.name)) make_registers();
    peers_.listen(membership::Channel::registers, [this](const membership::ReceivedMessage& message) {
        on_register_message(message.from, message.body);
    });
    if (options.fleet_counters.on()) make_fleet_counters(config, timers);
    for (const std::string& line : lease::describe_bounds(options.lease))
        log_.write(Log::Level::info, net::now(), "%s", line.c_str());
}

void FleetComponent::make_leases(const config::Config& config, net::Timers& timers) {
    const operator_config::Options& options = options_;
    const auto settings = lease::settings_of(options.lease, config.name);
    const bool votes = settings.acceptors.members().contains(config.name);
    if (votes && !options.metrics.directory.empty()) {
        acceptor_storage_ = std::make_unique<lease::FileAcceptorStorage>(options.metrics.directory);
        if (!acceptor_storage_->quarantined_path().empty())
            log_.write(Log::Level::error, net::now(),
                       "lease: a broken file was put aside as %s; the voter waits",
                       acceptor_storage_->quarantined_path().c_str());
    }
    // Used even with a state directory, which may be lost: then only the clock bounds earlier tokens.
    const std::uint64_t floor = unix_ms();
    leases_ = std::make_unique<lease::LeaseNode>(
        settings, peers_.process(), config.seed ^ peers_.process(), boot_clock_s(), floor,
        acceptor_storage_ ? acceptor_storage_->restored() : nullptr, acceptor_storage_.get());
    peers_.listen(membership::Channel::lease, [this](const membership::ReceivedMessage& message) {
        leases_->receive(boot_clock_s(), message.from, message.body);
        pump();
    });
    if (!options.lease.announce_url.empty())
        holder_webhook_ = std::make_unique<lease::HolderWebhook>(
            options.lease.announce_url, options.lease.announce_every_s, config.name,
            options.lease.times.max_action_s,
            [this](lease::Permit& permit) { return leader_may_act(permit); }, timers, log_);
}

void FleetComponent::make_registers() {
    if (!options_.metrics.directory.empty())
        register_storage_ = std::make_unique<lease::FileRegisterStorage>(options_.metrics.directory);
    const auto* const stored = register_storage_ ? register_storage_->restored() : nullptr;
    registers_ = std::make_unique<lease::RegisterAcceptor>(
        stored != nullptr, stored ? *stored : lease::RegisterAcceptor::Registers{});
    if (register_storage_ && !register_storage_->quarantined_path().empty())
        log_.write(Log::Level::error, net::now(), "lease: a broken file was put aside as %s",
                   register_storage_->quarantined_path().c_str());
}

void FleetComponent::make_fleet_counters(const config::Config& config, net::Timers& timers) {
    fleet_counters::Driver::Callbacks callbacks;
    callbacks.counter_values = [this, before = counter_values(telemetry_->measures())] {
        auto now = counter_values(telemetry_->measures());
        for (std::size_t i = 0; i < now.size(); ++i) now[i] -= before[i];   // counted by an earlier process
        return now;
    };
    callbacks.holder = [this] { return leader_name(); };
    callbacks.may_write_rows = [this] {
        lease::Permit permit;
        return leader_may_act(permit);
    };
    callbacks.send_report = [this](const std::string& to, const std::string& body) {
        peers_.send(to, membership::Channel::fleet_counters, body);
    };
    callbacks.send_register_message = [this](const std::string& to, const std::string& body) {
        if (to != name_) return void(peers_.send(to, membership::Channel::registers, body));
        lease::RegisterMessage message, answer;
        if (lease::decode(body, message) && answer_register(message, answer))
            fleet_counters_->on_register_message(name_, answer);
    };
    fleet_counters_ = std::make_unique<fleet_counters::Driver>(
        options_.fleet_counters, options_.remote_write, name_, peers_.process(), options_.lease.times,
        leases_->settings().acceptors, config.seed, SLATEJUNCTION_VERSION, std::move(callbacks), timers,
        log_);
    peers_.listen(membership::Channel::fleet_counters, [this](const membership::ReceivedMessage& message) {
        fleet_counters_->on_report_message(message.from, message.body);
    });
    log_.write(Log::Level::info, net::now(), "%s",
               fleet_counters::describe_bounds(options_.fleet_counters, options_.lease.times).c_str());
}

void FleetComponent::start() {
    peers_.start();
    if (!leases_) return;
    leases_->campaign(boot_clock_s(), kConductor);
    if (fleet_counters_) fleet_counters_->start();
    pump();
}

bool FleetComponent::leader_may_act(lease::Permit& permit) const {
    return leases_ && leases_->permit(boot_clock_s(), kConductor, permit);
}

void FleetComponent::on_membership_change(std::function<void(const std::vector<std::string>&)> call) {
    const auto notify = [this, call = std::move(call)] {
        std::vector<std::string> alive;
        for (const membership::Member& one : peers_.members().list())
            if (one.state == membership::MemberState::alive ||
                one.state == membership::MemberState::suspected)
                alive.push_back(one.name);
        std::sort(alive.begin(), alive.end());
        call(alive);
    };
    notify();
    peers_.on_change([notify](const membership::MemberChange&) { notify(); });
}

void FleetComponent::broadcast(membership::Channel channel, std::string_view body) {
    for (const membership::Member& one : peers_.members().list())
        if (one.name != name_ && one.state != membership::MemberState::departed)
            peers_.send(one.name, channel, body);
}

std::string FleetComponent::leader_name() const {
    if (!leases_) return {};
    for (const lease::LeaseStatus& one : leases_->statuses())
        if (one.lease == kConductor)
            return one.state == lease::Candidate::State::held ? name_ : one.other_holder;
    return {};
}

// An acceptor that waits for grants it may have forgotten answers no register message either.
bool FleetComponent::answer_register(const lease::RegisterMessage& message,
                                     lease::RegisterMessage& answer) {
    const lease::Acceptor* const acceptor = leases_->acceptor();
    if (departed_ || !registers_ || !acceptor || !acceptor->is_voting(boot_clock_s())) return false;
    if (message.epoch < acceptor->epoch() || !registers_->receive(message, answer)) return false;
    answer.epoch = acceptor->epoch();
    if (!register_storage_ || registers_->revision() == registers_saved_) return true;
    if (!register_storage_->save(registers_->registers())) {
        if (!std::exchange(save_failure_logged_, true))
            log_.write(Log::Level::error, net::now(), "lease: a voter's note can't be written: %s",
                       register_storage_->last_error().c_str());
        return false;
    }
    registers_saved_ = registers_->revision();
    return true;
}

void FleetComponent::on_register_message(const std::string& from, std::string_view body) {
    using Kind = lease::RegisterMessage::Kind;
    lease::RegisterMessage message, answer;
    if (!lease::decode(body, message)) return;
    if (message.kind != Kind::read && message.kind != Kind::write) {
        if (fleet_counters_) fleet_counters_->on_register_message(from, message);
        return;
    }
    if (answer_register(message, answer))
        peers_.send(from, membership::Channel::registers, lease::encode(answer));
}

void FleetComponent::stop(double, std::function<void()> done) {
    on_process_leaving();
    log_.event("ended", {});
    done();
}

// Releases the leader lease at the acceptors. A drain slot is not released: it expires by itself, as the
// process stays down until it is started again.
void FleetComponent::on_process_leaving() {
    if (departed_) return;
    if (fleet_counters_) fleet_counters_->stop();
    departed_ = true;
    if (holder_webhook_) holder_webhook_->set_held(false);
    if (leases_) {
        leases_->release(boot_clock_s(), kConductor);
        pump();
    }
    timer_.disarm();
    peers_.leave();
}

// Transfers the held leases to the new process of a hot restart: this one acts no more.
std::string FleetComponent::serialize_state() {
    if (!leases_ || departed_) return {};
    if (holder_webhook_) holder_webhook_->set_held(false);
    if (fleet_counters_) fleet_counters_->stop();
    lease::wire::Holds all;
    for (const auto& hold : leases_->export_holds(boot_clock_s())) {
        lease::wire::Hold& one = *all.add_hold();
        one.set_lease(hold.lease);
        one.set_holder(hold.holder);
        one.set_round(hold.round);
        one.set_number(hold.fencing_token);
        one.set_until(hold.valid_until);
        one.set_since(hold.held_since);
    }
    const lease::Acceptor* const acceptor = leases_->acceptor();
    if (acceptor && acceptor->is_voting(boot_clock_s())) {
        lease::encode({acceptor->epoch(), acceptor->grants()}, *all.mutable_voter());
        if (registers_ && registers_->storage_intact())
            lease::encode(registers_->registers(), *all.mutable_notes());
    }
    on_process_leaving();
    return all.SerializeAsString();
}

void FleetComponent::restore_state(std::string_view what) {
    lease::wire::Holds all;
    if (!leases_ || !all.ParseFromArray(what.data(), static_cast<int>(what.size()))) return;
    std::vector<lease::Candidate::HeldLease> holds;
    for (const lease::wire::Hold& one : all.hold()) {
        holds.push_back({one.lease(), one.holder(), one.round(), one.number(), one.until(), one.since()});
        if (one.lease().starts_with(drain_lease_name()) && !leases_->campaigning(drain_lease_name())) {
            draining_ = drained_ = true;
            leases_->campaign(boot_clock_s(), drain_lease_name(),
                              static_cast<unsigned>(options_.lease.max_draining));
        }
    }
    if (all.has_voter()) leases_->restore_acceptor(boot_clock_s(), lease::decode(all.voter()));
    if (all.has_notes() && registers_) registers_->restore(lease::decode(all.notes()));
    leases_->import_holds(boot_clock_s(), holds);
    pump();
}

void FleetComponent::on_timer() {
    if (departed_) return;
    if (leases_->next_deadline() <= boot_clock_s()) leases_->on_timer(boot_clock_s());
    pump();
}

void FleetComponent::pump() {
    if (!leases_ || std::exchange(pumping_, true)) return;
    for (bool more = true; more;) {
        more = false;
        for (const auto& message : leases_->take_outgoing())
            peers_.send(message.to, membership::Channel::lease, message.body);
        for (const auto& event : leases_->take_events()) {
            more = true;
            on_lease_event(event);
        }
    }
    pumping_ = false;
    if (leases_->failed_saves() > 0 && !std::exchange(save_failure_logged_, true))
        log_.write(Log::Level::error, net::now(),
                   "lease: the voter's memory can't be written, it does not vote: %s",
                   acceptor_storage_->last_error().c_str());
    if (const double next = leases_->next_deadline(); next < 1e17 && !departed_)
        timer_.arm(net::now() + std::max(0.0, next - boot_clock_s()));
    else
        timer_.disarm();
}

void FleetComponent::on_lease_event(const lease::LeaseEvent& event) {
    using What = lease::LeaseEvent::Kind;
    static constexpr const char* kEventNames[] = {"gained", "lost", "renumbered", "adopted"};
    const char* const what = kEventNames[static_cast<std::size_t>(event.kind)];
    log_.write(Log::Level::info, net::now(), "lease: %s %s, number %llu", event.lease.c_str(), what,
               static_cast<unsigned long long>(event.fencing_token));
    const std::pair<std::string_view, std::string> fields[] = {
        {"lease", event.lease},
        {"slot", std::to_string(event.slot)},
        {"number", std::to_string(event.fencing_token)}};
    log_.event(what, fields);
    if (event.lease == kConductor && holder_webhook_ && event.kind != What::token_changed)
        holder_webhook_->set_held(event.kind != What::lost);
    if (event.lease == kConductor && event.kind != What::token_changed)
        for (const auto& call : leadership_callbacks_) call(event.kind != What::lost);
    if (event.lease == kConductor && fleet_counters_)
        fleet_counters_->on_lease_held(event.kind == What::lost ? 0 : event.fencing_token);
    if (event.lease == drain_lease_name() && event.kind == What::gained) on_drain_slot_gained();
    if (event.lease == drain_lease_name() && event.kind == What::lost) on_drain_slot_lost();
}

void FleetComponent::prepare(const operator_config::Options& fresh, config::Config&) {
    prepared_keys_ = fresh.membership.on() ? load_keys_or_throw(fresh) : std::vector<membership::AuthKey>{};
}

// Keys, addresses and acceptors apply at once; other changes after the next start.
std::string FleetComponent::apply(const operator_config::Options& fresh) {
    if (!prepared_keys_.empty()) peers_.set_keys(prepared_keys_);
    prepared_keys_.clear();
    auto comparable = fresh.membership;
    comparable.address_overrides = options_.membership.address_overrides;
    comparable.key_file = options_.membership.key_file;
    auto lease = fresh.lease;
    lease.acceptors = options_.lease.acceptors;
    lease.previous_acceptors = options_.lease.previous_acceptors;
    lease.epoch = options_.lease.epoch;
    const bool later = comparable != options_.membership || lease != options_.lease;
    if (fresh.membership.on())
        peers_.members().set_address_overrides(membership::settings_of(fresh.membership, name_,
                                                                       peers_.members().self().site,
                                                                       SLATEJUNCTION_VERSION)
                                                   .address_overrides);
    options_.membership.address_overrides = fresh.membership.address_overrides;
    if (leases_ && fresh.lease.on()) {
        leases_->set_acceptors(boot_clock_s(), lease::settings_of(fresh.lease, name_).acceptors);
        if (fleet_counters_) fleet_counters_->set_acceptors(leases_->settings().acceptors);
        options_.lease.acceptors = fresh.lease.acceptors;
        options_.lease.previous_acceptors = fresh.lease.previous_acceptors;
        options_.lease.epoch = fresh.lease.epoch;
        pump();
    }
    return later ? "peers, lease" : "";
}

}   // namespace slatejunction::app
