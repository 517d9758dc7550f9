// The program's middle: owns the Gateway, turns what protocols tell into its events and carries out its
// actions. It takes no decision of its own.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admin/operator_overrides.hpp"
#include "admin/server.hpp"
#include "backend/connection_pool.hpp"
#include "client/server.hpp"
#include "config/config.hpp"
#include "discovery/endpoint_start_times.hpp"
#include "discovery/endpoint_watch.hpp"
#include "hot_restart/restart_channel.hpp"
#include "ingress/extensions.hpp"
#include "ingress/observer.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "log/log.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

class Ingress final : client::SessionController,
                      backend::CallCallbacks,
                      discovery::WatchCallbacks,
                      admin::AdminCallHandler,
                      hot_restart::RestartHost {
  public:
    // `observer`: empty where nobody counts; else it lives longer.
    Ingress(config::Config config, const discovery::UnixTimeConverter& clock, net::Timers& timers, Log& log,
            std::function<void()> done, RequestObserver* observer = nullptr);
    ~Ingress();
    // s; for so long an address that can't be listened on is tried again, then the start has failed. A
    // process that was killed is to serve again within 30 s at the most, and asks at the handover's socket
    // first.
    static constexpr double listens_within() { return 15.0; }
    // `pause` waits so many seconds and tells whether to go on; false: the program was told to end. False
    // of the start: `why` it failed, empty where it was told to end.
    bool start(std::string& why, const std::function<bool(double)>& pause);
    void stop();   // finishes what was taken, then calls `done`, see lifecycle::Shutdown
    // When the process has to be gone (s, net::now()); infinite as long as it is not to end.
    double ends_by() const { return shutdown_.ends_by(); }
    // Takes a new configuration: moves the watch to where it says that the directory is. What it changes
    // beside that is named in the log and waits for the next start.
    void reload(const config::Config& fresh);
    // Parts join here, before the start or later; judges are asked in the order in which they came.
    void register_extension(RequestFilter& judge) { judges_.push_back(&judge); }   // kJudgesMost at most
    void register_extension(EndpointListFilter& overlay) { overlays_.push_back(&overlay); }
    void register_extension(AdminCallExtension& taker) { takers_.push_back(&taker); }
    void register_extension(StateTransfer& inheritor) { inheritors_.push_back(&inheritor); }
    // Providers as a part now has them: goes to the module. An empty list is nothing.
    void update_endpoints(slatejunction::EndpointUpdate list);
    // As from operators; for a part that let a call wait.
    void call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply);
    Gauges gauges() const;

  private:
    // An invocation from its arrival until the last of its calls has come back.
    struct Open {
        std::uint64_t number = 0;
        std::string id;   // the module's name for it: short, and unlike the consumer's never repeated
        std::shared_ptr<client::ClientRequest> invocation;
        std::shared_ptr<client::ResponseWriter> consumer;          // empty once it is answered
        std::vector<std::shared_ptr<backend::Connection>> calls;   // by attempt; empty once ended
        int out = 0;
        std::string provider;   // the last one called, where somebody records it
        std::array<FilterState, kMaxRequestFilters> marks{};   // of the judges, in their order
        std::size_t judged = 0;                                // by so many of them
        std::size_t over = 0;                                  // whose wait it was that the module heard
        bool ran = false;                                      // an attempt that has ended may have run
    };
    struct DueTimer {
        double due;
        std::uint64_t tag;
        bool operator>(const DueTimer& other) const { return due > other.due; }
    };
    struct WatchLink;

    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter> consumer,
                             std::shared_ptr<client::ClientRequest> invocation) override;
    void on_client_disconnected(std::uint64_t number) override;
    // A process that has handed over answers for the new one: the two are one ingress.
    bool ready() const override {
        return (!shutdown_.stop_requested() || handover_.role().draining()) && !operations_.drained();
    }
    bool stopping() const override {
        return shutdown_.stop_requested() || operations_.drained() || handover_.role().draining();
    }
    const slatejunction::Settings& settings() const override { return config_.settings; }
    bool is_request_open(std::string_view request_id) const override { return ids_.contains(request_id); }
    bool wants_headers() const override;
    http::ByteBudget& budget() override { return consumer_bytes_; }
    void on_bad_request(int status, std::string_view why) override;
    void on_accept_error(const char* why) override;
    void on_closed(client::Session& session) override;
    void on_call_end(const backend::AttemptTag& tag, const backend::CallResult& end) override;
    void on_health_check_end(const std::string& provider, const backend::CallResult& end) override;
    void on_endpoint_list(discovery::EndpointList& listing) override;
    void on_watch_lost(const char* why) override;
    void on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) override;
    void on_admin_error(const char* why) override;

    hot_restart::RestartMessage state() const override;
    int listening_descriptor() override;
    hot_restart::ResourceUse resource_use() const override;
    void on_role_changed() override;
    void on_peer_resource_use(const hot_restart::ResourceUse& theirs) override;
    bool on_operator_order(const hot_restart::OperatorOrder& order) override;
    void on_transferred_state(std::size_t place, std::string_view what) override;

    bool listen(std::string& why);   // at the addresses where it does not listen yet
    bool listen_in_time(std::string& why, const std::function<bool(double)>& pause);
    admin::AdminReply ready_call() const;
    admin::OverrideResult carry_out(const hot_restart::OperatorOrder& order, bool from_other);
    bool take_over_list(discovery::EndpointList& list);   // false: there is none
    void share_out();                                     // of the limits, with the other process
    void tell_change(discovery::EndpointList& change);    // of the list, as operators have it

    void tell(slatejunction::Event event);   // to the module, after what is being carried out
    void carry_out(const slatejunction::Action& action);
    void carry_out(const slatejunction::StartAttempt& send);
    void carry_out(const slatejunction::CancelAttempt& call_off);
    void carry_out(const slatejunction::RejectRequest& refuse);
    void carry_out(const slatejunction::FailRequest& abort);
    void carry_out(const slatejunction::SetTimer& timer);
    void carry_out(const slatejunction::StartHealthCheck& probe);
    void carry_out(const slatejunction::WatchEndpoints& listen);
    void carry_out(const slatejunction::LogMessage& note);
    Open* find(const std::string& id);   // null: forgotten
    Open* find(std::uint64_t number);
    void carry_out(const slatejunction::AdmittedFraction& admitted);
    // Gives the final answer, if one is owed still.
    void answer(std::uint64_t number, const client::Response& answer, RequestSummary::Result how,
                std::string_view reason, std::size_t refusal = 0);
    void observe(const Open& open, RequestSummary::Result how, std::string_view reason,
                 std::size_t refusal = 0);
    void forget_if_over(std::uint64_t number);
    void let_go(std::uint64_t number);   // nothing is owed any more for one that is open still
    void judge(Open& open, slatejunction::Request& request);
    void lay_over(slatejunction::EndpointUpdate& list);
    void timers_due();
    void sweep();
    bool wind_down(double now);   // true: it has ended
    void answer_owed();

    const discovery::UnixTimeConverter& clock_;
    Log& log_;
    std::function<void()> done_;
    RequestObserver* const observer_;
    config::Config config_;
    http::ByteBudget consumer_bytes_, provider_bytes_;   // live longer than all that holds bytes
    net::Timers& timers_;
    net::Timer module_timer_, sweep_timer_;
    slatejunction::Gateway gateway_;
    std::deque<slatejunction::Event> events_;
    std::vector<slatejunction::Action> actions_;
    bool telling_ = false;
    std::priority_queue<DueTimer, std::vector<DueTimer>, std::greater<>> due_;
    std::unordered_map<std::uint64_t, Open> open_;
    std::unordered_set<std::string_view> ids_;   // the consumers' names of those open, in their bytes
    std::uint64_t numbers_ = 0;
    backend::ConnectionPool pool_;
    client::Server server_;
    std::unique_ptr<admin::Server> admin_;   // null: operators have no address
    admin::OperatorOverrides operations_;
    double drained_at_ = 0;
    lifecycle::GracefulShutdown shutdown_;
    double last_request_at_ = 0;
    hot_restart::RestartChannel handover_;
    net::Timer prepare_timer_;          // while taking over
    hot_restart::ResourceUse theirs_;   // what the other process holds
    std::shared_ptr<WatchLink> watch_;
    discovery::EndpointStartTimes start_times_;
    std::string lost_why_;   // the trouble with discovery that was logged last, and when (s)
    double lost_told_at_ = 0;
    std::vector<RequestFilter*> judges_;
    std::vector<EndpointListFilter*> overlays_;
    std::vector<AdminCallExtension*> takers_;
    std::vector<StateTransfer*> inheritors_;
};

}   // namespace slatejunction::ingress
