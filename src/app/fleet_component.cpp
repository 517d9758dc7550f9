#include "app/fleet_component.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

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
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kQuorum = 3;   // times a grant's life in which a majority must have answered

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::vector<membership::AuthKey> keys_of(const operator_config::Options& options) {
    std::vector<membership::AuthKey> keys;
    const std::string why = membership::load_keys(options.membership, keys);
    if (!why.empty()) throw std::runtime_error("[peers] " + why);
    return keys;
}

fleet_counters::Values sums_of(const metrics::Measures& measures) {
    using metrics::Id;
    fleet_counters::Values values{};
    for (std::size_t ending = 0; ending < metrics::kEndings.size(); ++ending)
        values[fleet_counters::served + ending] =
            static_cast<std::uint64_t>(measures.sum(Id::requests, metrics::kEndings.size(), ending));
    values[fleet_counters::weight_offered] = static_cast<std::uint64_t>(
        std::llround(measures.sum(Id::worth_offered) * fleet_counters::kWeightScale));
    values[fleet_counters::weight_served] = static_cast<std::uint64_t>(
        std::llround(measures.sum(Id::worth_served) * fleet_counters::kWeightScale));
    return values;
}

void text(Json& json, const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}   // namespace

FleetPart::FleetPart(const operator_config::Options& options, const config::Config& config,
                     ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers,
                     Log& log)
    : options_(options),
      name_(config.name),
      ingress_(ingress),
      log_(log),
      peers_(membership::settings_of(options.membership, config.name, config.settings.zone,
                                     SLATEJUNCTION_VERSION),
             keys_of(options), draw_process(), config.seed, timers, log),
      telemetry_(telemetry),
      timer_(timers, [this] { wake(); }) {
    ingress_.register_extension(static_cast<ingress::AdminCallExtension&>(*this));
    ingress_.register_extension(static_cast<ingress::StateTransfer&>(*this));
    if (telemetry) telemetry->join([this](metrics::Measures& measures) { count(measures); });
    if (!options.lease.on()) return;
    const auto settings = lease::settings_of(options.lease, config.name);
    const bool votes = settings.acceptors.members().contains(config.name);
    if (votes && !options.metrics.directory.empty()) {
        home_ = std::make_unique<lease::FileAcceptorStorage>(options.metrics.directory);
        if (!home_->quarantined_path().empty())
            log_.write(Log::Level::error, net::now(),
                       "lease: a broken file was put aside as %s; the voter waits",
                       home_->quarantined_path().c_str());
    }
    // Also where numbers are kept: a state directory may be lost, and then nothing else is left to go on
    // from.
    const std::uint64_t floor = unix_ms();
    leases_ = std::make_unique<lease::LeaseNode>(settings, peers_.process(), config.seed ^ peers_.process(),
                                                 boot_clock_s(), floor, home_ ? home_->restored() : nullptr,
                                                 home_.get());
    peers_.listen(membership::Channel::lease, [this](const membership::ReceivedMessage& heard) {
        leases_->receive(boot_clock_s(), heard.from, heard.body);
        pump();
    });
    if (!options.lease.announce_url.empty())
        announce_ = std::make_unique<lease::HolderWebhook>(
            options.lease.announce_url, options.lease.announce_every_s, config.name,
            options.lease.times.max_action_s,
            [this](lease::Permit& permit) { return leader_may_act(permit); }, timers, log);
    if (votes) {
        if (!options.metrics.directory.empty())
            notes_home_ = std::make_unique<lease::FileRegisterStorage>(options.metrics.directory);
        const auto* const kept = notes_home_ ? notes_home_->restored() : nullptr;
        notes_ = std::make_unique<lease::RegisterAcceptor>(
            kept != nullptr, kept ? *kept : lease::RegisterAcceptor::Registers{});
        if (notes_home_ && !notes_home_->quarantined_path().empty())
            log_.write(Log::Level::error, net::now(), "lease: a broken file was put aside as %s",
                       notes_home_->quarantined_path().c_str());
    }
    peers_.listen(membership::Channel::registers,
                  [this](const membership::ReceivedMessage& heard) { hear_note(heard.from, heard.body); });
    if (options.fleet_counters.on()) make_sums(config, timers);
    for (const std::string& line : lease::stated(options.lease))
        log_.write(Log::Level::info, net::now(), "%s", line.c_str());
}

