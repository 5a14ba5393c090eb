#ifndef INDIGOLEAD_TESTS_SUPPORT_STORE_FIXTURE_H_
#define INDIGOLEAD_TESTS_SUPPORT_STORE_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "observe/metrics.h"
#include "standins/platform_server.h"
#include "store/object_store.h"

namespace indigolead::testing {

/// An `ObjectStore` and its platform, in memory or over HTTP, so that the same
/// tests run against each kind.
class StoreFixture {
 public:
  /// Time after which a silent watch ends, short because tests wait for it.
  static constexpr std::chrono::milliseconds kWatchSilence{1500};

  virtual ~StoreFixture() = default;

  virtual ObjectStore& store() = 0;
  virtual void SetFaults(const standins::PlatformFaults& faults) = 0;
  virtual void SetDown(bool down) = 0;
  virtual void DropWatches() = 0;
  virtual void PutInstance(const InstanceRecord& record) = 0;
  virtual std::optional<StoredObject> Peek(const std::string& key) = 0;
  virtual std::uint64_t Poke(const std::string& key, const std::string& value,
                             ExpectedVersion expected) = 0;

  boost::asio::io_context& io() { return io_; }

  /// Runs the store's thread until `condition` holds. Returns false if
  /// a generous timeout expires first.
  bool RunUntil(const std::function<bool()>& condition);

  /// Makes one call with a callback passed to `call`, and waits for its answer.
  template <typename T>
  Result<T> Ask(const std::function<void(ObjectStore::Callback<T>)>& call) {
    std::optional<Result<T>> answer;
    call([&answer](Result<T> result) { answer = std::move(result); });
    if (!RunUntil([&] { return answer.has_value(); })) {
      return Error{ErrorCode::kInternal, "test", "",
                   "expected: one answer\nseen: none"};
    }
    return *answer;
  }

 protected:
  boost::asio::io_context io_{1};
};

/// Returns a store of kind "fake", "http", or "platform". The last is the
/// metadata store of the users' platform, which has a different protocol.
std::unique_ptr<StoreFixture> MakeStoreFixture(const std::string& kind);

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_STORE_FIXTURE_H_
