// Simulates the counters of a fleet in one process, on a network that loses, delays, duplicates and
// reorders messages: reporters that are killed and restarted, acceptors that may lose their state,
// holders that change and are paused at any point, nodes that are isolated, and a receiver that is behind.
//
// The lease itself is not simulated (see tests/lease): there is one holder at a time, with rising fencing
// tokens, but messages of an earlier holder may arrive after the next one began. The checks use the rows
// that the receiver got.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "events.hpp"
#include "fleet_counters/aggregator.hpp"

namespace fleet_counters_simulation {

using namespace slatejunction;

/// The parameters of a run. An interval of 1e9 s means never.
struct Scenario {
    std::size_t processes = 5, acceptors = 3;
    double loss_probability = 0, duplicate_probability = 0, max_delay_s = 0.02, duration_s = 30;
    double kill_interval_s = 1e9, holder_change_interval_s = 1e9, pause_interval_s = 1e9,
           isolation_interval_s = 1e9, max_receiver_delay_s = 0.2;
    bool persistent_acceptors = true;   // acceptors keep their registers when they are killed
};

/// Draws the parameters of a run from a seed.
inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 3);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    const auto one_in = [&](std::size_t n) { return random() % n == 0; };
    Scenario scenario;
    scenario.processes = 3 + random() % 6;
    scenario.acceptors = one_in(3) ? 5 : 3;
    scenario.acceptors = std::min(scenario.acceptors, scenario.processes);
    scenario.loss_probability = one_in(2) ? draw(0, 0.5) : 0;
    scenario.duplicate_probability = one_in(2) ? draw(0, 0.3) : 0;
    scenario.max_delay_s = one_in(2) ? draw(0.02, 1.5) : 0.02;
    if (one_in(2)) scenario.kill_interval_s = draw(1, 8);
    if (!one_in(4)) scenario.holder_change_interval_s = draw(0.3, 6);
    if (one_in(2)) scenario.pause_interval_s = draw(1, 6);
    if (one_in(3)) scenario.isolation_interval_s = draw(2, 8);
    scenario.max_receiver_delay_s = draw(0.05, 4);
    scenario.persistent_acceptors = !one_in(4);
    return scenario;
}

struct Result {
    std::string violation;   // empty: none
    // `rows` are distinct rows; `duplicate_rows` were received again.
    std::uint64_t rows = 0, duplicate_rows = 0, terms = 0, resets = 0, skipped_periods = 0;
};

class Simulation {
  public:
    Simulation(const Scenario& scenario, std::uint64_t seed)
        : scenario_(scenario), random_(seed), nodes_(scenario.processes) {
        for (std::size_t v = 0; v < scenario.acceptors; ++v) acceptors_.current.push_back(name(v));
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_process(i);
    }

    Result run() {
        tick();
        acquire_lease();
        repeat(scenario_.kill_interval_s, [this] { kill(); });
        repeat(scenario_.holder_change_interval_s, [this] {
            lose_lease(), events_.at(events_.now() + draw(0.1, 1.5), [this] { acquire_lease(); });
        });
        repeat(scenario_.pause_interval_s, [this] {
            if (holder_ < nodes_.size()) nodes_[holder_].paused_until = events_.now() + draw(0.1, 3);
        });
        repeat(scenario_.isolation_interval_s, [this] {
            isolated_ = random_node(),
            events_.at(events_.now() + draw(0.2, 3), [this] { isolated_ = nodes_.size(); });
        });
        events_.run_until(scenario_.duration_s);
        // Without further faults, everything that is still reported must be counted.
        scenario_.loss_probability = scenario_.duplicate_probability = 0;
        faults_over_ = true;
        isolated_ = nodes_.size();
        for (Node& node : nodes_) node.paused_until = 0;
        if (holder_ == nodes_.size()) acquire_lease();
        events_.run_until(scenario_.duration_s + 40 * kPeriodS);
        check_rows();
        result_.rows = received_rows_.size();
        return result_;
    }

  private:
    static constexpr double kPeriodS = 0.5, kStartUnixS = 1000;   // s; the latter: the wall clock at time 0
    const lease::LeaseTimes times_{1, 0.05, 0.02, 0.1};