void FleetPart::make_sums(const config::Config& config, net::Timers& timers) {
    fleet_counters::Driver::Callbacks ways;
    ways.values = [this, before = sums_of(telemetry_->measures())] {
        auto now = sums_of(telemetry_->measures());
        for (std::size_t i = 0; i < now.size(); ++i)
            now[i] -= before[i];   // what an earlier process counted
        return now;
    };
    ways.holder = [this] { return leader_name(); };
    ways.permit = [this] {
        lease::Permit permit;
        return leader_may_act(permit);
    };
    ways.send_report = [this](const std::string& to, const std::string& body) {
        peers_.send(to, membership::Channel::fleet_counters, body);
    };
    ways.send_register_message = [this](const std::string& to, const std::string& body) {
        if (to != name_) return void(peers_.send(to, membership::Channel::registers, body));
        lease::RegisterMessage message, answer;
        if (lease::decode(body, message) && keep_note(message, answer))
            sums_->on_register_message(name_, answer);
    };
    sums_ = std::make_unique<fleet_counters::Driver>(
        options_.fleet_counters, options_.remote_write, name_, peers_.process(), options_.lease.times,
        leases_->settings().acceptors, config.seed, SLATEJUNCTION_VERSION, std::move(ways), timers, log_);
    peers_.listen(membership::Channel::fleet_counters, [this](const membership::ReceivedMessage& heard) {
        sums_->on_report_message(heard.from, heard.body);
    });
    log_.write(Log::Level::info, net::now(), "%s",
               fleet_counters::stated(options_.fleet_counters, options_.lease.times).c_str());
}

void FleetPart::start() {
    peers_.start();
    if (!leases_) return;
    leases_->campaign(boot_clock_s(), kConductor);
    if (sums_) sums_->start();
    pump();
}

bool FleetPart::leader_may_act(lease::Permit& permit) const {
    return leases_ && leases_->permit(boot_clock_s(), kConductor, permit);
}

void FleetPart::on_members(std::function<void(const std::vector<std::string>&)> call) {
    const auto tell = [this, call = std::move(call)] {
        std::vector<std::string> there;
        for (const membership::Member& one : peers_.members().list())
            if (one.state == membership::MemberState::alive ||
                one.state == membership::MemberState::suspected)
                there.push_back(one.name);
        std::sort(there.begin(), there.end());
        call(there);
    };
    tell();
    peers_.on_change([tell](const membership::MemberChange&) { tell(); });
}

void FleetPart::broadcast(membership::Channel channel, std::string_view body) {
    for (const membership::Member& one : peers_.members().list())
        if (one.name != name_ && one.state != membership::MemberState::departed)
            peers_.send(one.name, channel, body);
}

std::string FleetPart::leader_name() const {
    if (!leases_) return {};
    for (const lease::LeaseStatus& one : leases_->statuses())
        if (one.lease == kConductor)
            return one.state == lease::Candidate::State::held ? name_ : one.other_holder;
    return {};
}

// Notes. ----------------------------------------------------------------------------------------------

// While the voter waits for what it may have granted, it keeps and tells none either.
bool FleetPart::keep_note(const lease::RegisterMessage& message, lease::RegisterMessage& answer) {
    const lease::Acceptor* const voter = leases_->acceptor();
    if (left_ || !notes_ || !voter || !voter->is_voting(boot_clock_s())) return false;
    if (message.epoch < voter->epoch() || !notes_->receive(message, answer)) return false;
    answer.epoch = voter->epoch();
    if (!notes_home_ || notes_->revision() == notes_kept_) return true;
    if (!notes_home_->save(notes_->registers())) {
        if (!std::exchange(told_not_kept_, true))
            log_.write(Log::Level::error, net::now(), "lease: a voter's note can't be written: %s",
                       notes_home_->last_error().c_str());
        return false;
    }
    notes_kept_ = notes_->revision();
    return true;
}

void FleetPart::hear_note(const std::string& from, std::string_view body) {
    using Kind = lease::RegisterMessage::Kind;
    lease::RegisterMessage message, answer;
    if (!lease::decode(body, message)) return;
    if (message.kind != Kind::read && message.kind != Kind::write) {
        if (sums_) sums_->on_register_message(from, message);
        return;
    }
    if (keep_note(message, answer))
        peers_.send(from, membership::Channel::registers, lease::encode(answer));
}

