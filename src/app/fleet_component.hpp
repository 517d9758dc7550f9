// Peers and leases in the program: carries lease messages over peers, keeps the voter's memory, runs the
// fleet's tasks and answers operators.
#pragma once

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

class FleetPart final : public Part,
                        public lease::FleetContext,
                        ingress::AdminCallExtension,
                        ingress::StateTransfer {
  public:
    // The options have been checked. Throws std::runtime_error for a key file or state directory that can't
    // be used.
    // `telemetry` counts what the fleet's sums are made of; null: there are none.
    FleetPart(const operator_config::Options& options, const config::Config& config,
              ingress::Ingress& ingress, telemetry::Telemetry* telemetry, net::Timers& timers, Log& log);

    const char* name() const override { return "peers"; }
    void start() override;
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string take(const operator_config::Options& fresh) override;

    bool leader_may_act(lease::Permit& permit) const override;
    std::string leader_name() const override;
    void on_leadership_change(std::function<void(bool)> call) override {
        conducts_.push_back(std::move(call));
    }
    bool send(const std::string& to, membership::Channel channel, std::string_view body) override {
        return peers_.send(to, channel, body);
    }
    void on_members(std::function<void(const std::vector<std::string>&)> call) override;
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
    void wake();
    void pump();
    void changed(const lease::LeaseEvent& change);
    void hear_note(const std::string& from, std::string_view body);
    // What the voter here says to it; false: nothing.
    bool keep_note(const lease::RegisterMessage& message, lease::RegisterMessage& answer);
    void make_sums(const config::Config& config, net::Timers& timers);
    void slot_gained();
    void slot_lost();
    void count(metrics::Measures& measures);
    std::string describe() const;   // JSON
    std::string drain_lease() const { return "drain:" + peers_.members().self().site; }

    operator_config::Options options_;
    const std::string name_;
    ingress::Ingress& ingress_;
    Log& log_;
    std::vector<membership::AuthKey> prepared_keys_;
    membership::GossipTransport peers_;
    std::unique_ptr<lease::FileAcceptorStorage> home_;
    std::unique_ptr<lease::LeaseNode> leases_;   // null: off
    std::unique_ptr<lease::HolderWebhook> announce_;
    std::unique_ptr<lease::RegisterAcceptor> notes_;   // null: this one does not vote
    std::unique_ptr<lease::FileRegisterStorage> notes_home_;
    std::uint64_t notes_kept_ = 0;   // changes that the home has
    const telemetry::Telemetry* const telemetry_;
    std::unique_ptr<fleet_counters::Driver> sums_;
    std::vector<std::function<void(bool)>> conducts_;
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t>
        counted_;   // as far as the measures have it
    net::Timer timer_;
    bool pumping_ = false, draining_ = false, drained_ = false, left_ = false, told_not_kept_ = false;
};

}   // namespace slatejunction::app
