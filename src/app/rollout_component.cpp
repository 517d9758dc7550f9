#include "app/rollout_component.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "app/random_seed.hpp"
#include "operator_config/overlay.hpp"

namespace slatejunction::app {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;
using rollout::LeaderEvent;
using rollout::ProposeError;

std::vector<membership::AuthKey> load_keys_or_throw(const operator_config::Options& options) {
    std::vector<membership::AuthKey> keys;
    const std::string why = rollout::load_keys(options.rollout, options.membership.key_file, keys);
    if (!why.empty()) throw std::runtime_error("[rollout] " + why);
    return keys;
}

// The control machines: the acceptors of the lease.
std::vector<std::string> replicas_of(const operator_config::Options& options, const std::string& name) {
    if (!options.rollout.is_control_machine()) return {};
    return lease::settings_of(options.lease, name).acceptors.current;
}

void text(Json& json, const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void number(Json& json, const char* key, std::uint64_t value) {
    json.Key(key);
    json.Uint64(value);
}
void write_statuses(Json& json, const char* key, const std::vector<rollout::FollowerStatus>& all) {
    json.Key(key);
    json.StartArray();
    for (const rollout::FollowerStatus& one : all) {
        json.StartObject();
        text(json, "name", one.name);
        number(json, "in_force", one.active);
        text(json, "trouble", rollout::kFollowerFaults[static_cast<std::size_t>(one.fault)]);
        json.EndObject();
    }
    json.EndArray();
}
void write_report(Json& json, const char* key, const rollout::Report& all) {
    json.Key(key);
    json.StartObject();
    number(json, "counted", all.counted);
    number(json, "everywhere", rollout::active_everywhere(all));
    number(json, "behind", all.behind);
    number(json, "silent", all.silent);
    number(json, "refuse", all.refused);
    write_statuses(json, "behind_names", all.behind_names);
    write_statuses(json, "silent_names", all.silent_names);
    json.Key("refusals");
    json.StartArray();
    for (const rollout::Refusal& one : all.refusals) {
        json.StartObject();
        number(json, "number", one.number);
        text(json, "name", one.name);
        text(json, "reason", one.reason);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
}

// As the admin interface names the phases.
const char* phase_name(const rollout::Leader& leader) {
    using Phase = rollout::Leader::Phase;
    switch (leader.phase()) {
        case Phase::inactive:
            return "off";
        case Phase::ready:
            return "ready";
        case Phase::fenced:
            return "fenced";
        default:
            return "reads";
    }
}

}   // namespace

std::string fault_of_rollout(const operator_config::Options& options, const std::string& name) {
    if (!options.rollout.on()) return {};
    std::vector<membership::AuthKey> keys;
    if (std::string why = rollout::load_keys(options.rollout, options.membership.key_file, keys);
        !why.empty())
        return why;
    if (!options.rollout.is_control_machine()) return {};
    const auto all = replicas_of(options, name);
    if (std::find(all.begin(), all.end(), name) == all.end())
        return "listen: " + name + " is not among [lease] voters, which are the control machines";
    return {};
}

std::vector<std::string> stated_of_rollout(const operator_config::Options& options) {
    if (!options.rollout.on()) return {};
    return rollout::stated_bounds(options.rollout, options.lease.times, replicas_of(options, "").size(),
                                  options.membership.interval_s);
}

RolloutComponent::RolloutComponent(const operator_config::Options& options, const config::Config& config,
                                   std::unique_ptr<rollout::RolloutStorage> storage, Callbacks callbacks,
                                   ingress::Ingress& ingress, lease::FleetContext* fleet,
                                   telemetry::Telemetry* telemetry, net::Timers& timers, Log& log)
    : options_(options.rollout),
      name_(config.name),
      replicas_(replicas_of(options, config.name)),
      fleet_(fleet),
      overlay_fault_(callbacks.overlay_fault),
      driver_(options.rollout, config.name, replicas_, draw_process(), config.seed,
              load_keys_or_throw(options), std::move(storage),
              {[this, validate = callbacks.validate](const rollout::State& state, const rollout::Changes&) {
                   return validate(state);
               },
               [this, apply = callbacks.apply](const rollout::State& state, const rollout::Changes&) {
                   overlay_fault_.clear();
                   apply(state);
               },
               [this](const std::string& to, std::string_view body) {
                   return fleet_ && fleet_->send(to, membership::Channel::rollout, body);
               },
               [this]() -> std::uint64_t {
                   lease::Permit permit;
                   return fleet_ && fleet_->leader_may_act(permit) ? permit.fencing_token : 0;
               }},
              timers, log) {
    ingress.register_extension(static_cast<ingress::AdminCallExtension&>(*this));
    if (telemetry) telemetry->add_collector([this](metrics::Measures& measures) { count(measures); });
    for (const std::string& line : stated_of_rollout(options))
        log.write(Log::Level::info, net::now(), "%s", line.c_str());
    if (!fleet_ || !options_.is_control_machine()) return;
    fleet_->listen(membership::Channel::rollout, [this](const membership::ReceivedMessage& message) {
        driver_.on_replica_message(message.from, message.body);
    });
    fleet_->on_leadership_change([this](bool on) { driver_.on_leadership_change(on); });
}

void RolloutComponent::stop(double, std::function<void()> done) {
    driver_.stop();
    done();
}

void RolloutComponent::prepare(const operator_config::Options& fresh, config::Config&) {
    prepared_keys_ = fresh.rollout.on() ? load_keys_or_throw(fresh) : std::vector<membership::AuthKey>{};
}

// Keys apply at once; other changes at the next start.
std::string RolloutComponent::apply(const operator_config::Options& fresh) {
    if (!prepared_keys_.empty()) driver_.set_keys(prepared_keys_);
    prepared_keys_.clear();
    auto comparable = fresh.rollout;
    comparable.key_file = options_.key_file;
    const bool later =
        comparable != options_ || (fresh.lease.on() && replicas_of(fresh, name_) != replicas_);
    return later ? "rollout" : "";
}

const rollout::State& RolloutComponent::state() const {
    static const rollout::State kNothing;
    return driver_.follower() ? driver_.follower()->state() : kNothing;
}

void RolloutComponent::on_reloaded() {
    overlay_fault_.clear();
    driver_.revalidate();
}

bool RolloutComponent::on_call(const admin::AdminCall& call,
                               std::function<void(admin::AdminReply)>& reply) {
    using What = admin::AdminCall::Kind;
    if (call.kind == What::rollout) {
        reply({200, describe()});
        return true;
    }
    if (call.kind != What::propose && call.kind != What::erase) return false;
    propose(call, reply);
    return true;
}

void RolloutComponent::propose(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) {
    const bool erases = call.kind == admin::AdminCall::Kind::erase;
    if (call.id.size() > rollout::kMaxKeyBytes || call.body.size() > rollout::kMaxValueBytes)
        return reply({413, "a section's header is of 80 bytes at most, its lines of 700 together"});
    if (!erases)
        if (const std::string fault = operator_config::fault_of_section(call.id, call.body); !fault.empty())
            return reply({400, fault});
    const auto value = erases ? std::nullopt : std::optional(call.body);
    driver_.propose(call.id, value,
                    [this, reply = std::move(reply)](const rollout::Driver::ProposeResult& answer) {
                        reply(reply_to(answer));
                    });
}

admin::AdminReply RolloutComponent::reply_to(const rollout::Driver::ProposeResult& answer) const {
    const std::string number = std::to_string(answer.number);
    switch (answer.error) {
        case ProposeError::none:
            break;
        case ProposeError::not_leader: {
            const std::string other = leader();
            return {409, other.empty() || other == name_ ? "not the source, and nobody is known to be it"
                                                         : "not the source: ask " + other};
        }
        case ProposeError::not_ready:
            return {503, "the source is reading what the control machines have; ask again"};
        case ProposeError::too_large:
            return {413, "too large"};
        case ProposeError::backlog_full:
            return {503, "too many changes wait for a majority of the control machines"};
    }
    if (answer.undecided)
        return {202, "number " + number + " is not committed yet, and may be lost: look at the status"};
    return {200, "number " + number + " is committed"};
}

std::string RolloutComponent::leader() const {
    if (driver_.is_leader()) return name_;
    if (driver_.replica()) return driver_.replica()->leader();
    return {};
}

std::string RolloutComponent::describe() const {
    rapidjson::StringBuffer out;
    Json json(out);
    const rollout::Follower* const follower = driver_.follower();
    const rollout::Replica* const replica = driver_.replica();
    json.StartObject();
    text(json, "name", name_);
    text(json, "role", !follower ? "control" : driver_.publisher() ? "relay" : "follower");
    if (follower) {
        number(json, "in_force", follower->active_version().number);
        number(json, "cleared", follower->staging().cleared);
        number(json, "term", follower->staging().term);
        text(json, "parent", follower->parent());
        const double silent_s = net::now() - follower->last_contact_at();
        json.Key("unheard_s");
        silent_s < 1e9 ? json.Double(silent_s) : json.Null();
        text(json, "trouble", rollout::kFollowerFaults[static_cast<std::size_t>(follower->fault())]);
        number(json, "refused", follower->refused());
        text(json, "reason", follower->refused() != 0 ? follower->reason() : "");
        text(json, "left_out", overlay_fault_);
        number(json, "records_taken", follower->counts().records);
        number(json, "snapshots_taken", follower->counts().snapshots);
    } else {
        number(json, "last", replica->log().last().number);
        number(json, "committed", replica->commit_index());
        number(json, "cleared", replica->staging().cleared);
        number(json, "term", replica->promised());
        text(json, "source", leader());
        text(json, "here", phase_name(*driver_.leader()));
        json.Key("remembers");
        json.Bool(replica->storage_intact());
        json.Key("disk_failed");
        json.Bool(replica->disk_failed());
    }
    if (driver_.publisher()) write_report(json, "children", driver_.children_report());
    if (driver_.is_leader()) {
        write_report(json, "fleet", driver_.fleet_report());
        json.Key("last_everywhere_s");
        json.Double(driver_.last_propagation_s());
    }
    json.Key("keys");
    json.StartArray();
    const rollout::State active =
        follower ? follower->state() : replica->log().state_at(replica->commit_index());
    for (const auto& [key, value] : active) json.String(key.data(), static_cast<unsigned>(key.size()));
    json.EndArray();
    json.EndObject();
    return {out.GetString(), out.GetSize()};
}

void RolloutComponent::count(metrics::Measures& m) {
    using metrics::Id;
    const auto set = [&](Id id, double value, std::size_t label = 0) { m.set(id, value, label); };
    const auto add_increase = [&](Id id, std::uint64_t now, std::size_t label = 0) {
        std::uint64_t& seen = counted_[{id, label}];
        if (now > seen) m.add(id, label, static_cast<double>(now - std::exchange(seen, now)));
    };
    const auto of = [](std::uint64_t value) { return static_cast<double>(value); };
    const rollout::Follower* const follower = driver_.follower();
    const rollout::Replica* const replica = driver_.replica();
    std::uint64_t disk_failures = 0, snapshots = 0, refusals = 0;
    if (follower) {
        set(Id::rollout_in_force, of(follower->active_version().number));
        set(Id::rollout_cleared, of(follower->staging().cleared));
        const double last_contact_at = std::max(follower->last_contact_at(), started_at_);
        set(Id::rollout_unheard, net::now() - last_contact_at);
        const auto fault = static_cast<std::size_t>(follower->fault());
        for (std::size_t i = 0; i < metrics::kRolloutFaults.size(); ++i)
            set(Id::rollout_faults, fault == i + 1 || (i == 2 && !overlay_fault_.empty()) ? 1 : 0, i);
        refusals = follower->counts().refusals;
        disk_failures = follower->counts().disk_failures;
        snapshots = follower->counts().snapshots;
    } else {
        set(Id::rollout_committed, of(replica->commit_index()));
        set(Id::rollout_cleared, of(replica->staging().cleared));
        set(Id::rollout_faults, replica->disk_failed() ? 1 : 0, 0);
        refusals = driver_.event_count(LeaderEvent::Kind::refused);
    }
    add_increase(Id::rollout_refusals, refusals);
    add_increase(Id::rollout_disk_failures, disk_failures);
    add_increase(Id::rollout_snapshots_taken, snapshots);
    add_increase(Id::rollout_sent, driver_.transport().counts().sent);
    add_increase(Id::rollout_sent_bytes, driver_.transport().counts().sent_bytes);
    if (!driver_.publisher()) return;
    add_increase(Id::rollout_snapshots_cut, driver_.publisher()->counts().snapshots);
    const rollout::Report all = driver_.fleet_report();
    set(Id::rollout_counted, of(all.counted));
    set(Id::rollout_everywhere, of(rollout::active_everywhere(all)));
    set(Id::rollout_behind, of(all.behind));
    set(Id::rollout_silent, of(all.silent));
    set(Id::rollout_everywhere_s, driver_.is_leader() ? driver_.last_propagation_s() : 0);
}

}   // namespace slatejunction::app
