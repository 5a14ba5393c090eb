#ifndef INDIGOLEAD_ENTRY_SINGLE_WRITER_OBJECT_H_
#define INDIGOLEAD_ENTRY_SINGLE_WRITER_OBJECT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/object_store.h"

namespace indigolead {

/// A store object that only this process writes, always as a whole.
///
/// The last value wins, so after a write with a lost answer the next write
/// reads the object's version and replaces it.
class SingleWriterObject {
 public:
  /// `store` must outlive this object. `version` is the object's version if
  /// known; 0 means that it does not exist, as for a key that no other process
  /// has used.
  SingleWriterObject(ObjectStore* store, std::string key, CallOptions options,
                     std::optional<std::uint64_t> version = std::nullopt);

  /// Writes `value`, then calls `done` with true if the store confirmed it.
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

#endif  // INDIGOLEAD_ENTRY_SINGLE_WRITER_OBJECT_H_
