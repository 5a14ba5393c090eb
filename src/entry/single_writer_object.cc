#include "entry/single_writer_object.h"

#include <utility>

namespace indigolead {

// Shared with the callbacks, which may run after the `SingleWriterObject` is
// destroyed.
struct SingleWriterObject::State {
  std::optional<std::uint64_t> version;  ///< Unset: must be read first.

  static void Put(const std::shared_ptr<State>& state, ObjectStore* store,
                  const std::string& key, const CallOptions& options,
                  const std::string& value,
                  const std::function<void(bool)>& done) {
    store->Put(key, value, *state->version, options,
               [state, done](const Result<std::uint64_t>& result) {
                 state->version.reset();
                 if (IsOk(result)) {
                   state->version = ValueOf(result);
                 }
                 done(IsOk(result));
               });
  }
};

SingleWriterObject::SingleWriterObject(ObjectStore* store, std::string key,
                                       CallOptions options,
                                       std::optional<std::uint64_t> version)
    : store_(store),
      key_(std::move(key)),
      options_(options),
      state_(std::make_shared<State>()) {
  state_->version = version;
}

void SingleWriterObject::Write(std::string value,
                               std::function<void(bool)> done) {
  if (state_->version) {
    State::Put(state_, store_, key_, options_, value, done);
    return;
  }
  store_->Get(key_, options_,
              [state = state_, store = store_, key = key_, options = options_,
               value = std::move(value), done = std::move(done)](
                  const Result<std::optional<StoredObject>>& result) {
                if (!IsOk(result)) {
                  done(false);
                  return;
                }
                const auto& object = ValueOf(result);
                state->version = object ? object->version : 0;
                State::Put(state, store, key, options, value, done);
              });
}

}  // namespace indigolead
