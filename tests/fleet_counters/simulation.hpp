// The fleet's sums under faults, in one process: reporters that are killed and started anew, acceptors that
// forget, holders that follow one another and are stopped in the middle of anything, datagrams lost, late,
// twice and out of order, a receiver that is behind. The lease itself is taken as given (tests/lease): one
// holder at a time, rising numbers; what an old holder had sent may still arrive after a new one began.
// Judged from rows alone.
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

struct Scenario {
    std::size_t processes = 5, acceptors = 3;
    double loss = 0, twice = 0, delay_most = 0.02, length = 30;
    double kill_every = 1e9, change_every = 1e9, stop_every = 1e9, cut_every = 1e9, behind_most = 0.2;
    bool remembers = true;   // acceptors have their memory after a kill
};

inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 3);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    const auto one_of = [&](std::size_t n) { return random() % n == 0; };
    Scenario plan;
    plan.processes = 3 + random() % 6;
    plan.acceptors = one_of(3) ? 5 : 3;
    plan.acceptors = std::min(plan.acceptors, plan.processes);
    plan.loss = one_of(2) ? draw(0, 0.5) : 0;
    plan.twice = one_of(2) ? draw(0, 0.3) : 0;
    plan.delay_most = one_of(2) ? draw(0.02, 1.5) : 0.02;
    if (one_of(2)) plan.kill_every = draw(1, 8);
    if (!one_of(4)) plan.change_every = draw(0.3, 6);
    if (one_of(2)) plan.stop_every = draw(1, 6);
    if (one_of(3)) plan.cut_every = draw(2, 8);
    plan.behind_most = draw(0.05, 4);
    plan.remembers = !one_of(4);
    return plan;
}

struct Result {
    std::string violation;
    std::uint64_t rows = 0, duplicate_rows = 0, terms = 0, resets = 0, skipped_periods = 0;
};

class Simulation {
  public:
    Simulation(const Scenario& plan, std::uint64_t seed)
        : plan_(plan), random_(seed), nodes_(plan.processes) {
        for (std::size_t v = 0; v < plan.acceptors; ++v) acceptors_.current.push_back(name(v));
        for (std::size_t i = 0; i < nodes_.size(); ++i) begin(i);
    }

    Result run() {
        tick();
        gain();
        every(plan_.kill_every, [this] { kill(); });
        every(plan_.change_every,
              [this] { lose(), events_.at(events_.now() + draw(0.1, 1.5), [this] { gain(); }); });
        every(plan_.stop_every, [this] {
            if (holder_ < nodes_.size()) nodes_[holder_].stopped_until = events_.now() + draw(0.1, 3);
        });
        every(plan_.cut_every, [this] {
            cut_ = pick(), events_.at(events_.now() + draw(0.2, 3), [this] { cut_ = nodes_.size(); });
        });
        events_.run_until(plan_.length);
        // Calm again: everything that is still reported is counted.
        plan_.loss = plan_.twice = 0;
        calm_ = true;
        cut_ = nodes_.size();
        for (Node& node : nodes_) node.stopped_until = 0;
        if (holder_ == nodes_.size()) gain();
        events_.run_until(plan_.length + 40 * kEvery);
        judge();
        result_.rows = values_.size();
        return result_;
    }

  private:
    static constexpr double kEvery = 0.5, kStart = 1000;   // s; the wall clock at 0
    const lease::LeaseTimes times_{1, 0.05, 0.02, 0.1};

