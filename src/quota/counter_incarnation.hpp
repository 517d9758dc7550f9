// A name on the shared counter that one ingress sets for all: the conductor (src/lease). Whoever sees it
// lower than it was, or finds its own check gone, tells the conductor; that looks for itself, and if it is
// so raises the epoch (the number of times that the counter has lost what it held), sets the name anew and
// tells everybody. So a loss that one ingress sees counts at all of them at once, and an ingress whose own
// check is wrong makes nobody's stores count as empty but its own.
//
// A decision room: what was read, messages and the time in; calls, messages and verdicts out. Epochs come
// by messages alone, so a call that is done twice does no harm. An ingress that hears nothing keeps to its
// own check.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kSentinelEvery =
    1;   // s, between two reads; each ingress, each part of the counter
inline constexpr double kSentinelAgain = 0.3;   // s, until what was found is told again
inline constexpr double kSentinelTell = 5;      // s, between the conductor's words to all

// From a loss of the counter until every ingress that hears the conductor counts stores as empty (s), one
// way taking `way_s` at most: one of them reads, the conductor hears it and reads, and tells all. A message
// that is lost costs kSentinelAgain more.
double sentinel_within_s(double call_s, double way_s);

struct IncarnationMessage {
    enum class Kind { found = 1, epoch } kind = Kind::found;
    unsigned part = 0;
    std::uint64_t epoch = 0;   // as the sender has it
};
std::string write(const IncarnationMessage& message);
bool read(std::string_view bytes, IncarnationMessage& message);   // false: it is none

class CounterIncarnation {
  public:
    explicit CounterIncarnation(unsigned parts) : parts_(parts) {}

    // This ingress conducts from now on, or no longer.
    void on_leadership_change(double now, bool on);
    // The bank here has found that the part lost what it held, for sure (not that its own check had aged).
    void on_lost(double now, unsigned part);
    // The name of that generation held `total`; a read.
    void on_read(double now, unsigned part, std::int64_t generation, double total);
    void on_message(double now, const IncarnationMessage& message);
    // Times are of the counter's generations (s, Unix).
    void on_timer(double now);
    double next_deadline() const { return due_; }

    // Reads (by 0) and settings (by 1) of the name. A setting is an act: whether it may begin is asked
    // right before.
    struct Add {
        unsigned part = 0;
        std::int64_t generation = 0;
        double by = 0;
    };
    std::vector<Add> take_adds() { return std::exchange(adds_, {}); }
    struct OutgoingMessage {
        bool all = false;   // to all; else to the conductor
        IncarnationMessage message;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(posts_, {}); }
    // Parts of which all stores are to count as empty, as others have found it.
    std::vector<unsigned> take_lost() { return std::exchange(lost_, {}); }

    std::uint64_t epoch(unsigned part) const { return parts_[part].epoch; }
    std::uint64_t raised() const { return raised_; }   // by this one as the conductor
    std::uint64_t not_so() const { return not_so_; }   // found by another, and not so

  private:
    struct Part {
        std::uint64_t epoch = 0;
        std::int64_t generation = -1;   // of the last total
        double total = 0;
        bool found = false, told_here = false;   // a loss that no epoch tells yet; the bank has it already
        bool doubt = false;   // the conductor: somebody has found it, the next read tells
        double read_at = 0, told_at = 0, tell_at = 0;
        double fresh_until = 0;   // the epoch is this one's own guess until others had time to tell theirs
    };
    void raise(double now, unsigned number);
    void tell(double now, unsigned number);
    void learn(double now, unsigned number, std::uint64_t epoch);
    void find(double now, unsigned number);
    void read_now(double now, unsigned number);

    std::vector<Part> parts_;
    bool conducts_ = false;
    double due_ = 0;
    std::vector<Add> adds_;
    std::vector<OutgoingMessage> posts_;
    std::vector<unsigned> lost_;
    std::uint64_t raised_ = 0, not_so_ = 0;
};

}   // namespace slatejunction::quota
