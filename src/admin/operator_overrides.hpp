// What operators have ordered at this ingress: which backends are suspended, and whether it is drained.
//
// Input: operators' calls and each endpoint list on its way from discovery. Output: the list with suspended
// backends as draining ones, and changes of the list when a suspension begins or ends. It decides nothing
// else about a backend. Pure: no I/O, no clock. Owned by ingress::Ingress; called by it and by
// EndpointUpdates.
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

/// So many backends that no list names any more are remembered, the latest, so that an operator's call for
/// one is no mistake. Suspended ones are never forgotten.
inline constexpr std::size_t kMaxUnlistedBackends = 16384;
inline constexpr std::size_t kMaxSuspendedBackends = 4096;

enum class OverrideResult { done, never_listed, too_many };

class OperatorOverrides {
  public:
    /// Adds those backends that the list names without being read back to it, as they were listed last.
    void restore_unread(discovery::EndpointList& endpoint_list) const;
    /// Remembers what the list names, and makes each suspended backend that serves a draining one.
    void apply_to(discovery::EndpointList& endpoint_list);

    /// `change` gets the backend if the list changes for the gateway; done also where nothing changes.
    OverrideResult suspend(std::string_view id, discovery::EndpointList& change);
    OverrideResult resume(std::string_view id, discovery::EndpointList& change);
    /// A suspension at another process of this ingress, which may have seen other lists. Never
    /// never_listed.
    OverrideResult adopt_suspension(std::string_view id, discovery::EndpointList& change);
    /// Another process of this ingress has seen the backend listed.
    void remember(std::string_view id);

    bool suspended(std::string_view id) const;
    std::vector<std::string> suspended() const;
    std::vector<std::string> ever_listed() const;
    /// The whole list in force as discovery has it, without suspensions.
    discovery::EndpointList current_list() const;
    std::size_t suspensions() const { return suspensions_; }

    /// False: it was so already.
    bool drain() { return !std::exchange(drained_, true); }
    bool activate() { return std::exchange(drained_, false); }
    bool drained() const { return drained_; }

  private:
    struct KnownBackend {
        slatejunction::Endpoint entry;   // as listed last
        std::string address;
        bool suspended = false;
        std::uint64_t unlisted_place = 0;   // in unlisted_; 0: the list names it
    };
    KnownBackend& find_or_add(const std::string& id);
    OverrideResult suspend(KnownBackend& backend, discovery::EndpointList& change);
    void set_listed(const std::string& id, KnownBackend& backend, bool listed);
    void forget_oldest_unlisted();

    std::unordered_map<std::string, KnownBackend> backends_;
    std::map<std::uint64_t, std::string> unlisted_;   // ids by place, the longest unlisted first
    std::uint64_t last_unlisted_place_ = 0;
    std::size_t suspensions_ = 0;
    bool drained_ = false;
};

}   // namespace slatejunction::admin
