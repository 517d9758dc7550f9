#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "names.hpp"

namespace slatejunction::scale {
namespace {

constexpr const char* kConductor = "conductor";
constexpr double kGrace = 1;            // s, of the sums
constexpr double kAnswersEvery = 0.2;   // s; as in src/fleet_counters/driver.cpp
constexpr std::size_t kAnswersAtOnce = 8;
constexpr double kNever = 1e17;
constexpr std::uint32_t kLimit = 1;

std::vector<membership::AuthKey> keys() { return {membership::AuthKey{}}; }

std::uint32_t channel_of(Duty duty) { return static_cast<std::uint32_t>(duty); }

}   // namespace

double Spent::all_cpu() const {
    double sum = 0;
    for (const double one : cpu_s) sum += one;
    return sum;
}

double Spent::all_bytes() const {
    double sum = 0;
    for (std::size_t d = 0; d < kDuties; ++d) sum += of(static_cast<Duty>(d));
    return sum;
}

double Spent::of(Duty duty) const {
    const auto d = static_cast<std::size_t>(duty);
    return static_cast<double>(bytes[d] + heard[d]);
}

Fleet::Fleet(const Plan& plan, std::uint64_t seed)
    : plan_(plan),
      random_(seed),
      links_(random_, plan.loss, 0.0001, 0.0004),
      nodes_(plan.ingresses),
      spent_(plan.ingresses),
      before_(plan.ingresses),
      worst_cpu_(plan.ingresses),
      times_() {
    links_.set_distance(
        [this](std::size_t from, std::size_t to) { return distance(zone(from), zone(to), plan_.regions); });
    for (std::size_t i = 0; i < plan_.ingresses; ++i) {
        names_.push_back(ingress_name(i));
        by_name_[ingress_name(i)] = i;
        by_address_[ingress_address(i, zone(i))] = i;
    }
    std::sort(names_.begin(), names_.end());
    for (std::size_t i = 0; i < plan_.voters; ++i) voters_.current.push_back(ingress_name(i));
    for (std::size_t i = 0; i < std::min(plan_.started, plan_.ingresses); ++i)
        events_.at(draw(0, plan_.start_s), [this, i] { start(i); });
    look();
}

Fleet::~Fleet() = default;

double Fleet::draw(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
}

std::size_t Fleet::ups() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const auto& one) { return one != nullptr; }));
}

// An ingress's life. ----------------------------------------------------------------------------------

void Fleet::start(std::size_t i) {
    const bool first = spent_[i].all_bytes() == 0;
    nodes_[i] = std::make_unique<Node>();
    Node& node = *nodes_[i];
    node.process = ++processes_;
    node.armed.fill(1e18);
    if (plan_.sealed && plan_.membership)
        node.seal = std::make_unique<membership::DatagramAuth>(keys(), node.process);
    if (plan_.membership) {
        membership::Settings settings;
        settings.name = ingress_name(i);
        settings.address = ingress_address(i, zone(i));
        settings.site = zone_name(zone(i));
        settings.version = "0.1.0";
        settings.protocol_period_s = plan_.interval_s;
        for (std::size_t s = 0; s < 5 && s < plan_.ingresses; ++s)
            settings.seeds.push_back(ingress_address(s, zone(s)));
        node.members = std::make_unique<membership::SwimMembership>(settings, node.process, random_());
    }
    if (plan_.voters > 0) make_leases(i, first);
    if (plan_.period_s > 0) make_sums(i);
    if (plan_.requests_s > 0) make_limits(i);
    if (plan_.membership) {
        {
            const Booked booked(meter_, account(i, Duty::membership));
            node.members->start(now());
        }
        pump_members(i);
    }
}

void Fleet::kill(std::size_t i) { nodes_[i].reset(); }

void Fleet::make_leases(std::size_t i, bool first) {
    Node& node = *nodes_[i];
    const bool votes = i < plan_.voters;
    static const lease::AcceptorState nothing{1, {}};
    node.leases = std::make_unique<lease::LeaseNode>(
        lease::LeaseNodeSettings{ingress_name(i), times_, voters_}, node.process, random_(), now(),
        static_cast<std::uint64_t>(unix_s() * 1e3), first && votes ? &nothing : nullptr);
    node.leases->campaign(now(), kConductor);
    if (votes)
        node.notes = std::make_unique<lease::RegisterAcceptor>(first, lease::RegisterAcceptor::Registers{});
    pump_leases(i);
}

