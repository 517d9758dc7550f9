// The wire's adapter: turns lines into the types of gateway.hpp and back, and hosts many gateways in one
// process. It takes no decision; each instance has a Gateway of its own and they share nothing.
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace sj = slatejunction;

namespace {

using Parts = std::vector<std::string_view>;

struct BadLine : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Parts split(std::string_view text, char mark) {
    Parts parts;
    for (std::size_t from = 0;;) {
        const std::size_t to = text.find(mark, from);
        parts.push_back(text.substr(from, to - from));
        if (to == std::string_view::npos) return parts;
        from = to + 1;
    }
}

double number(std::string_view text, const char* what) {
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        throw BadLine(std::string(what) + " is not a number: '" + std::string(text) + "'");
    return value;
}

template <class Int>
Int whole(std::string_view text, const char* what) {
    Int value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size())
        throw BadLine(std::string(what) + " is not a whole number: '" + std::string(text) + "'");
    return value;
}

// Walks the fields of one line; '-' and a missing trailing field read as absent.
class Fields {
  public:
    Fields(const Parts& parts, std::size_t at) : parts_(parts), at_(at) {}

    std::string_view text(const char* what) {
        if (at_ >= parts_.size() || parts_[at_] == "-" || parts_[at_].empty())
            throw BadLine(std::string(what) + " is missing");
        return parts_[at_++];
    }
    std::string word(const char* what) { return std::string(text(what)); }
    double real(const char* what) { return number(text(what), what); }
    double real_or_0(const char* what) {
        const std::string_view value = maybe();
        return value.empty() ? 0 : number(value, what);
    }
    template <class Int>
    Int integer(const char* what) {
        return whole<Int>(text(what), what);
    }
    bool flag(const char* what) {
        const std::string_view value = text(what);
        if (value != "0" && value != "1") throw BadLine(std::string(what) + " is neither 1 nor 0");
        return value == "1";
    }
    std::vector<double> row(const char* what) {
        std::vector<double> values;
        const std::string_view value = maybe();
        if (!value.empty())
            for (const std::string_view one : split(value, ',')) values.push_back(number(one, what));
        return values;
    }
    sj::AttemptResult outcome() {
        const int code = integer<int>("Result");
        if (code < 0 || code > 7) throw BadLine("Result is not a known outcome");
        return static_cast<sj::AttemptResult>(code);
    }

  private:
    std::string_view maybe() {
        if (at_ >= parts_.size()) return {};
        const std::string_view value = parts_[at_++];
        return value == "-" ? std::string_view() : value;
    }
    const Parts& parts_;
    std::size_t at_;
};

class Config {
  public:
    explicit Config(const Parts& parts, std::size_t from) {
        for (std::size_t i = from; i < parts.size(); ++i) {
            const std::size_t mark = parts[i].find('=');
            if (mark == std::string_view::npos)
                throw BadLine("a setting without '=': '" + std::string(parts[i]) + "'");
            values_[std::string(parts[i].substr(0, mark))] = std::string(parts[i].substr(mark + 1));
        }
    }
    std::string text(const std::string& key) const {
        const auto at = values_.find(key);
        return at == values_.end() ? std::string() : at->second;
    }
    double real(const std::string& key) const {
        const auto at = values_.find(key);
        return at == values_.end() ? 0 : number(at->second, key.c_str());
    }
    double needed(const std::string& key) const {
        if (values_.find(key) == values_.end()) throw BadLine("setting " + key + " is missing");
        return real(key);
    }
    bool flag(const std::string& key) const {
        const std::string value = text(key);
        return value == "true" || value == "1";
    }

  private:
    std::map<std::string, std::string> values_;
};

sj::Idempotency effect_of(const std::string& name) {
    if (name == "pure") return sj::Idempotency::idempotent;
    if (name == "token") return sj::Idempotency::idempotency_key;
    if (name == "side_effect") return sj::Idempotency::not_idempotent;
    throw BadLine("an unknown Effect: '" + name + "'");
}

sj::IdempotencyScope group_of(const std::string& name) {
    if (name == "zone") return sj::IdempotencyScope::zone;
    if (name == "cell") return sj::IdempotencyScope::cell;
    return sj::IdempotencyScope::all;
}

