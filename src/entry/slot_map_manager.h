#ifndef INDIGOLEAD_ENTRY_SLOT_MAP_MANAGER_H_
#define INDIGOLEAD_ENTRY_SLOT_MAP_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/claims/slot_map.h"
#include "observe/event_log.h"
#include "store/list_watcher.h"
#include "store/object_store.h"
#include "store/run_after.h"

namespace indigolead {

/// Watches the slot maps in the store and, while this entry holds the control
/// lease, writes new versions. Runs on the platform thread.
///
/// During a store outage no map can be written, so assignments do not change.
class SlotMapManager {
 public:
  struct Options {
    SlotPlanner::Options planner;
    /// A home that is disconnected for this long is replaced.
    Duration lost_after = std::chrono::seconds(5);
    /// Time after which a disconnected instance that was never in the instance
    /// list counts as removed. Longer than `lost_after`, since the list also
    /// lags behind new instances.
    Duration unlisted_after = std::chrono::seconds(30);
    /// Delay between the first registration of a home and the first map, so
    /// that more homes can register.
    Duration first_wait = std::chrono::seconds(2);
    Duration plan_interval = std::chrono::milliseconds(250);
    Duration call_deadline = std::chrono::seconds(2);
    std::size_t max_homes_known = 16384;
  };
  struct Hooks {
    /// Called when a newer map was read.
    std::function<void(const std::string& deployment, const SlotMap&)> on_map;
    std::function<double()> jitter;
  };

  /// `store` must outlive this object.
  SlotMapManager(ObjectStore* store, Options options, Hooks hooks, Clock clock,
                 RunAfter run_after, EventLog log);
  ~SlotMapManager();
  SlotMapManager(const SlotMapManager&) = delete;
  SlotMapManager& operator=(const SlotMapManager&) = delete;

  void Start() { watcher_.Start(); }

  /// Sets the fencing number of the control lease, or nothing while this entry
  /// does not hold it.
  void SetLease(std::optional<FencingNumber> number) { lease_ = number; }

  void OnHome(const std::string& deployment, const HomeState& state);
  void OnHomeDown(const std::string& instance);
  void OnInstances(const InstanceList& list);

  /// Plans and writes new maps. Must be called several times a second.
  void Tick();

 private:
  struct HomeRecord {
    std::string deployment;
    HomeState state;
    bool connected = true;
    TimePoint disconnected_since;
  };
  struct DeploymentMap {
    std::optional<SlotMap> map;
    std::uint64_t version = 0;
    bool writing = false;
    std::optional<TimePoint> first_home;
  };

  void OnState(const ListWatcher::State& state);
  SlotPlanner::Input InputFor(const std::string& deployment,
                              const DeploymentMap& current) const;
  bool IsRemoved(const std::string& instance) const;
  void Write(const std::string& deployment, DeploymentMap* current,
             const SlotMap& next);

  ObjectStore* store_;
  Options options_;
  Hooks hooks_;
  Clock clock_;
  EventLog log_;
  ListWatcher watcher_;
  std::optional<FencingNumber> lease_;
  std::map<std::string, HomeRecord> homes_;               ///< By instance name.
  std::map<std::string, DeploymentMap> deployment_maps_;  ///< By deployment.
  std::set<std::string> listed_instances_;
  std::set<std::string> ever_listed_;
  bool has_instance_list_ = false;
  TimePoint started_;
  TimePoint next_plan_;
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_SLOT_MAP_MANAGER_H_
