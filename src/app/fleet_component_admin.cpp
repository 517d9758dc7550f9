// FleetComponent, operators: the admin calls for drains and the quorum, and the description of the fleet as
// JSON.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>

#include "app/fleet_component.hpp"
#include "lease/boot_clock.hpp"

namespace slatejunction::app {
namespace {

using lease::boot_clock_s;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void text(Json& json, const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}   // namespace

void FleetComponent::on_drain_slot_gained() {
    if (!draining_) return;
    drained_ = true;
    log_.event("drained", {});
    admin::AdminCall call;
    call.kind = admin::AdminCall::Kind::drain;
    ingress_.handle_admin_call(call, [](const admin::AdminReply&) {});
}

// A drain must end with its lease, as another ingress may be drained from then on.
void FleetComponent::on_drain_slot_lost() {
    if (!std::exchange(drained_, false)) return;
    log_.event("undrained", {});
    if (draining_)
        log_.write(
            Log::Level::warning, net::now(),
            "lease: the drain's slot could not be kept, this ingress serves again and waits for one");
    admin::AdminCall call;
    call.kind = admin::AdminCall::Kind::activate;
    ingress_.handle_admin_call(call, [](const admin::AdminReply&) {});
}

bool FleetComponent::on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) {
    using What = admin::AdminCall::Kind;
    if (call.kind == What::fleet) {
        reply({200, describe()});
        return true;
    }
    if (call.kind == What::quorum) {
        if (!leases_) {
            reply({404, "no leases here"});
        } else {
            const bool good = leases_->has_quorum(
                boot_clock_s(), kQuorumGrantLifetimes * options_.lease.times.grant_duration_s);
            reply({good ? 200 : 503, good ? "quorum" : "no quorum"});
        }
        return true;
    }
    if (!leases_ || options_.lease.max_draining == 0 || departed_) return false;
    if (call.kind == What::drain) {
        draining_ = true;
        leases_->campaign(boot_clock_s(), drain_lease_name(),
                          static_cast<unsigned>(options_.lease.max_draining));
        pump();
        if (drained_) return false;   // the ingress answers
        reply({202, "waits for a slot"});
        return true;
    }
    if (call.kind == What::activate && draining_) {
        draining_ = false;
        drained_ = false;
        leases_->release(boot_clock_s(), drain_lease_name());
        pump();
    }
    return false;
}

void FleetComponent::describe_leases(rapidjson::Writer<rapidjson::StringBuffer>& json) const {
    const double boot = boot_clock_s();
    json.Key("step");
    json.Uint(leases_->settings().acceptors.epoch);
    json.Key("quorum");
    json.Bool(leases_->has_quorum(boot, kQuorumGrantLifetimes * options_.lease.times.grant_duration_s));
    const lease::Acceptor* const acceptor = leases_->acceptor();
    text(json, "voting", !acceptor ? "no" : acceptor->is_voting(boot) ? "yes" : "waits");
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

std::string FleetComponent::describe() const {
    rapidjson::StringBuffer out;
    Json json(out);
    const double now = net::now();
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
    // Datagrams dropped before they were read, by reason.
    json.Key("dropped");
    json.StartObject();
    for (std::size_t i = 2; i < membership::kOpenResultNames.size(); ++i) {
        json.Key(membership::kOpenResultNames[i].data());
        json.Uint64(peers_.auth().counts()[i]);
    }
    json.EndObject();
    if (leases_) describe_leases(json);
    json.EndObject();
    return {out.GetString(), out.GetSize()};
}

}   // namespace slatejunction::app
