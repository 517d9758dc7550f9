// slatejunction: the interface of one gateway's decisions.
//
// A Gateway is told what happens (events) and says what to do (actions). It does no I/O, starts no
// threads, reads no clock and holds no globals: the caller supplies the time, the seed and the events,
// and carries out the actions in the order in which they were appended.
//
// Contract, for every call of Gateway::handle():
//  - time: `now` is in seconds on any monotonic clock. A value that is not finite, or lies before an
//    earlier one, is taken as the latest time seen.
//  - order: events are given in the order in which they arrived. Several may carry the same `now`.
//  - ownership: events are only read during the call; actions own their strings.
//  - threads: one call at a time for each Gateway. Different Gateways share nothing.
//  - determinism: equal settings, seed and events give equal actions, on every platform.
//  - bad calls: an event that names an unknown request, attempt or timer, or repeats an outcome, is
//    ignored; a request of an unknown class is refused. No call throws for its content.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace slatejunction {

enum class Effect { pure, token, side_effect };
enum class Group { all, zone, cell };
enum class Discovery { automatic, subscribe };
enum class Outcome {
    ok = 0,
    error = 1,
    full = 2,
    timeout = 3,
    connect_failed = 4,
    reset = 5,
    cancelled = 6,
    moot = 7
};

struct ServiceClass {
    std::string name;
    double aim_s = 0;
    double deadline_s = 0;
    Effect effect = Effect::pure;
    Group group = Group::all;
    double window_s = 0;
    bool stream = false;
    double worth = 0;
    double late_worth = 0;
    bool operator==(const ServiceClass&) const = default;
};

struct Plan {
    std::string name;
    double rate = 0;            // units per second; 0: no such quota
    double burst = 0;           // units the store holds
    double ceiling_rate = 0;    // units per second; 0: no ceiling
    double ceiling_burst = 0;   // units
    double ceiling_slack = 0;   // units
    double max_out = 0;         // attempts out at once over all gateways; 0: no such quota
    double price = 0;           // worth factor
    double over_worth = 0;      // share of worth earned beyond the quota
    double over_cost = 0;       // share of worth lost when forwarded beyond the quota
    bool operator==(const Plan&) const = default;
};

// What the operator states at start. Every default is zero or empty: nothing here is a decision.
struct Settings {
    std::vector<ServiceClass> classes;
    std::vector<Plan> plans;
    std::vector<std::string> report_fields;
    std::string zone;
    Discovery discovery = Discovery::automatic;
    std::int64_t my_number = 0;
    double balancers = 0;
    double meter_period_s = 0;
    double largest_units = 0;
    double attempts_cap = 0;
    bool parallel_tries = false;
    bool cancel = false;
    bool probes = false;
    bool reports_on_probe_only = false;
    bool retry_after = false;
    double max_retry_after_s = 0;
    double quantum_s = 0;
    double ask_within_s = 0;
    double cold_from = 0;
    double warm_within_s = 0;
    double fall_multiple = 0;
    double fall_s = 0;
    bool operator==(const Settings&) const = default;
};

enum class ServerState { in, lame, out };
enum class ListKind { changes, total, warm_copy, lost };

struct ListEntry {
    ServerState state = ServerState::in;
    std::string server;
    std::string kind;
    std::string zone;
    double capacity_hint = 0;
    std::int64_t cell = 0;
    double born_s = 0;           // 0: long ago
    std::uint64_t subsets = 0;   // the named parts of the fleet that it belongs to, as bits
    bool operator==(const ListEntry&) const = default;
};

// Events. -------------------------------------------------------------------------------------------

// The first event of a Gateway; until it is given, requests are refused.
struct Start {};

// The list of servers, or changes to it. A server absent from a complete list is gone.
struct ListUpdate {
    ListKind kind = ListKind::changes;
    std::vector<ListEntry> entries;
    bool operator==(const ListUpdate&) const = default;
};

// When a request that is for a named part of the fleet may go to the whole of it instead: never; when that
// part has no server; or also when it is pressed: by its load, by what is open there, or as no server of it
// can take the request.
enum class Spill { never = 0, empty = 1, pressed = 2 };

