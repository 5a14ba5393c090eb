#ifndef INDIGOLEAD_ENTRY_PLATFORM_WATCHER_H_
#define INDIGOLEAD_ENTRY_PLATFORM_WATCHER_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "core/config/settings.h"
#include "entry/messages.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/http_object_store.h"
#include "store/list_watcher.h"
#include "store/run_after.h"

namespace indigolead {

/// Follows the platform's deployments, drains and instance list.
///
/// Runs on the platform thread, so that a slow or failed store never delays a
/// request. While the store is unreachable, the last state stays in force.
class PlatformWatcher {
 public:
  using Emit = std::function<void(PlatformEvent&&)>;

  /// `io` and `metrics` must outlive this object; `emit` is called on the
  /// thread of `io`.
  PlatformWatcher(boost::asio::io_context* io, const StoreSettings& settings,
                  Emit emit, const Clock& clock, EventLog log,
                  MetricsRegistry* metrics);
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  /// Starts the watches; does nothing without a store address.
  void Start();

  /// Returns the store, for other components on the platform thread.
  HttpObjectStore* store() { return &store_; }

 private:
  ListWatcher::Options WatchOptions(const std::string& prefix) const;
  ListWatcher::Hooks WatchHooks(
      void (PlatformWatcher::*on_state)(const ListWatcher::State&));
  void OnDeployments(const ListWatcher::State& state);
  void OnDrains(const ListWatcher::State& state);
  void PollInstances();

  StoreSettings settings_;
  Emit emit_;
  EventLog log_;
  RunAfter run_after_;
  HttpObjectStore store_;
  ListWatcher deployments_;
  ListWatcher drains_;
  /// The version last emitted of each deployment, by key.
  std::map<std::string, std::uint64_t> emitted_versions_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_PLATFORM_WATCHER_H_
