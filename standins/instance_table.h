#ifndef INDIGOLEAD_STANDINS_INSTANCE_TABLE_H_
#define INDIGOLEAD_STANDINS_INSTANCE_TABLE_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "store/object_store.h"

namespace indigolead::standins {

/// Instance list in which each change becomes visible after a delay.
class InstanceTable {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// Adds or replaces the record of `record.name`, visible from `shown_at` on.
  void Put(InstanceRecord record, SteadyTime shown_at);

  /// Removes the record of `name`; it is visible until `shown_at`.
  void Remove(const std::string& name, SteadyTime shown_at);

  /// Returns the list visible at `now`.
  InstanceList Shown(SteadyTime now);

 private:
  struct Change {
    SteadyTime shown_at;
    InstanceRecord record;
    bool removed = false;
  };

  std::deque<Change> pending_;
  std::map<std::string, InstanceRecord> shown_;
  std::uint64_t version_ = 1;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_INSTANCE_TABLE_H_
