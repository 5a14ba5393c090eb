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
  /// `store` must outlive this object.
  OwnObject(ObjectStore* store, std::string key, CallOptions options);

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