sj::Settings settings_of(const Config& config) {
    sj::Settings s;
    const auto classes = static_cast<int>(config.needed("Services.count"));
    for (int i = 0; i < classes; ++i) {
        const std::string at = "Services." + std::to_string(i) + ".";
        sj::ServiceClass c;
        c.name = config.text(at + "Name");
        if (c.name.empty()) throw BadLine("setting " + at + "Name is missing");
        c.latency_objective_s = config.needed(at + "AimS");
        c.deadline_s = config.real(at + "DeadlineS");
        c.idempotency = effect_of(config.text(at + "Effect"));
        c.idempotency_scope = group_of(config.text(at + "Group"));
        c.idempotency_window_s = config.real(at + "WindowS");
        c.streaming = config.flag(at + "Stream");
        c.priority_weight = config.real(at + "Worth");
        c.late_priority_weight = config.real(at + "LateWorth");
        s.classes.push_back(std::move(c));
    }
    const auto plans = static_cast<int>(config.real("Contracts.count"));
    for (int i = 0; i < plans; ++i) {
        const std::string at = "Contracts." + std::to_string(i) + ".";
        sj::Plan p;
        p.name = config.text(at + "Name");
        p.rate = config.real(at + "UnitsPerS");
        p.burst = config.real(at + "Depth");
        p.hard_limit_rate = config.real(at + "CeilingRate");
        p.hard_limit_burst = config.real(at + "HardBurst");
        p.hard_limit_slack = config.real(at + "Tolerance");
        p.max_in_flight = config.real(at + "MaxOut");
        p.plan_weight = config.real(at + "Price");
        p.over_quota_weight = config.real(at + "ExtraWorth");
        p.over_quota_penalty = config.real(at + "OverCost");
        s.plans.push_back(std::move(p));
    }
    const std::string how = config.text("Telemetry.How");
    if (how == "inline" || how == "on_probe")
        for (const std::string_view field : split(config.text("Telemetry.Fields"), ','))
            s.report_fields.emplace_back(field);
    s.reports_on_health_check_only = how == "on_probe";
    s.zone = config.text("Zone");
    s.discovery = config.text("Discovery") == "subscribe" ? sj::DiscoveryMode::subscribe
                                                          : sj::DiscoveryMode::automatic;
    s.ingress_index = static_cast<std::int64_t>(config.real("MyNumber"));
    s.ingress_count = config.needed("Balancers");
    s.meter_period_s = config.real("FamilyInfo.MeterPeriodS");
    s.max_request_units = config.real("FamilyInfo.UnitsTop");
    s.max_attempts = config.needed("Limits.AttemptsCap");
    s.hedging_allowed = config.flag("Limits.ParallelTries");
    s.cancellation_allowed = config.flag("Limits.Cancel");
    s.health_checks_allowed = config.flag("Limits.Probes");
    s.retry_after = config.flag("Limits.RetryAfter");
    s.max_retry_after_s = config.real("Limits.MaxRetryAfterS");
    s.tick_interval_s = config.real("QuantumS");
    s.watch_retry_within_s = config.real("Rules.AskWithinS");
    s.slow_start_min_capacity = config.real("Rules.ColdFrom");
    s.slow_start_window_s = config.real("Rules.WarmWithinS");
    s.overload_multiple = config.real("Rules.FallMultiple");
    s.overload_window_s = config.real("Rules.FallS");
    return s;
}

sj::Endpoint entry_of(Fields f) {
    sj::Endpoint e;
    const std::string state = f.word("StageState");
    if (state == "IN")
        e.state = sj::EndpointState::serving;
    else if (state == "LAME")
        e.state = sj::EndpointState::draining;
    else if (state == "OUT")
        e.state = sj::EndpointState::removed;
    else
        throw BadLine("an unknown StageState: '" + state + "'");
    e.backend = f.word("Server");
    if (e.state == sj::EndpointState::removed) return e;
    e.flavor = f.word("GenerationHw");
    e.zone = f.word("Az");
    e.capacity_hint = f.real_or_0("CapacityHint");
    e.cell = static_cast<std::int64_t>(f.real_or_0("UnitGroup"));
    e.started_at_s = f.real_or_0("BornS");
    return e;
}

sj::EndpointUpdateKind list_kind(const std::string& form) {
    if (form == "incr") return sj::EndpointUpdateKind::delta;
    if (form == "total") return sj::EndpointUpdateKind::snapshot;
    if (form == "warm_copy") return sj::EndpointUpdateKind::cached_snapshot;
    if (form == "lost") return sj::EndpointUpdateKind::watch_lost;
    throw BadLine("an unknown Form: '" + form + "'");
}