void FleetPart::stop(double, std::function<void()> done) {
    on_process_leaving();
    log_.event("ended", {});
    done();
}

// Whatever is held ends now, told to the voters, but for a drain's slot: the process is gone until it is
// started again, and the slot lapses by itself.
void FleetPart::on_process_leaving() {
    if (left_) return;
    if (sums_) sums_->stop();
    left_ = true;
    if (announce_) announce_->set_held(false);
    if (leases_) {
        leases_->release(boot_clock_s(), kConductor);
        pump();
    }
    timer_.disarm();
    peers_.leave();
}

// What is held goes to the new process: from here on this one acts no more.
std::string FleetPart::serialize_state() {
    if (!leases_ || left_) return {};
    if (announce_) announce_->set_held(false);
    if (sums_) sums_->stop();
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
    const lease::Acceptor* const voter = leases_->acceptor();
    if (voter && voter->is_voting(boot_clock_s())) {
        lease::encode({voter->epoch(), voter->grants()}, *all.mutable_voter());
        if (notes_ && notes_->remembers()) lease::encode(notes_->registers(), *all.mutable_notes());
    }
    on_process_leaving();
    return all.SerializeAsString();
}

void FleetPart::restore_state(std::string_view what) {
    lease::wire::Holds all;
    if (!leases_ || !all.ParseFromArray(what.data(), static_cast<int>(what.size()))) return;
    std::vector<lease::Candidate::HeldLease> holds;
    for (const lease::wire::Hold& one : all.hold()) {
        holds.push_back({one.lease(), one.holder(), one.round(), one.number(), one.until(), one.since()});
        if (one.lease().starts_with(drain_lease()) && !leases_->campaigning(drain_lease())) {
            draining_ = drained_ = true;
            leases_->campaign(boot_clock_s(), drain_lease(),
                              static_cast<unsigned>(options_.lease.max_draining));
        }
    }
    if (all.has_voter()) leases_->restore_acceptor(boot_clock_s(), lease::decode(all.voter()));
    if (all.has_notes() && notes_) notes_->restore(lease::decode(all.notes()));
    leases_->import_holds(boot_clock_s(), holds);
    pump();
}

void FleetPart::wake() {
    if (left_) return;
    if (leases_->next_deadline() <= boot_clock_s()) leases_->on_timer(boot_clock_s());
    pump();
}

void FleetPart::pump() {
    if (!leases_ || std::exchange(pumping_, true)) return;
    for (bool more = true; more;) {
        more = false;
        for (const auto& post : leases_->take_outgoing())
            peers_.send(post.to, membership::Channel::lease, post.body);
        for (const auto& change : leases_->take_events()) {
            more = true;
            changed(change);
        }
    }
    pumping_ = false;
    if (leases_->failed_saves() > 0 && !std::exchange(told_not_kept_, true))
        log_.write(Log::Level::error, net::now(),
                   "lease: the voter's memory can't be written, it does not vote: %s",
                   home_->last_error().c_str());
    if (const double next = leases_->next_deadline(); next < 1e17 && !left_)
        timer_.arm(net::now() + std::max(0.0, next - boot_clock_s()));
    else
        timer_.disarm();
}

void FleetPart::changed(const lease::LeaseEvent& change) {
    using What = lease::LeaseEvent::Kind;
    static constexpr const char* kTold[] = {"gained", "lost", "renumbered", "adopted"};
    const char* const what = kTold[static_cast<std::size_t>(change.kind)];
    log_.write(Log::Level::info, net::now(), "lease: %s %s, number %llu", change.lease.c_str(), what,
               static_cast<unsigned long long>(change.fencing_token));
    const std::pair<std::string_view, std::string> fields[] = {
        {"lease", change.lease},
        {"slot", std::to_string(change.slot)},
        {"number", std::to_string(change.fencing_token)}};
    log_.event(what, fields);
    if (change.lease == kConductor && announce_ && change.kind != What::token_changed)
        announce_->set_held(change.kind != What::lost);
    if (change.lease == kConductor && change.kind != What::token_changed)
        for (const auto& call : conducts_) call(change.kind != What::lost);
    if (change.lease == kConductor && sums_)
        sums_->on_lease_held(change.kind == What::lost ? 0 : change.fencing_token);
    if (change.lease == drain_lease() && change.kind == What::gained) slot_gained();
    if (change.lease == drain_lease() && change.kind == What::lost) slot_lost();
}

// Drains. ---------------------------------------------------------------------------------------------