void Fleet::make_sums(std::size_t i) {
    Node& node = *nodes_[i];
    node.teller = std::make_unique<fleet_counters::Reporter>(node.process);
    node.collector = std::make_unique<fleet_counters::Aggregator>(
        fleet_counters::Settings{plan_.period_s, kGrace}, times_, voters_, random_());
    node.period = static_cast<std::uint64_t>(unix_s() / plan_.period_s);
    node.teller->record_period(node.period, node.values);
    cut(i);
}

void Fleet::make_limits(std::size_t i) {
    Node& node = *nodes_[i];
    node.limits = std::make_unique<fleet_rate_limit::RateLimitNode>(
        fleet_rate_limit::Settings{ingress_name(i), names_}, random_());
    node.limits->define(kLimit, plan_.limit);
    if (!plan_.membership) node.limits->set_alive_members(now(), names_);
    ask_later(i, node.process);
}

// The network. ----------------------------------------------------------------------------------------

void Fleet::carry(std::size_t from, std::uint64_t to_process, std::size_t to, std::string payload) {
    if (to >= nodes_.size()) return;
    Node& node = *nodes_[from];
    std::string bytes;
    if (node.seal) {
        const Booked booked(meter_, account(from, Duty::membership));
        bytes = node.seal->seal(to_process, payload);
    } else {
        bytes = std::move(payload);
    }
    const auto delay = links_.delay(from, to);
    if (!delay) return;
    events_.at(now() + *delay, [this, to, process = node.process, bytes = std::move(bytes)] {
        arrive(to, process, bytes);
    });
}

void Fleet::arrive(std::size_t to, std::uint64_t process, const std::string& bytes) {
    if (!nodes_[to]) return;
    Node& node = *nodes_[to];
    const std::size_t size = bytes.size() + (node.seal ? 0 : membership::kAuthOverheadBytes);
    spent_[to].heard[0] += size;
    {
        const Booked booked(meter_, account(to, Duty::membership));
        std::string_view payload = bytes;
        std::uint64_t who = process;
        bool fresh = true;
        if (node.seal) {
            const membership::OpenResult opened = node.seal->open(bytes, who, payload);
            if (opened != membership::OpenResult::accepted &&
                opened != membership::OpenResult::not_for_this_process)
                return;
            fresh = opened == membership::OpenResult::accepted;
        }
        node.members->receive(now(), who, fresh, payload);
    }
    pump_members(to, size);
}

void Fleet::pump_members(std::size_t i, std::size_t arrived) {
    if (!nodes_[i]) return;
    Node& node = *nodes_[i];
    Spent& spent = spent_[i];
    std::vector<membership::Datagram> datagrams;
    std::vector<membership::ReceivedMessage> heard;
    std::vector<membership::MemberChange> changes;
    {
        const Booked booked(meter_, account(i, Duty::membership));
        datagrams = node.members->take_datagrams();
        heard = node.members->take_messages();
        changes = node.members->take_changes();
    }
    for (membership::Datagram& one : datagrams) {
        spent.datagrams[0] += 1;
        spent.bytes[0] += one.payload.size() + membership::kAuthOverheadBytes;
        const auto to = by_address_.find(one.address);
        if (to != by_address_.end()) carry(i, one.process, to->second, std::move(one.payload));
    }
    spent.held_back = node.members->traffic().rate_limited;
    const std::uint64_t process = node.process;
    for (const membership::ReceivedMessage& one : heard) {
        spent.heard[0] -= arrived;
        spent.heard[one.channel] += arrived;
        hear(i, by_name_.at(one.from), one.process, static_cast<Duty>(one.channel), one.body);
        if (!nodes_[i] || nodes_[i]->process != process) return;
    }
    for (const membership::MemberChange& one : changes) {
        if (one.kind != membership::MemberChange::Kind::state_changed ||
            one.member.state != membership::MemberState::gone)
            continue;
        const auto& other = nodes_[by_name_.at(one.member.name)];
        false_deaths_ += other && other->process == one.member.process;
    }
    if (!changes.empty() && node.limits) changed_members(i);
    arm(i, Duty::membership, node.members->next_deadline());
}