class Host {
  public:
    void run() {
        std::string line;
        while (std::getline(std::cin, line)) {
            ++line_number_;
            if (!line.empty() && line.back() == '\r') line.pop_back();
            try {
                take(line);
            } catch (const std::exception& fault) {
                complain(fault.what());
            }
            if (line == "OVER_TO_YOU") finish();
        }
    }

  private:
    void complain(const std::string& fault) {
        std::cerr << "line " << line_number_ << ": " << fault << '\n';
    }

    void take(const std::string& line) {
        if (line.empty() || line == "OVER_TO_YOU") {
            close_list("the list ended early");
            return;
        }
        const Parts parts = split(line, '\t');
        const std::string_view name = parts[0];
        if (name == "M") {
            take_entry(parts);
            return;
        }
        close_list("the list ended early");
        if (name == "BATCH") {
            clock_ = Fields(parts, 1).real("the clock");
            return;
        }
        if (!known(name)) throw BadLine("an unknown message: '" + std::string(name) + "'");
        Fields f(parts, 1);
        const auto who = f.integer<std::int64_t>("Who");
        if (name == "BEGIN") {
            const auto seed = f.integer<std::uint64_t>("Prng");
            gateways_.erase(who);
            const auto made = gateways_.emplace(who, sj::Gateway(settings_of(Config(parts, 3)), seed));
            give(who, made.first->second, sj::Start{});
            return;
        }
        const auto at = gateways_.find(who);
        if (name == "SHUTDOWN") {
            if (at == gateways_.end()) throw BadLine("an unknown instance");
            gateways_.erase(at);
            return;
        }
        if (name == "DIRECTORY_UPDATE") {
            List list;
            list.who = who;
            list.update.kind = list_kind(f.word("Form"));
            f.integer<std::int64_t>("Index");
            list.left = f.integer<std::int64_t>("Elements");
            if (list.left < 0) throw BadLine("Elements is below 0");
            list_ = std::move(list);
            if (at == gateways_.end()) throw BadLine("an unknown instance");
            if (list_->left == 0) close_list("");
            return;
        }
        if (at == gateways_.end()) throw BadLine("an unknown instance");
        sj::Gateway& gateway = at->second;
        if (name == "CALL") {
            sj::Request r;
            r.id = f.word("Job");
            r.service_class = f.word("Class");
            r.plan = f.word("Contract");
            r.units = f.real("CostUnits");
            f.real_or_0("Base");
            r.customer = f.integer<std::uint64_t>("Customer");
            r.deadline_at_s = f.real("DueS");
            const double bits = f.real_or_0("Bits");
            r.is_client_retry = bits >= 0 && bits < 1024 && (static_cast<int>(bits) & 2) != 0;
            r.ingress_count = f.real_or_0("Doors");
            give(who, gateway, r);
        } else if (name == "ATTEMPT_END") {
            sj::AttemptEnded e;
            e.id = f.word("Job");
            e.attempt = f.integer<std::int64_t>("SeqNo");
            f.text("Server");
            e.result = f.outcome();
            e.duration_s = f.real("TookS");
            e.request_ended = f.flag("NoMore");
            e.quota_use = f.real_or_0("QuotaUse");
            e.charged_units = f.real_or_0("Charged");
            e.report = f.row("Telemetry");
            give(who, gateway, e);
        } else if (name == "FIRST") {
            sj::StreamStarted b;
            b.id = f.word("Job");
            f.text("Server");
            b.attempt = f.integer<std::int64_t>("SeqNo");
            give(who, gateway, b);
        } else if (name == "CHECK_RESULT") {
            sj::HealthCheckEnded p;
            p.backend = f.word("Server");
            p.result = f.outcome();
            p.duration_s = f.real("TookS");
            p.report = f.row("Telemetry");
            give(who, gateway, p);
        } else if (name == "TICK_DUE") {
            give(who, gateway, sj::TimerFired{f.integer<std::uint64_t>("Tag")});
        } else if (name == "CLIENT_GONE") {
            give(who, gateway, sj::ClientDisconnected{f.word("Job")});
        }
    }