    struct Node {
        std::uint64_t process = 0;
        std::unique_ptr<fleet_counters::Reporter> reporter;
        std::unique_ptr<fleet_counters::Aggregator> aggregator;
        std::unique_ptr<lease::RegisterAcceptor> acceptor;
        double votes_from = 0, stopped_until = 0;
        fleet_counters::CounterValues values{};
        std::uint64_t period = 0;
        std::deque<fleet_counters::Row> waiting;   // handed to a receiver that is behind
    };
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }
    static std::size_t number_of(const std::string& name) { return std::stoul(name.substr(1)); }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::size_t pick() { return random_() % nodes_.size(); }
    double unix_s() const { return kStart + events_.now(); }
    void every(double s, std::function<void()> call) {
        if (s > 1e8) return;
        events_.at(events_.now() + draw(0.5, 1.5) * s, [this, s, call = std::move(call)] {
            if (calm_) return;
            call();
            every(s, call);
        });
    }

    void begin(std::size_t i) {
        Node& node = nodes_[i];
        const bool first = node.process == 0;
        node.process = ++processes_;
        node.reporter = std::make_unique<fleet_counters::Reporter>(node.process);
        node.values = {};
        node.aggregator = std::make_unique<fleet_counters::Aggregator>(
            fleet_counters::Settings{kEvery, 0.15}, times_, acceptors_, random_());
        node.waiting.clear();
        if (i >= plan_.acceptors) return;
        const bool knows = first || plan_.remembers;
        node.acceptor = std::make_unique<lease::RegisterAcceptor>(
            knows,
            first || !plan_.remembers ? lease::RegisterAcceptor::Registers{} : node.acceptor->registers());
        node.votes_from = knows ? events_.now() : events_.now() + lease::recovery_wait_s(times_);
    }
    void kill() {
        const std::size_t i = pick();
        Node& node = nodes_[i];
        if (i == holder_)
            holder_ = nodes_.size(), events_.at(events_.now() + draw(0.5, 1.5), [this] { gain(); });
        gone_.push_back(node.values);
        count(node);
        node.stopped_until = 0;
        begin(i);
    }
    void gain() {
        if (holder_ < nodes_.size()) return;
        holder_ = pick();
        nodes_[holder_].stopped_until = 0;
        ++result_.terms;
        nodes_[holder_].aggregator->begin_term(events_.now(), unix_s(), ++number_);
        pump(holder_);
    }
    void lose() {
        if (holder_ == nodes_.size()) return;
        // Whatever it has handed over by now is out; what its lease no longer permits is not.
        nodes_[holder_].aggregator->end_term();
        nodes_[holder_].waiting.clear();
        holder_ = nodes_.size();
    }

    // Time goes on for all: counters rise, periods end, timers come due.
    void tick() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            Node& node = nodes_[i];
            if (events_.now() < node.stopped_until) continue;
            if (!calm_ && random_() % 3 == 0)
                for (std::uint64_t& value : node.values) value += random_() % 5;
            const auto period = static_cast<std::uint64_t>(unix_s() / kEvery);
            if (period > node.period) node.reporter->record_period(node.period = period, node.values);
            if (random_() % 4 == 0) tell(i);
            if (node.aggregator->next_deadline(events_.now(), unix_s()) <= events_.now())
                node.aggregator->on_timer(events_.now(), unix_s());
            pump(i);
        }
        events_.at(events_.now() + 0.02, [this] { tick(); });
    }
    void tell(std::size_t i) {
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
        const int copies = draw(0, 1) < plan_.twice ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (draw(0, 1) < plan_.loss || from == cut_ || to == cut_) continue;
            events_.at(events_.now() + draw(0.001, calm_ ? 0.02 : plan_.delay_most),
                       [this, to, call, process = nodes_[to].process] { arrive(to, process, call); });
        }
    }
    // What is for an earlier process of that name is not read by this one (peers seal it for one process).
    void arrive(std::size_t to, std::uint64_t process, const std::function<void(Node&)>& call) {
        Node& node = nodes_[to];
        if (node.process != process) return;
        if (events_.now() < node.stopped_until) {
            events_.at(node.stopped_until, [this, to, process, call] { arrive(to, process, call); });
            return;
        }
        call(node);
        pump(to);
    }
    void ask(std::size_t i, std::size_t acceptor, const lease::RegisterMessage& message) {
        send(i, acceptor, [this, i, acceptor, message](Node& to) {
            lease::RegisterMessage answer;
            if (!to.acceptor || events_.now() < to.votes_from || !to.acceptor->receive(message, answer))
                return;
            send(acceptor, i, [this, acceptor, answer](Node& client) {
                client.aggregator->on_register_message(events_.now(), unix_s(), name(acceptor), answer);
            });
        });
    }
    void pump(std::size_t i) {
        Node& node = nodes_[i];
        for (auto outgoing = node.aggregator->take_register_messages(); !outgoing.empty();
             outgoing = node.aggregator->take_register_messages())
            for (auto& post : outgoing) ask(i, number_of(post.to), post.message);
        for (auto& answer : node.aggregator->take_acknowledgements())
            send(i, number_of(answer.to), [report = answer.report](Node& to) {
                to.reporter->acknowledge(report.process, report.acknowledged_period);
            });
        for (const fleet_counters::Row& row : node.aggregator->take_rows()) write_row(i, row);
    }
    // Handed over while the lease permits it; the receiver has it now or a little later, if its writer
    // lives.
    void write_row(std::size_t i, const fleet_counters::Row& row) {
        if (i != holder_) return;
        nodes_[i].waiting.push_back(row);
        events_.at(events_.now() + draw(0.01, calm_ ? 0.05 : plan_.behind_most),
                   [this, i, process = nodes_[i].process, number = number_] {
                       Node& node = nodes_[i];
                       if (node.process != process || i != holder_ || number != number_) return;
                       const fleet_counters::Row first =
                           node.waiting.front();   // a sender keeps their order
                       node.waiting.pop_front();
                       take(first);
                       node.aggregator->on_rows_delivered(first.period);
                   });
    }
    void take(const fleet_counters::Row& row) {
        const auto [at, made] = values_.emplace(row.period, row.values);
        result_.duplicate_rows += !made;
        if (!made && at->second != row.values && result_.violation.empty())
            result_.violation = "period " + std::to_string(row.period) + " has two values";
    }
    void count(const Node& node) {
        result_.resets += node.aggregator->resets();
        result_.skipped_periods += node.aggregator->skipped_periods();
        left_out_ += node.reporter->dropped_requests();
    }
    void judge() {
        for (const Node& node : nodes_) count(node);
        if (!result_.violation.empty()) return;
        if (values_.empty()) return void(result_.violation = "no row");
        const std::uint64_t first = values_.begin()->first, last = values_.rbegin()->first;
        if (unix_s() - static_cast<double>(last) * kEvery > 6 * kEvery)
            result_.violation = "rows have ended";
        const std::uint64_t missing = last - first + 1 - values_.size();
        if (missing > 0 && plan_.remembers && result_.skipped_periods == 0)
            result_.violation = std::to_string(missing) + " periods are missing";
        // Sums never fall but where they began anew, and hold all that lives once, and of the dead no more
        // than they had.
        fleet_counters::CounterValues least{}, most{};
        for (const Node& node : nodes_)
            for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k) least[k] += node.values[k];
        most = least;
        for (const fleet_counters::CounterValues& one : gone_)
            for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k) most[k] += one[k];
        const fleet_counters::CounterValues* before = nullptr;
        for (const auto& [period, values] : values_) {
            for (std::size_t k = 0; before && k < fleet_counters::kCounterCount; ++k)
                if (values[k] < (*before)[k] && plan_.remembers) result_.violation = "a sum fell";
            before = &values;
        }
        for (std::size_t k = 0; k < fleet_counters::kCounterCount; ++k) {
            if ((*before)[k] > most[k]) result_.violation = "something is counted twice";
            if (plan_.remembers && left_out_ == 0 && (*before)[k] < least[k])
                result_.violation = "something is not counted: " + std::to_string(least[k] - (*before)[k]);
        }
    }

    Scenario plan_;
    std::mt19937_64 random_;
    lease::AcceptorSet acceptors_;
    std::vector<Node> nodes_;
    Events events_;
    std::map<std::uint64_t, fleet_counters::CounterValues> values_;   // what the receiver has, by period
    std::vector<fleet_counters::CounterValues> gone_;                 // of processes that were killed
    std::size_t holder_ = nodes_.size(), cut_ = nodes_.size();
    std::uint64_t processes_ = 0, number_ = 0, left_out_ = 0;
    bool calm_ = false;
    Result result_;
};

}   // namespace fleet_counters_simulation