void Fleet::changed_members(std::size_t i) {
    const Booked booked(meter_, account(i, Duty::limits));
    std::vector<std::string> there;
    for (const membership::Member& one : nodes_[i]->members->list())
        if (one.state == membership::MemberState::alive || one.state == membership::MemberState::suspected)
            there.push_back(one.name);
    std::sort(there.begin(), there.end());
    nodes_[i]->limits->set_alive_members(now(), std::move(there));
}

// What a core says, by membership's datagrams; each is booked to its duty, with the news that it carries.
bool Fleet::say(std::size_t i, Duty duty, const std::string& to, const std::string& body) {
    if (!plan_.membership) {
        say_direct(i, duty, by_name_.at(to), body);
        return true;
    }
    Node& node = *nodes_[i];
    Spent& spent = spent_[i];
    std::vector<membership::Datagram> datagrams;
    {
        const Booked booked(meter_, account(i, duty));
        node.members->send(now(), to, channel_of(duty), body);
        datagrams = node.members->take_datagrams();
    }
    for (membership::Datagram& one : datagrams) {
        spent.datagrams[static_cast<std::size_t>(duty)] += 1;
        spent.bytes[static_cast<std::size_t>(duty)] += one.payload.size() + membership::kAuthOverheadBytes;
        const auto at = by_address_.find(one.address);
        if (at != by_address_.end()) carry(i, one.process, at->second, std::move(one.payload));
    }
    spent.held_back = node.members->traffic().rate_limited;
    return !datagrams.empty();
}

void Fleet::say_direct(std::size_t i, Duty duty, std::size_t to, const std::string& body) {
    const std::size_t size = body.size() + kEnvelope;
    spent_[i].datagrams[static_cast<std::size_t>(duty)] += 1;
    spent_[i].bytes[static_cast<std::size_t>(duty)] += size;
    const auto delay = links_.delay(i, to);
    if (!delay || !nodes_[to]) return;
    events_.at(now() + *delay, [this, i, to, duty, body, size, process = nodes_[i]->process,
                                to_process = nodes_[to]->process] {
        if (!nodes_[to] || nodes_[to]->process != to_process) return;   // sealed for one process
        spent_[to].heard[static_cast<std::size_t>(duty)] += size;
        hear(to, i, process, duty, body);
    });
}

void Fleet::hear(std::size_t i, std::size_t from, std::uint64_t process, Duty duty,
                 const std::string& body) {
    Node& node = *nodes_[i];
    switch (duty) {
        case Duty::leases: {
            if (!node.leases) return;
            {
                const Booked booked(meter_, account(i, duty));
                node.leases->receive(now(), ingress_name(from), body);
            }
            return pump_leases(i);
        }
        case Duty::notes:
            return hear_note(i, from, body);
        case Duty::sums: {
            if (!node.teller) return;
            bool more = false;
            {
                const Booked booked(meter_, account(i, duty));
                fleet_counters::Report report;
                if (!fleet_counters::decode(body, report)) return;
                if (report.period_counters.empty())
                    node.teller->acknowledge(report.process, report.acknowledged_period);
                else
                    more = node.collector->on_report(now(), unix_s(), ingress_name(from), report);
            }
            if (more) pump_sums(i);
            return;
        }
        case Duty::limits: {
            if (!node.limits) return;
            {
                const Booked booked(meter_, account(i, duty));
                node.limits->on_datagram(now(), ingress_name(from), process, body);
            }
            return pump_limits(i);
        }
        case Duty::membership:
        case Duty::count:
            return;
    }
}

// Leases and notes. -----------------------------------------------------------------------------------