void FleetPart::slot_gained() {
    if (!draining_) return;
    drained_ = true;
    log_.event("drained", {});
    admin::AdminCall call;
    call.kind = admin::AdminCall::Kind::drain;
    ingress_.call(call, [](const admin::AdminReply&) {});
}

// Being drained is an act that must end with its lease: another may be drained from then on.
void FleetPart::slot_lost() {
    if (!std::exchange(drained_, false)) return;
    log_.event("undrained", {});
    if (draining_)
        log_.write(
            Log::Level::warning, net::now(),
            "lease: the drain's slot could not be kept, this ingress serves again and waits for one");
    admin::AdminCall call;
    call.kind = admin::AdminCall::Kind::activate;
    ingress_.call(call, [](const admin::AdminReply&) {});
}

bool FleetPart::on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) {
    using What = admin::AdminCall::Kind;
    if (call.kind == What::fleet) {
        reply({200, describe()});
        return true;
    }
    if (call.kind == What::quorum) {
        if (!leases_) {
            reply({404, "no leases here"});
        } else {
            const bool good =
                leases_->has_quorum(boot_clock_s(), kQuorum * options_.lease.times.grant_duration_s);
            reply({good ? 200 : 503, good ? "quorum" : "no quorum"});
        }
        return true;
    }
    if (!leases_ || options_.lease.max_draining == 0 || left_) return false;
    if (call.kind == What::drain) {
        draining_ = true;
        leases_->campaign(boot_clock_s(), drain_lease(),
                          static_cast<unsigned>(options_.lease.max_draining));
        pump();
        if (drained_) return false;   // the ingress answers, as ever
        reply({202, "waits for a slot"});
        return true;
    }
    if (call.kind == What::activate && draining_) {
        draining_ = false;
        drained_ = false;
        leases_->release(boot_clock_s(), drain_lease());
        pump();
    }
    return false;
}

// Measures. -------------------------------------------------------------------------------------------

void FleetPart::count(metrics::Measures& m) {
    using metrics::Id;
    const auto set = [&](Id id, double value, std::size_t label = 0) { m.set(id, value, label); };
    const auto moved = [&](Id id, std::uint64_t now, std::size_t label = 0) {
        std::uint64_t& seen = counted_[{id, label}];
        if (now > seen) m.add(id, label, static_cast<double>(now - std::exchange(seen, now)));
    };
    std::array<double, metrics::kMembers.size()> states{};
    double disputed = 0;
    for (const membership::Member& one : peers_.members().list()) {
        ++states[static_cast<std::size_t>(one.state)];
        disputed += one.name_conflict;
    }
    for (std::size_t i = 0; i < states.size(); ++i) set(Id::peers_members, states[i], i);
    set(Id::peers_disputed, disputed);
    const membership::TrafficCounts& tally = peers_.members().traffic();
    moved(Id::peers_sent, tally.sent);
    moved(Id::peers_sent_bytes, tally.sent_bytes);
    constexpr std::size_t kRead = 2;   // kinds of opened datagrams that are read
    for (std::size_t i = kRead; i < membership::kOpenResultNames.size(); ++i)
        moved(Id::peers_dropped, peers_.auth().counts()[i], i - kRead);
    moved(Id::peers_dropped, tally.rate_limited, metrics::kNotRead.size() - 1);
    if (!leases_) return;
    const double now = boot_clock_s();
    double held = 0;
    for (const lease::LeaseStatus& one : leases_->statuses())
        held += one.state == lease::Candidate::State::held;
    set(Id::lease_held, held);
    set(Id::lease_no_quorum,
        leases_->has_quorum(now, kQuorum * options_.lease.times.grant_duration_s) ? 0 : 1);
    moved(Id::lease_changes, leases_->gained(), 0);
    moved(Id::lease_changes, leases_->lost(), 1);
    set(Id::drain_waits, draining_ && !drained_ ? 1 : 0);
    if (announce_) {
        moved(Id::lease_acts, announce_->accepted(), 0);
        moved(Id::lease_acts, announce_->fenced(), 1);
        moved(Id::lease_acts, announce_->failed(), 2);
    }
    if (!sums_) return;
    moved(Id::sums_rows, sums_->delivered_rows());
    moved(Id::sums_skipped, sums_->aggregator().skipped_periods());
    moved(Id::sums_left_out, sums_->reporter().dropped_requests());
    set(Id::sums_behind, static_cast<double>(sums_->periods_behind()));
}