// A client's request. Exactly one final answer is owed for it before `due_s`: an attempt's `ok`, or a
// Refuse or Abort action. `id` must not be used again while it is open.
struct Request {
    std::string id;
    std::string service_class;
    std::string plan;
    double units = 0;
    std::uint64_t customer = 0;
    double due_s = 0;
    double doors = 0;           // how many gateways this customer's requests may arrive through
    bool repeat = false;        // the client says that it asked for this before
    std::uint64_t subset = 0;   // the one part of the fleet it is for, as in ListEntry; 0: the whole
    Spill spill = Spill::never;
    double over_limit_s =
        0;   // over a limit of this gateway's own, which has room again so much later; 0: not
};

// How an attempt ended: exactly one for each Send. `ended` tells that nothing more is owed.
struct AttemptEnd {
    std::string id;
    std::int64_t attempt = 0;
    Outcome outcome = Outcome::ok;
    double took_s = 0;
    bool ended = false;
    double quota_use = 0;         // 1 + percent of the rate used in the last metered period; 0: none
    double charged = 0;           // true units where they are settled afterwards; 0: none
    std::vector<double> report;   // by Settings::report_fields, NaN where absent; carried, not judged by
    double written_s =
        0;   // of its time, that the request itself took to be written; no latency of the server
    bool stale = false;   // broken at once on a connection kept from earlier: that may have ended meanwhile
};

// A streamed answer has begun: neither the attempt's time-out nor the deadline runs any more.
struct StreamBegun {
    std::string id;
    std::int64_t attempt = 0;
};

struct ProbeEnd {
    std::string server;
    Outcome outcome = Outcome::ok;
    double took_s = 0;
    std::vector<double> report;
};

struct TimerDue {
    std::uint64_t tag = 0;
};

// The client left, or its answer is overdue. Nothing is owed any more.
struct ClientGone {
    std::string id;
};

using Event =
    std::variant<Start, ListUpdate, Request, AttemptEnd, StreamBegun, ProbeEnd, TimerDue, ClientGone>;

// Actions. ------------------------------------------------------------------------------------------

// Attempts of a request are numbered 0, 1, 2 ... in the order of their Send. allow_s 0: until due.
struct Send {
    std::string id;
    std::string server;
    double allow_s = 0;
    bool spilled = false;    // to the whole fleet, though the request is for a part of it
    double begin_by_s = 0;   // clock time after which nothing of it may be written any more; 0: none
};
struct CallOff {
    std::string id;
    std::int64_t attempt = 0;
};
// Why a request was refused. The numbers are stable: they are kept in files and shown to operators.
enum class Reason {
    quota = 0,         // the pass share draw: its customer asks beyond the quota
    ceiling = 1,       // a plan's hard ceiling, or its cap on attempts out
    fraction = 2,      // the admitted fraction draw: the fleet is slow
    open_work = 3,     // too much is open for the rate of answers
    no_provider = 4,   // no server could take it
    attempts = 5,      // its attempts came back without an answer, and none may follow
    malformed = 6,     // of an unknown class, or due before it came
    limit = 8          // Request::over_limit_s; 7 is the door's own
};

// Final: certain that the request had no effect, or that its class may be repeated.
struct Refuse {
    std::string id;
    double retry_after_s = 0;   // 0: no advice
    Reason reason = Reason::malformed;
};
// Final: failed, with no word about its effect.
struct Abort {
    std::string id;
};
struct SetTimer {
    double due_s = 0;
    std::uint64_t tag = 0;
};
struct Probe {
    std::string server;
};
struct Listen {
    bool on = false;
};
struct Note {
    std::string text;
};
// The admitted fraction, 0.05 to 1, whenever it has changed; 1 until this is first said. Each part of the
// fleet that requests are for has its own. Nothing to do.
struct Admitted {
    double fraction = 1;
    std::uint64_t subset = 0;   // as in Request; 0: the whole fleet
};

using Action = std::variant<Send, CallOff, Refuse, Abort, SetTimer, Probe, Listen, Note, Admitted>;

class Gateway {
  public:
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void handle(double now, const Event& event, std::vector<Action>& actions);

    // Requests and attempts still tracked; 0 once everything has ended.
    std::size_t open() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}   // namespace slatejunction
