// The overrides that operators have set at this ingress: which backends are suspended, and whether the
// ingress is drained.
//
// Input: admin calls, and each endpoint list from discovery. Output: the list with its suspended backends
// marked as draining, and a delta when a suspension begins or ends. It makes no other decision about a
// backend. Pure: no I/O, no clock. Owned by ingress::Ingress; called by it and by EndpointUpdates.
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

/// How many backends that are not listed any more are remembered, so that an admin call for one of them is
/// not an error. The longest unlisted are forgotten first, suspended ones never.
inline constexpr std::size_t kMaxUnlistedBackends = 16384;
inline constexpr std::size_t kMaxSuspendedBackends = 4096;

enum class OverrideResult { done, never_listed, too_many };

class OperatorOverrides {
  public:
    /// Adds the backends of entries that could not be parsed, as they were listed last.
    void restore_unparsed(discovery::EndpointList& endpoint_list) const;
    /// Records the backends of the list, and changes each suspended one from serving to draining.
    void apply_to(discovery::EndpointList& endpoint_list);

    /// Suspend or resume a backend. They append it to `change` if its state changes for the gateway, and
    /// return done also if nothing changes.
    OverrideResult suspend(std::string_view id, discovery::EndpointList& change);
    OverrideResult resume(std::string_view id, discovery::EndpointList& change);
    /// Takes over a suspension from the other process of this ingress, which may have received other
    /// lists: an unknown backend is added, so that the result is never never_listed.
    OverrideResult adopt_suspension(std::string_view id, discovery::EndpointList& change);
    /// Records a backend that the other process of this ingress has seen listed.
    void remember(std::string_view id);

    bool is_suspended(std::string_view id) const;
    std::vector<std::string> suspended_ids() const;
    std::vector<std::string> ever_listed_ids() const;
    /// The whole list in force as discovery states it, without suspensions.
    discovery::EndpointList current_list() const;
    std::size_t suspensions() const { return suspensions_; }

    /// Drain or activate the ingress. They return false if it is in that state already.
    bool drain() { return !std::exchange(drained_, true); }
    bool activate() { return std::exchange(drained_, false); }
    bool drained() const { return drained_; }

  private:
    struct KnownBackend {
        slatejunction::Endpoint entry;   // as listed last; removed: not listed
        std::string address;
        bool suspended = false;
        std::uint64_t unlisted_sequence = 0;   // key in unlisted_; 0: the backend is listed
    };
    KnownBackend& find_or_add(const std::string& id);
    OverrideResult suspend(KnownBackend& backend, discovery::EndpointList& change);
    void set_listed(const std::string& id, KnownBackend& backend, bool listed);
    void forget_oldest_unlisted();

    std::unordered_map<std::string, KnownBackend> backends_;
    std::map<std::uint64_t, std::string> unlisted_;   // ids, the longest unlisted first
    std::uint64_t last_unlisted_sequence_ = 0;
    std::size_t suspensions_ = 0;
    bool drained_ = false;
};

}   // namespace slatejunction::admin
