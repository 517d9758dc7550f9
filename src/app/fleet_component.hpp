// The fleet in the program: membership, the leases, the registers of an acceptor, fleet counters and
// drains.
//
// Rule: it carries lease and register messages over the gossip transport, stores the acceptor's state, runs
// the leader's duties and answers operators; the protocols decide (lease/, membership/, fleet_counters/).
// Inputs: the operator's options, the configuration, messages of members. Output: datagrams, log lines,
// records of the event log, measures, JSON for the admin interface. Times in s of net::now(), of leases in
// s of boot_s(). Owned by Program; runs on the loop's thread. Never blocks. The parts: fleet_component.cpp
// (lifecycle, leases, state transfer, reload), fleet_component_admin.cpp, fleet_component_measures.cpp.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "app/component.hpp"
#include "fleet_counters/driver.hpp"
#include "ingress/ingress.hpp"
#include "lease/acceptor_storage.hpp"
#include "lease/fleet_context.hpp"
#include "lease/holder_webhook.hpp"
#include "lease/lease_node.hpp"
#include "log/log.hpp"
#include "membership/gossip_transport.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {

class FleetComponent final : public Component,
                             public lease::FleetContext,
                             ingress::AdminCallExtension,
                             ingress::StateTransfer {
  public:
    /// The options have been checked. Throws std::runtime_error for a key file or state directory that
    /// can't be used. `telemetry`: source of the fleet counters; null: there are none.
    FleetComponent(const operator_config::Options& options, const config::Config& config,
                   ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers,
                   Log& log);

    const char* name() const override { return "peers"; }
    void start() override;
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string apply(const operator_config::Options& fresh) override;

    bool leader_may_act(lease::Permit& permit) const override;
    std::string leader_name() const override;
    void on_leadership_change(std::function<void(bool)> call) override {
        leadership_callbacks_.push_back(std::move(call));
    }
    bool send(const std::string& to, membership::Channel channel, std::string_view body) override {
        return peers_.send(to, channel, body);
    }
    void on_membership_change(std::function<void(const std::vector<std::string>&)> call) override;
    void broadcast(membership::Channel channel, std::string_view body) override;
    void listen(membership::Channel channel, membership::GossipTransport::Listener listener) override {
        peers_.listen(channel, std::move(listener));
    }

    static constexpr const char* kConductor = "conductor";

  private:
    bool on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) override;
    void on_process_leaving() override;
    void restore_state(std::string_view what) override;
    std::string serialize_state() override;
    void on_timer();
    void pump();
    void on_lease_event(const lease::LeaseEvent& change);
    void on_register_message(const std::string& from, std::string_view body);
    // Answers a register message with the acceptor of this process; false: no answer.
    bool answer_register(const lease::RegisterMessage& message, lease::RegisterMessage& answer);
    void make_leases(const config::Config& config, net::Timers& timers);
    void make_registers();
    void make_fleet_counters(const config::Config& config, net::Timers& timers);
    void on_drain_slot_gained();
    void on_drain_slot_lost();
    void count(metrics::Measures& measures);
    void count_leases(metrics::Measures& measures);
    void add_increase(metrics::Measures& measures, metrics::Id id, std::uint64_t now,
                      std::size_t label = 0);
    std::string describe() const;   // JSON
    void describe_leases(rapidjson::Writer<rapidjson::StringBuffer>& json) const;
    std::string drain_lease_name() const { return "drain:" + peers_.members().self().site; }

    // In times of a grant's lifetime: a majority must have answered within it.
    static constexpr double kQuorumGrantLifetimes = 3;
    operator_config::Options options_;
    const std::string name_;
    ingress::Ingress& ingress_;
    Log& log_;
    std::vector<membership::AuthKey> prepared_keys_;
    membership::GossipTransport peers_;
    std::unique_ptr<lease::FileAcceptorStorage> acceptor_storage_;
    std::unique_ptr<lease::LeaseNode> leases_;   // null: off
    std::unique_ptr<lease::HolderWebhook> holder_webhook_;
    std::unique_ptr<lease::RegisterAcceptor> registers_;   // null: no acceptor
    std::unique_ptr<lease::FileRegisterStorage> register_storage_;
    std::uint64_t registers_saved_ = 0;   // changes that are stored
    const telemetry::Telemetry* const telemetry_;
    std::unique_ptr<fleet_counters::Driver> fleet_counters_;
    std::vector<std::function<void(bool)>> leadership_callbacks_;
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t> counted_;   // added to the measures so far
    net::Timer timer_;
    bool pumping_ = false, draining_ = false, drained_ = false, departed_ = false,
         save_failure_logged_ = false;
};

}   // namespace slatejunction::app
