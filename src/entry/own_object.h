#ifndef INDIGOLEAD_ENTRY_OWN_OBJECT_H_
#define INDIGOLEAD_ENTRY_OWN_OBJECT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/object_store.h"

namespace indigolead {

/// One object of the store that only this process writes, whole.
///
/// The last value wins, so a write whose answer was lost is simply made again
/// after reading the object's version.
class OwnObject {
 public:
  /// `store` must outlive this object. `version` is the object's, if it is
  /// known: 0 if it does not exist, as under a name that no other process had.
  OwnObject(ObjectStore* store, std::string key, CallOptions options,
            std::optional<std::uint64_t> version = std::nullopt);

  /// Writes `value`, then calls `done` with true if it is known to be there.
  /// At most one write may be in flight.
  void Write(std::string value, std::function<void(bool)> done);

  const std::string& key() const { return key_; }

 private:
  struct State;
  ObjectStore* store_;
  std::string key_;
  CallOptions options_;
  std::shared_ptr<State> state_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_OWN_OBJECT_H_