void Fleet::pump_leases(std::size_t i) {
    Node& node = *nodes_[i];
    std::vector<lease::LeaseNode::OutgoingMessage> posts;
    std::vector<lease::LeaseEvent> changes;
    {
        const Booked booked(meter_, account(i, Duty::leases));
        posts = node.leases->take_outgoing();
        changes = node.leases->take_events();
    }
    for (const auto& post : posts) say(i, Duty::leases, post.to, post.body);
    for (const lease::LeaseEvent& change : changes) {
        if (!node.collector) continue;
        {
            const Booked booked(meter_, account(i, Duty::sums));
            if (change.kind == lease::LeaseEvent::Kind::lost)
                node.collector->end_term(), node.answers.clear();
            else
                node.collector->begin_term(now(), unix_s(), change.fencing_token);
        }
        pump_sums(i);
    }
    if (plan_.membership) pump_members(i);
    arm(i, Duty::leases, node.leases->next_deadline());
}

bool Fleet::keep_note(std::size_t i, const lease::RegisterMessage& message,
                      lease::RegisterMessage& answer) {
    Node& node = *nodes_[i];
    const lease::Acceptor* const voter = node.leases ? node.leases->acceptor() : nullptr;
    if (!node.notes || !voter || !voter->is_voting(now()) || message.epoch < voter->epoch()) return false;
    if (!node.notes->receive(message, answer)) return false;
    answer.epoch = voter->epoch();
    return true;
}

void Fleet::hear_note(std::size_t i, std::size_t from, const std::string& body) {
    using Kind = lease::RegisterMessage::Kind;
    lease::RegisterMessage message, answer;
    bool answers = false;
    {
        const Booked booked(meter_, account(i, Duty::notes));
        if (!lease::decode(body, message)) return;
        if (message.kind == Kind::read || message.kind == Kind::write) {
            answers = keep_note(i, message, answer);
        } else if (nodes_[i]->collector) {
            nodes_[i]->collector->on_register_message(now(), unix_s(), ingress_name(from), message);
        }
    }
    if (answers) say(i, Duty::notes, ingress_name(from), lease::encode(answer));
    if (nodes_[i]->collector) pump_sums(i);
}

std::size_t Fleet::holder() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i] && nodes_[i]->leases && nodes_[i]->leases->holds(now(), kConductor)) return i;
    return plan_.ingresses;
}

std::uint64_t Fleet::lost() const {
    std::uint64_t sum = 0;
    for (const auto& one : nodes_)
        if (one && one->leases) sum += one->leases->lost();
    return sum;
}

std::string Fleet::conductor(std::size_t i) const {
    for (const lease::LeaseStatus& one : nodes_[i]->leases->statuses())
        return one.state == lease::Candidate::State::held ? ingress_name(i) : one.other_holder;
    return {};
}

std::size_t Fleet::hint(std::size_t i) const {
    const auto at = by_name_.find(conductor(i));
    return at == by_name_.end() ? plan_.ingresses : at->second;
}

// Sums. -----------------------------------------------------------------------------------------------

void Fleet::cut(std::size_t i) {
    Node& node = *nodes_[i];
    const auto period = static_cast<std::uint64_t>(unix_s() / plan_.period_s);
    if (period > node.period) {
        node.period = period;
        for (std::uint64_t& value : node.values) value += 1000 + random_() % 5000;
        {
            const Booked booked(meter_, account(i, Duty::sums));
            node.teller->record_period(period, node.values);
        }
        events_.at(now() + draw(0, kGrace / 4), [this, i, process = node.process] { tell(i, process); });
    }
    const double next = (static_cast<double>(node.period) + 1) * plan_.period_s - unix_s();
    events_.at(now() + std::max(next, 0.001), [this, i, process = node.process] {
        if (nodes_[i] && nodes_[i]->process == process) cut(i);
    });
}

void Fleet::tell(std::size_t i, std::uint64_t process) {
    if (!nodes_[i] || nodes_[i]->process != process) return;
    Node& node = *nodes_[i];
    std::optional<fleet_counters::Report> report;
    std::string body, to;
    {
        const Booked booked(meter_, account(i, Duty::sums));
        report = node.teller->report();
        if (!report) return;
        to = conductor(i);
        body = fleet_counters::encode(*report);
    }
    if (to == ingress_name(i)) {
        {
            const Booked booked(meter_, account(i, Duty::sums));
            node.collector->on_report(now(), unix_s(), to, *report);
        }
        pump_sums(i);
    } else if (!to.empty()) {
        say(i, Duty::sums, to, body);
        if (plan_.membership) pump_members(i);
    }
    events_.at(now() + kGrace / 3 * draw(0.7, 1.3), [this, i, process] { tell(i, process); });
}

