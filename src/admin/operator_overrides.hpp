// What operators have said of this ingress: which providers are suspended, and whether it is drained. Pure:
// no I/O, no clock. Lays suspension over the directory's list, so that the module learns a fact of that
// list and goes on deciding all.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::admin {

// Of ids that no list names any more the latest are remembered, so that an operator's call for one is not
// taken for a mistake. Suspended ones are never forgotten, and no more than so many may be.
inline constexpr std::size_t kGoneMost = 16384, kSuspendedMost = 4096;

enum class OverrideResult { done, never_listed, too_many };

class OperatorOverrides {
  public:
    // Puts those that the listing names without being read back into it, as they were listed last.
    void restore_unread(discovery::EndpointList& listing) const;
    // Remembers what the directory lists, and makes each suspended entry Terminating, whatever is listed.
    void apply_to(discovery::EndpointList& listing);

    // `change` gets what has changed of the list as the module is to see it; nothing when nothing has.
    OverrideResult suspend(std::string_view id, discovery::EndpointList& change);
    OverrideResult resume(std::string_view id, discovery::EndpointList& change);
    // Suspended at another process of this ingress, which may have seen lists that this one has not.
    OverrideResult adopt_suspension(std::string_view id, discovery::EndpointList& change);
    void remember(std::string_view id);   // listed there at some time

    bool suspended(std::string_view id) const;
    std::vector<std::string> suspended() const;
    std::vector<std::string> ever_listed() const;
    discovery::EndpointList current_list() const;   // the whole list in force, as the directory has it
    std::size_t suspensions() const { return suspensions_; }

    // False when that was so already.
    bool drain() { return !std::exchange(drained_, true); }
    bool activate() { return std::exchange(drained_, false); }
    bool drained() const { return drained_; }

  private:
    struct Known {
        slatejunction::Endpoint entry;   // as listed last
        std::string address;
        bool suspended = false;
        std::uint64_t gone = 0;   // its place in gone_; 0: the list names it
    };
    Known& known(const std::string& id);
    OverrideResult suspend(Known& known, discovery::EndpointList& change);
    void list(const std::string& id, Known& known, bool listed);
    void forget_some();

    std::unordered_map<std::string, Known> known_;
    std::map<std::uint64_t, std::string> gone_;   // not named by the list, the longest gone first
    std::uint64_t goings_ = 0;
    std::size_t suspensions_ = 0;
    bool drained_ = false;
};

}   // namespace slatejunction::admin
