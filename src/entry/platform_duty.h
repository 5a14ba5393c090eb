#ifndef INDIGOLEAD_ENTRY_PLATFORM_DUTY_H_
#define INDIGOLEAD_ENTRY_PLATFORM_DUTY_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/config/settings.h"
#include "entry/messages.h"
#include "platform/object_store.h"

namespace indigolead {

/// Follows what the platform says: deployments, drains and the instance list.
///
/// Runs on the platform thread, so that a slow or dead store never delays a
/// request. While the store is away the last state stays in force.
class PlatformDuty {
 public:
  using Emit = std::function<void(PlatformEvent&&)>;

  /// `io` and `store` must outlive this object; `emit` is called on the thread
  /// of `io`.
  PlatformDuty(boost::asio::io_context* io, ObjectStore* store,
               const StoreSettings& settings, Emit emit);
  PlatformDuty(const PlatformDuty&) = delete;
  PlatformDuty& operator=(const PlatformDuty&) = delete;

  void Start();
  void Stop();

 private:
  /// One prefix that is listed and then watched, over and over.
  struct Followed {
    std::string prefix;
    std::unique_ptr<ObjectStore::Watch> watch;
    std::unique_ptr<boost::asio::steady_timer> retry;
  };

  void Follow(Followed* it);
  void FollowLater(Followed* it);
  void OnChange(const std::string& key, const std::string* value);
  void EmitDrains();
  void PollInstances();

  boost::asio::io_context* io_;
  ObjectStore* store_;
  StoreSettings settings_;
  Emit emit_;
  Followed deployments_;
  Followed drains_;
  boost::asio::steady_timer poll_timer_;
  std::map<std::string, bool> drained_;  ///< By instance name.
  bool stopped_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_PLATFORM_DUTY_H_