    struct Node {
        std::uint64_t process = 0;
        std::unique_ptr<fleet_counters::Reporter> reporter;
        std::unique_ptr<fleet_counters::Aggregator> aggregator;
        std::unique_ptr<lease::RegisterAcceptor> acceptor;
        double answers_from = 0, paused_until = 0;
        fleet_counters::CounterValues values{};
        std::uint64_t period = 0;
        std::deque<fleet_counters::Row> pending_rows;   // handed over, not yet accepted by the receiver
    };
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }
    static std::size_t number_of(const std::string& name) { return std::stoul(name.substr(1)); }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::size_t random_node() { return random_() % nodes_.size(); }
    double unix_s() const { return kStartUnixS + events_.now(); }
    void repeat(double mean_interval_s, std::function<void()> call) {
        if (mean_interval_s > 1e8) return;
        events_.at(events_.now() + draw(0.5, 1.5) * mean_interval_s,
                   [this, mean_interval_s, call = std::move(call)] {
                       if (faults_over_) return;
                       call();
                       repeat(mean_interval_s, call);
                   });
    }

    void start_process(std::size_t i) {
        Node& node = nodes_[i];
        const bool is_first_start = node.process == 0;
        node.process = ++last_process_;
        node.reporter = std::make_unique<fleet_counters::Reporter>(node.process);
        node.values = {};
        node.aggregator = std::make_unique<fleet_counters::Aggregator>(
            fleet_counters::Settings{kPeriodS, 0.15}, times_, acceptors_, random_());
        node.pending_rows.clear();
        if (i >= scenario_.acceptors) return;
        const bool storage_intact = is_first_start || scenario_.persistent_acceptors;
        node.acceptor = std::make_unique<lease::RegisterAcceptor>(
            storage_intact, is_first_start || !scenario_.persistent_acceptors
                                ? lease::RegisterAcceptor::Registers{}
                                : node.acceptor->registers());
        node.answers_from = storage_intact ? events_.now() : events_.now() + lease::recovery_wait_s(times_);
    }
    void kill() {
        const std::size_t i = random_node();
        Node& node = nodes_[i];
        if (i == holder_)
            holder_ = nodes_.size(),
            events_.at(events_.now() + draw(0.5, 1.5), [this] { acquire_lease(); });
        killed_values_.push_back(node.values);
        add_counts(node);
        node.paused_until = 0;
        start_process(i);
    }
    void acquire_lease() {
        if (holder_ < nodes_.size()) return;
        holder_ = random_node();
        nodes_[holder_].paused_until = 0;
        ++result_.terms;
        nodes_[holder_].aggregator->begin_term(events_.now(), unix_s(), ++fencing_token_);
        process_outputs(holder_);
    }
    void lose_lease() {
        if (holder_ == nodes_.size()) return;
        // Pending rows may no longer be written.
        nodes_[holder_].aggregator->end_term();
        nodes_[holder_].pending_rows.clear();
        holder_ = nodes_.size();
    }

    // Advances all nodes: counters rise, periods end, timers expire.
    void tick() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            Node& node = nodes_[i];
            if (events_.now() < node.paused_until) continue;
            if (!faults_over_ && random_() % 3 == 0)
                for (std::uint64_t& value : node.values) value += random_() % 5;
            const auto period = static_cast<std::uint64_t>(unix_s() / kPeriodS);
            if (period > node.period) node.reporter->record_period(node.period = period, node.values);
            if (random_() % 4 == 0) send_report(i);
            if (node.aggregator->next_deadline(events_.now(), unix_s()) <= events_.now())
                node.aggregator->on_timer(events_.now(), unix_s());
            process_outputs(i);
        }
        events_.at(events_.now() + 0.02, [this] { tick(); });
    }
    void send_report(std::size_t i) {
        const auto report = nodes_[i].reporter->report();
        if (!report || holder_ == nodes_.size()) return;
        send(i, holder_, [this, i, report = *report](Node& to) {
            to.aggregator->on_report(events_.now(), unix_s(), name(i), report);
        });
    }
    void send(std::size_t from, std::size_t to, std::function<void(Node&)> call) {
        if (from == to) {
            call(nodes_[to]);
            return;
        }
        const int copies = draw(0, 1) < scenario_.duplicate_probability ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (draw(0, 1) < scenario_.loss_probability || from == isolated_ || to == isolated_) continue;
            events_.at(events_.now() + draw(0.001, faults_over_ ? 0.02 : scenario_.max_delay_s),
                       [this, to, call, process = nodes_[to].process] { deliver(to, process, call); });
        }
    }
    // A message is authenticated for one process, so it is not read by a later process of the same name.
    void deliver(std::size_t to, std::uint64_t process, const std::function<void(Node&)>& call) {
        Node& node = nodes_[to];
        if (node.process != process) return;
        if (events_.now() < node.paused_until) {
            events_.at(node.paused_until, [this, to, process, call] { deliver(to, process, call); });
            return;
        }
        call(node);
        process_outputs(to);
    }
    void send_register_message(std::size_t i, std::size_t acceptor, const lease::RegisterMessage& message) {
        send(i, acceptor, [this, i, acceptor, message](Node& to) {
            lease::RegisterMessage answer;
            if (!to.acceptor || events_.now() < to.answers_from || !to.acceptor->receive(message, answer))
                return;
            send(acceptor, i, [this, acceptor, answer](Node& client) {
                client.aggregator->on_register_message(events_.now(), unix_s(), name(acceptor), answer);
            });
        });
    }
    void process_outputs(std::size_t i) {
        Node& node = nodes_[i];
        for (auto messages = node.aggregator->take_register_messages(); !messages.empty();
             messages = node.aggregator->take_register_messages())
            for (auto& outgoing : messages)
                send_register_message(i, number_of(outgoing.to), outgoing.message);
        for (auto& answer : node.aggregator->take_acknowledgements())
            send(i, number_of(answer.to), [report = answer.report](Node& to) {
                to.reporter->acknowledge(report.process, report.acknowledged_period);
            });
        for (const fleet_counters::Row& row : node.aggregator->take_rows()) write_row(i, row);
    }
    // Hands a row over if the lease permits it. The receiver gets it some time later, unless the writer is
    // killed or loses the lease before that.
    void write_row(std::size_t i, const fleet_counters::Row& row) {
        if (i != holder_) return;
        nodes_[i].pending_rows.push_back(row);
        events_.at(events_.now() + draw(0.01, faults_over_ ? 0.05 : scenario_.max_receiver_delay_s),
                   [this, i, process = nodes_[i].process, token = fencing_token_] {
                       Node& node = nodes_[i];
                       if (node.process != process || i != holder_ || token != fencing_token_) return;
                       const fleet_counters::Row first = node.pending_rows.front();   // rows stay in order
                       node.pending_rows.pop_front();
                       receive_row(first);
                       node.aggregator->on_rows_delivered(first.period);
                   });
    }
    void receive_row(const fleet_counters::Row& row) {
        const auto [existing, inserted] = received_rows_.emplace(row.period, row.values);
        result_.duplicate_rows += !inserted;
        if (!inserted && existing->second != row.values && result_.violation.empty())
            result_.violation = "period " + std::to_string(row.period) + " has two different rows";
    }
    void add_counts(const Node& node) {
        result_.resets += node.aggregator->resets();
        result_.skipped_periods += node.aggregator->skipped_periods();
        dropped_requests_ += node.reporter->dropped_requests();
    }
    void check_rows() {
        for (const Node& node : nodes_) add_counts(node);
        if (!result_.violation.empty()) return;
        if (received_rows_.empty()) return void(result_.violation = "no row was received");
        const std::uint64_t first = received_rows_.begin()->first, last = received_rows_.rbegin()->first;
        if (unix_s() - static_cast<double>(last) * kPeriodS > 6 * kPeriodS)
            result_.violation = "rows stopped before the end";
        const std::uint64_t missing = last - first + 1 - received_rows_.size();
        if (missing > 0 && scenario_.persistent_acceptors && result_.skipped_periods == 0)
            result_.violation = std::to_string(missing) + " periods are missing";
        // Counters never decrease except at a reset. They contain each increment of running processes
        // exactly once, and at most the increments of killed ones.
        fleet_counters::CounterValues min_expected{}, max_expected{};
        for (const Node& node : nodes_)
            for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k)
                min_expected[k] += node.values[k];
        max_expected = min_expected;
        for (const fleet_counters::CounterValues& killed : killed_values_)
            for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k) max_expected[k] += killed[k];
        const fleet_counters::CounterValues* previous = nullptr;
        for (const auto& [period, values] : received_rows_) {
            for (std::size_t k = 0; previous && k < fleet_counters::kCounterCount; ++k)
                if (values[k] < (*previous)[k] && scenario_.persistent_acceptors)
                    result_.violation = "a counter decreased";
            previous = &values;
        }
        for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k) {
            if ((*previous)[k] > max_expected[k]) result_.violation = "an increment was counted twice";
            if (scenario_.persistent_acceptors && dropped_requests_ == 0 &&
                (*previous)[k] < min_expected[k])
                result_.violation =
                    "increments were not counted: " + std::to_string(min_expected[k] - (*previous)[k]);
        }
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    lease::AcceptorSet acceptors_;
    std::vector<Node> nodes_;
    Events events_;
    std::map<std::uint64_t, fleet_counters::CounterValues> received_rows_;   // by period
    std::vector<fleet_counters::CounterValues> killed_values_;               // counters of killed processes
    std::size_t holder_ = nodes_.size(), isolated_ = nodes_.size();
    std::uint64_t last_process_ = 0, fencing_token_ = 0, dropped_requests_ = 0;
    bool faults_over_ = false;
    Result result_;
};

}   // namespace fleet_counters_simulation
