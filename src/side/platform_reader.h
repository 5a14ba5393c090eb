#ifndef INDIGOLEAD_SIDE_PLATFORM_READER_H_
#define INDIGOLEAD_SIDE_PLATFORM_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "store/object_store.h"

namespace indigolead {

/// Polls the platform for the instance list and for a drain of this instance.
///
/// Sides normally learn everything from entries; if thousands of them polled
/// the platform, they would exceed its call rate. Polling covers two cases: a
/// side that no entry has reached must find one, and a side that entries have
/// forgotten must still learn that it has to leave. It therefore polls often
/// while it has no link and rarely once it has one. Runs on the dispatch
/// thread, as do the store's callbacks.
class PlatformReader {
 public:
  struct Options {
    std::string instance;
    Duration interval_without_links = std::chrono::seconds(1);
    Duration interval_with_links = std::chrono::seconds(10);
    CallOptions call;
  };
  struct Hooks {
    std::function<void(const InstanceList&)> on_instances;
    /// Called with whether the platform's list marks this instance as leaving.
    std::function<void(bool)> on_instance_leaving;
    /// Called with whether the store has a drain record of this instance.
    std::function<void(bool)> on_drain;
  };
  using FencingNumberCallback =
      std::function<void(std::optional<FencingNumber>)>;

  /// `store` must outlive this object.
  PlatformReader(Options options, ObjectStore* store, Hooks hooks);

  void Tick(TimePoint now, bool has_links);

  /// Reads the newest fencing number. `done` gets 0 if no lease was ever held,
  /// and `std::nullopt` if the lease could not be read.
  void ReadFencingNumber(FencingNumberCallback done);

 private:
  void ReadInstances();
  void ReadDrain();

  Options options_;
  ObjectStore* store_;
  Hooks hooks_;
  std::optional<TimePoint> last_read_;
  /// Expires with this object; callbacks of the store may run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_PLATFORM_READER_H_