void Fleet::pump_sums(std::size_t i) {
    Node& node = *nodes_[i];
    for (bool more = true; more;) {
        more = false;
        std::vector<lease::RegisterClient::OutgoingMessage> posts;
        std::vector<fleet_counters::Row> rows;
        {
            const Booked booked(meter_, account(i, Duty::sums));
            posts = node.collector->take_register_messages();
            rows = node.collector->take_rows();
            for (auto& answer : node.collector->take_acknowledgements())
                node.answers.push_back(std::move(answer));
        }
        for (const auto& post : posts) {
            if (post.to != ingress_name(i)) {
                say(i, Duty::notes, post.to, lease::encode(post.message));
                continue;
            }
            lease::RegisterMessage answer;
            const Booked booked(meter_, account(i, Duty::notes));
            if (!keep_note(i, post.message, answer)) continue;
            node.collector->on_register_message(now(), unix_s(), ingress_name(i), answer);
            more = true;
        }
        for (const fleet_counters::Row& row : rows) {
            ++rows_;
            row_delay_ = unix_s() - static_cast<double>(row.period) * plan_.period_s;
            row_processes_ = row.process_count;
            node.collector->on_rows_delivered(row.period);
        }
    }
    for (std::size_t k = 0; k < kAnswersAtOnce && !node.answers.empty(); ++k) {
        const auto answer = std::move(node.answers.front());
        node.answers.pop_front();
        if (answer.to == ingress_name(i))
            node.teller->acknowledge(answer.report.process, answer.report.acknowledged_period);
        else
            say(i, Duty::sums, answer.to, fleet_counters::encode(answer.report));
    }
    if (!node.answers.empty() && !std::exchange(node.answering, true))
        events_.at(now() + kAnswersEvery, [this, i, process = node.process] {
            if (!nodes_[i] || nodes_[i]->process != process) return;
            nodes_[i]->answering = false;
            pump_sums(i);
        });
    if (plan_.membership) pump_members(i);
    arm(i, Duty::sums, node.collector->next_deadline(now(), unix_s()));
}

std::uint64_t Fleet::turned_away() const {
    std::uint64_t sum = 0;
    for (const auto& one : nodes_)
        if (one && one->collector) sum += one->collector->rejected_reports();
    return sum;
}

// Fleet limits. ---------------------------------------------------------------------------------------

void Fleet::ask_later(std::size_t i, std::uint64_t process) {
    events_.at(now() + std::exponential_distribution<double>(plan_.requests_s)(random_),
               [this, i, process] {
                   if (!nodes_[i] || nodes_[i]->process != process) return;
                   Node& node = *nodes_[i];
                   const std::uint64_t key = random_() % plan_.keys;
                   ++asked_;
                   {
                       const Booked booked(meter_, account(i, Duty::limits));
                       if (node.limits->retry_after_s(now(), kLimit, key, 1) <= 0) {
                           node.limits->consume(now(), kLimit, key, 1);
                           ++passed_;
                       }
                   }
                   pump_limits(i);
                   ask_later(i, process);
               });
}

void Fleet::pump_limits(std::size_t i) {
    Node& node = *nodes_[i];
    std::vector<fleet_rate_limit::RateLimitNode::OutgoingDatagram> posts;
    double due = 0;
    {
        const Booked booked(meter_, account(i, Duty::limits));
        posts = node.limits->take_outgoing();
        due = node.limits->next_deadline();
    }
    for (const auto& post : posts) say(i, Duty::limits, post.to, post.body);
    if (plan_.membership && !posts.empty()) pump_members(i);
    arm(i, Duty::limits, due);
}

// Time. -----------------------------------------------------------------------------------------------

