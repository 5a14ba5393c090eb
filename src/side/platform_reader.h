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

/// Reads the little that a side needs from the platform itself.
///
/// Sides hear of everything from entries; thousands of them reading on their
/// own would exceed the platform's call rate. Two things are left: a side that
/// no entry has reached must find one, and one that entries forgot must still
/// learn that it leaves. So it reads often while it has no link, and rarely
/// once it has. Lives on the dispatch thread, as do the store's callbacks.
class PlatformReader {
 public:
  struct Options {
    std::string instance;
    Duration interval_alone = std::chrono::seconds(1);
    Duration interval_linked = std::chrono::seconds(10);
    CallOptions call;
  };
  struct Hooks {
    std::function<void(const InstanceList&)> on_instances;
    /// The platform's list has this instance as leaving, or not.
    std::function<void(bool)> on_listed_leaving;
    /// The store holds a drain of this instance, or none.
    std::function<void(bool)> on_drain;
  };
  using NumberCallback = std::function<void(std::optional<FencingNumber>)>;

  /// `store` must outlive this object.
  PlatformReader(Options options, ObjectStore* store, Hooks hooks);

  void Tick(TimePoint now, bool has_links);

  /// Reads the newest fencing number: 0 if no lease was ever held, nothing if
  /// the store could not be read.
  void ReadNumber(NumberCallback done);

 private:
  void ReadInstances();
  void ReadDrain();

  Options options_;
  ObjectStore* store_;
  Hooks hooks_;
  std::optional<TimePoint> last_read_;
  /// Callbacks of the store may come after this object is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_PLATFORM_READER_H_