// Operators. ------------------------------------------------------------------------------------------

std::string FleetPart::describe() const {
    rapidjson::StringBuffer out;
    Json json(out);
    const double now = net::now(), boot = boot_clock_s();
    const membership::SwimMembership& members = peers_.members();
    json.StartObject();
    text(json, "name", name_);
    json.Key("stale_s");
    json.Double(members.staleness_s());
    json.Key("waits_for_name");
    json.Bool(members.awaiting_name());
    json.Key("health");
    json.Int(members.local_health_score());
    json.Key("members");
    json.StartArray();
    for (const membership::Member& one : members.list()) {
        json.StartObject();
        text(json, "name", one.name);
        text(json, "site", one.site);
        text(json, "address", one.address);
        text(json, "version", one.version);
        text(json, "state", membership::kMemberStateNames[static_cast<int>(one.state)]);
        json.Key("incarnation");
        json.Uint(one.incarnation);
        json.Key("since_s");
        json.Double(now - one.state_since);
        json.Key("disputed");
        json.Bool(one.name_conflict);
        json.EndObject();
    }
    json.EndArray();
    // Datagrams that were dropped before they were read, by why.
    json.Key("dropped");
    json.StartObject();
    for (std::size_t i = 2; i < membership::kOpenResultNames.size(); ++i) {
        json.Key(membership::kOpenResultNames[i].data());
        json.Uint64(peers_.auth().counts()[i]);
    }
    json.EndObject();
    if (leases_) {
        json.Key("step");
        json.Uint(leases_->settings().acceptors.epoch);
        json.Key("quorum");
        json.Bool(leases_->has_quorum(boot, kQuorum * options_.lease.times.grant_duration_s));
        const lease::Acceptor* const voter = leases_->acceptor();
        text(json, "voting", !voter ? "no" : voter->is_voting(boot) ? "yes" : "waits");
        json.Key("leases");
        json.StartArray();
        for (const lease::LeaseStatus& one : leases_->statuses()) {
            const bool held = one.state == lease::Candidate::State::held;
            json.StartObject();
            text(json, "lease", one.lease);
            json.Key("slots");
            json.Uint(one.slots);
            text(json, "holder", held ? name_ : one.other_holder);
            json.Key("held_here");
            json.Bool(held);
            json.Key("number");
            json.Uint64(one.fencing_token);
            json.Key("left_s");
            json.Double(held ? one.valid_until - boot : 0);
            json.EndObject();
        }
        json.EndArray();
    }
    json.EndObject();
    return {out.GetString(), out.GetSize()};
}

// Reloading. ------------------------------------------------------------------------------------------

void FleetPart::prepare(const operator_config::Options& fresh, config::Config&) {
    prepared_keys_ = fresh.membership.on() ? keys_of(fresh) : std::vector<membership::AuthKey>{};
}

// Keys, ways and voters are taken at once; the rest waits.
std::string FleetPart::take(const operator_config::Options& fresh) {
    if (!prepared_keys_.empty()) peers_.set_keys(prepared_keys_);
    prepared_keys_.clear();
    auto as_here = fresh.membership;
    as_here.via = options_.membership.via;
    as_here.key_file = options_.membership.key_file;
    auto lease = fresh.lease;
    lease.acceptors = options_.lease.acceptors;
    lease.previous_acceptors = options_.lease.previous_acceptors;
    lease.epoch = options_.lease.epoch;
    const bool later = as_here != options_.membership || lease != options_.lease;
    if (fresh.membership.on())
        peers_.members().set_address_overrides(membership::settings_of(fresh.membership, name_,
                                                                       peers_.members().self().site,
                                                                       SLATEJUNCTION_VERSION)
                                                   .address_overrides);
    options_.membership.via = fresh.membership.via;
    if (leases_ && fresh.lease.on()) {
        leases_->set_acceptors(boot_clock_s(), lease::settings_of(fresh.lease, name_).acceptors);
        if (sums_) sums_->set_acceptors(leases_->settings().acceptors);
        options_.lease.acceptors = fresh.lease.acceptors;
        options_.lease.previous_acceptors = fresh.lease.previous_acceptors;
        options_.lease.epoch = fresh.lease.epoch;
        pump();
    }
    return later ? "peers, lease" : "";
}

}   // namespace slatejunction::app
