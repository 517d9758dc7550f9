// Interfaces of the durable storage of replicas and followers. The cores store data before they report,
// count or apply it. Implemented by files (file_storage.hpp), and in memory by tests.
//
// Every method that returns bool returns whether its effect is durable, so that it survives the process
// being killed. If it returns false, no part of its effect may be found after a restart, and the core
// continues as if it had not called the method.
#pragma once

#include <string>
#include <vector>

#include "rollout/log.hpp"

namespace slatejunction::rollout {

/// The data that a replica finds at its start.
struct ReplicaStored {
    // Whether everything that the replica ever promised and appended is stored. False if the disk is new,
    // if its data was lost, or if damaged data was set aside, even in part. The replica then counts in no
    // majority until a leader admits it.
    bool storage_intact = false;
    std::uint64_t promised = 0;       // the highest promised term
    std::uint64_t commit_index = 0;   // a lower bound
    Log log;
};

class ReplicaStorage {
  public:
    virtual ~ReplicaStorage() = default;
    /// Called before a promise is sent, and before an admitted replica reports intact storage.
    virtual bool save_promise(std::uint64_t term, bool storage_intact) = 0;
    /// Called before an append is acknowledged. The records follow the last stored one.
    virtual bool append(const std::vector<Record>& records) = 0;
    /// Called before a conflicting suffix is replaced. Removes all records after `number`.
    virtual bool truncate(std::uint64_t number) = 0;
    /// Replaces the stored log, to install a snapshot and for compaction. Does not change the promise and
    /// storage_intact.
    virtual bool replace(const Log& log, std::uint64_t committed) = 0;
    /// Stores a hint for the next start; need not be durable.
    virtual void save_commit_index(std::uint64_t number) = 0;
};

/// The data that a follower finds at its start. Without stored data, the log is empty at version 0.
struct FollowerStored {
    Log log;   // log.last() is the last active version; a relay keeps records before it
};

class FollowerStorage {
  public:
    virtual ~FollowerStorage() = default;
    /// Called before a version is activated, with the records after the active version up to that one.
    /// Stores all or none of them, because a process must restart with a consistent version.
    virtual bool append(const std::vector<Record>& records) = 0;
    /// Replaces the stored log, to activate a version from a snapshot and for compaction.
    /// log.last() is the active version.
    virtual bool replace(const Log& log) = 0;
};

}   // namespace slatejunction::rollout