    static bool known(std::string_view name) {
        for (const char* one : {"BEGIN", "DIRECTORY_UPDATE", "CALL", "MEMO", "CHECK_RESULT", "FIRST",
                                "TALLIED", "TICK_DUE", "CLIENT_GONE", "ATTEMPT_END", "SHUTDOWN"})
            if (name == one) return true;
        return false;
    }

    void take_entry(const Parts& parts) {
        if (!list_) throw BadLine("a list entry outside a list");
        --list_->left;
        try {
            list_->update.endpoints.push_back(entry_of(Fields(parts, 1)));
        } catch (const std::exception& fault) {
            list_->broken = true;
            complain(fault.what());
        }
        if (list_->left == 0) close_list("");
    }

    // A complete list with a hole in it says nothing of the servers in the hole: what it does say is
    // given as changes, so that a bad line cannot take a server away.
    void close_list(const char* fault) {
        if (!list_) return;
        List list = std::move(*list_);
        list_.reset();
        if (list.left > 0) complain(fault);
        const bool whole_list = list.update.kind == sj::EndpointUpdateKind::snapshot;
        if ((list.left > 0 || list.broken) && whole_list) list.update.kind = sj::EndpointUpdateKind::delta;
        const auto at = gateways_.find(list.who);
        if (at != gateways_.end()) give(list.who, at->second, list.update);
    }

    void give(std::int64_t who, sj::Gateway& gateway, const sj::Event& event) {
        actions_.clear();
        gateway.handle(clock_, event, actions_);
        for (const sj::Action& action : actions_) write(who, action);
    }

    void put(double value) {
        char text[40];
        reply_.append(text, static_cast<std::size_t>(std::snprintf(text, sizeof text, "%.9g", value)));
    }
    void put_time(double value) {
        char text[40];
        reply_.append(text, static_cast<std::size_t>(std::snprintf(text, sizeof text, "%.6f", value)));
    }
    void head(const char* name, std::int64_t who, std::string_view first) {
        reply_.append(name).append(1, '\t').append(std::to_string(who)).append(1, '\t').append(first);
    }

    void write(std::int64_t who, const sj::Action& action) {
        if (std::holds_alternative<sj::AdmittedFraction>(action)) return;   // the wire has no word for it
        std::visit(
            [&](const auto& a) {
                using T = std::decay_t<decltype(a)>;
                if constexpr (std::is_same_v<T, sj::StartAttempt>) {
                    head("DISPATCH", who, a.id);
                    reply_.append(1, '\t').append(a.backend).append(1, '\t');
                    put(a.timeout_s);
                } else if constexpr (std::is_same_v<T, sj::CancelAttempt>) {
                    head("CALL_OFF", who, a.id);
                    reply_.append(1, '\t').append(std::to_string(a.attempt));
                } else if constexpr (std::is_same_v<T, sj::RejectRequest>) {
                    head("REFUSE", who, a.id);
                    reply_.append(1, '\t');
                    put(a.retry_after_s);
                } else if constexpr (std::is_same_v<T, sj::FailRequest>) {
                    head("ABORT", who, a.id);
                } else if constexpr (std::is_same_v<T, sj::SetTimer>) {
                    head("SET_TIMER", who, "");
                    put_time(a.fire_at_s);
                    reply_.append(1, '\t').append(std::to_string(a.tag));
                } else if constexpr (std::is_same_v<T, sj::StartHealthCheck>) {
                    head("SAMPLE", who, a.backend);
                } else if constexpr (std::is_same_v<T, sj::WatchEndpoints>) {
                    head("LISTEN", who, a.enabled ? "1" : "0");
                } else if constexpr (std::is_same_v<T, sj::LogMessage>) {
                    head("DEBUG", who, a.text);
                }
            },
            action);
        reply_.append(1, '\n');
    }

    void finish() {
        reply_.append("END\n");
        std::cout << reply_ << std::flush;
        reply_.clear();
    }

    struct List {
        std::int64_t who = 0;
        std::int64_t left = 0;
        bool broken = false;
        sj::EndpointUpdate update;
    };

    std::map<std::int64_t, sj::Gateway> gateways_;
    std::optional<List> list_;
    std::vector<sj::Action> actions_;
    std::string reply_;
    double clock_ = 0;
    std::uint64_t line_number_ = 0;
};

}   // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    Host().run();
    return 0;
}
