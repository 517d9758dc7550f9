// Durable storage of replicas and followers, as the cores see it. The cores call it before they report,
// count or apply what it stores. Implemented by files (file_storage.hpp), and by maps in tests.
//
// Every method returns whether its effect is durable: a killed process finds it again. False: no part of it
// may be found again, and the core continues as if it had not called.
#pragma once

#include <string>
#include <vector>

#include "rollout/log.hpp"

namespace slatejunction::rollout {

/// What a replica finds at its start. `storage_intact`: everything that it ever promised and appended is in
/// it. False: the disk is new, was lost or was set aside as broken, and the replica counts in no majority
/// until a leader admits it. Never true for a part.
struct ReplicaStored {
    bool storage_intact = false;
    std::uint64_t promised = 0;       // the highest term
    std::uint64_t commit_index = 0;   // a lower bound
    Log log;
};

class ReplicaStorage {
  public:
    virtual ~ReplicaStorage() = default;
    /// Before a promise is sent, and before an admitted replica reports intact storage.
    virtual bool save_promise(std::uint64_t term, bool remembers) = 0;
    /// Before an append is acknowledged. The records follow the last one stored.
    virtual bool append(const std::vector<Record>& records) = 0;
    /// Before a conflicting suffix is replaced: no record after `number` is found again.
    virtual bool truncate(std::uint64_t number) = 0;
    /// Replaces the stored log: after a snapshot, and for compaction. Promise and storage_intact are
    /// unchanged.
    virtual bool replace(const Log& log, std::uint64_t committed) = 0;
    /// A hint for the next start; need not be durable.
    virtual void save_commit_index(std::uint64_t number) = 0;
};

/// What a follower finds at its start: the last active version. Nothing: version 0.
struct FollowerStored {
    Log log;   // last() was active; a relay has records before it
};

class FollowerStorage {
  public:
    virtual ~FollowerStorage() = default;
    /// Before a version is active: the records from the active version to the next one. All or none of them
    /// may be found again, as a restart begins with consistent versions only.
    virtual bool append(const std::vector<Record>& records) = 0;
    /// Before a version from a snapshot is active, and for compaction: log.last() is the active version.
    virtual bool replace(const Log& log) = 0;
};

}   // namespace slatejunction::rollout