void Fleet::arm(std::size_t i, Duty duty, double due) {
    double& armed = nodes_[i]->armed[static_cast<std::size_t>(duty)];
    if (due > kNever || (due >= armed - 1e-9 && armed >= now())) return;
    armed = std::max(due, now() + 1e-4);
    events_.at(armed, [this, i, duty, process = nodes_[i]->process, at = armed] {
        if (!nodes_[i] || nodes_[i]->process != process) return;
        double& now_armed = nodes_[i]->armed[static_cast<std::size_t>(duty)];
        if (now_armed != at) return;   // it was armed anew, for sooner
        now_armed = 1e18;
        wake(i, duty);
    });
}

void Fleet::wake(std::size_t i, Duty duty) {
    Node& node = *nodes_[i];
    {
        const Booked booked(meter_, account(i, duty));
        if (duty == Duty::membership && node.members->next_deadline() <= now())
            node.members->on_timer(now());
        if (duty == Duty::leases && node.leases->next_deadline() <= now()) node.leases->on_timer(now());
        if (duty == Duty::sums) node.collector->on_timer(now(), unix_s());
        if (duty == Duty::limits) node.limits->on_timer(now());
    }
    if (duty == Duty::membership) pump_members(i);
    if (duty == Duty::leases) pump_leases(i);
    if (duty == Duty::sums) pump_sums(i);
    if (duty == Duty::limits) pump_limits(i);
}

bool Fleet::run(double until) {
    while (now() < until) {
        if (out_of_time()) return false;
        events_.run_until(std::min(until, now() + 0.1));
    }
    return true;
}

bool Fleet::run_until(double most_s, const std::function<bool()>& holds) {
    const double end = now() + most_s;
    while (!holds()) {
        if (now() >= end || out_of_time()) return false;
        events_.run_until(now() + 0.1);
    }
    return true;
}

void Fleet::look() {
    Second second;
    second.at = now();
    double count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const double bytes = spent_[i].all_bytes() - before_[i].all_bytes();
        const double cpu = spent_[i].all_cpu() - before_[i].all_cpu();
        before_[i] = spent_[i];
        worst_cpu_[i] = std::max(worst_cpu_[i], cpu);
        if (!nodes_[i]) continue;
        count += 1;
        second.mean_bytes += bytes, second.mean_cpu += cpu;
        second.most_bytes = std::max(second.most_bytes, bytes);
        second.most_cpu = std::max(second.most_cpu, cpu);
    }
    if (count > 0) second.mean_bytes /= count, second.mean_cpu /= count;
    seconds_.push_back(second);
    events_.at(now() + 1, [this] { look(); });
}

Second Fleet::worst(double from) const {
    Second worst;
    for (const Second& one : seconds_) {
        if (one.at <= from) continue;
        worst.mean_bytes = std::max(worst.mean_bytes, one.mean_bytes);
        worst.most_bytes = std::max(worst.most_bytes, one.most_bytes);
        worst.mean_cpu = std::max(worst.mean_cpu, one.mean_cpu);
        worst.most_cpu = std::max(worst.most_cpu, one.most_cpu);
    }
    return worst;
}

Spent Fleet::total() const {
    Spent sum;
    for (const Spent& one : spent_) {
        for (std::size_t d = 0; d < kDuties; ++d) {
            sum.cpu_s[d] += one.cpu_s[d];
            sum.datagrams[d] += one.datagrams[d];
            sum.bytes[d] += one.bytes[d];
            sum.heard[d] += one.heard[d];
        }
        sum.held_back += one.held_back;
    }
    return sum;
}

bool Fleet::all_agree() const {
    const std::size_t up = ups();
    if (up == 0) return false;
    for (const auto& one : nodes_)
        if (one && one->members->alive_count() != up) return false;
    return true;
}

bool Fleet::all_agree(std::size_t inside) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i] && nodes_[i]->members->alive_count() != (region(i) == 0 ? inside : ups() - inside))
            return false;
    return true;
}

bool Fleet::all_have(std::size_t i, membership::MemberState state) const {
    const std::string who = ingress_name(i);
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k == i || !nodes_[k]) continue;
        const membership::Member* const one = nodes_[k]->members->find(who);
        if (!one || one->state != state) return false;
    }
    return true;
}

}   // namespace slatejunction::scale
