#ifndef INDIGOLEAD_TESTS_SUPPORT_FAKE_OBJECT_STORE_H_
#define INDIGOLEAD_TESTS_SUPPORT_FAKE_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "standins/instance_table.h"
#include "standins/object_table.h"
#include "standins/platform_server.h"
#include "store/object_store.h"

namespace indigolead::testing {

class FakeObjectStore;
class FakeWatch;

/// Objects and faults in memory, shared by the fakes of several processes.
///
/// Injects the same faults as `standins::PlatformServer`, without a socket. A
/// test drives it with `io.poll()`, or runs the context if it uses delays.
class FakePlatform {
 public:
  /// `io` must outlive this object.
  explicit FakePlatform(boost::asio::io_context* io) : io_(io) {}

  void SetFaults(const standins::PlatformFaults& faults);
  const standins::PlatformFaults& faults() const { return faults_; }
  void SetDown(bool down);
  void DropWatches();
  void PutInstance(const InstanceRecord& record);

  std::optional<StoredObject> Peek(const std::string& key) const {
    return table_.Get(key);
  }

  /// Writes without faults. Returns the new version, or 0 on a conflict.
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected);

  /// Returns the calls received so far, by kind.
  const std::map<std::string, std::uint64_t>& calls() const { return calls_; }

 private:
  friend class FakeObjectStore;
  friend class FakeWatch;

  bool Affects(const std::string& key) const {
    return key.starts_with(faults_.only_prefix);
  }
  const standins::ObjectTable& ReadTable(const std::string& key) const {
    return faults_.stale_reads && Affects(key) ? stale_ : table_;
  }
  void NotifyWatches();

  boost::asio::io_context* io_;
  standins::ObjectTable table_;
  standins::ObjectTable stale_;
  standins::InstanceTable instances_;
  standins::PlatformFaults faults_;
  bool down_ = false;
  std::set<FakeWatch*> watches_;
  std::map<std::string, std::uint64_t> calls_;
};

/// `ObjectStore` of one process on a `FakePlatform`.
class FakeObjectStore : public ObjectStore {
 public:
  /// Both must outlive this object. A watch ends after it has received nothing
  /// for `watch_silence`.
  FakeObjectStore(boost::asio::io_context* io, FakePlatform* platform,
                  Duration watch_silence = std::chrono::seconds(10));
  ~FakeObjectStore() override;

  void Get(const std::string& key, const CallOptions& options,
           Callback<std::optional<StoredObject>> done) override;
  void List(const std::string& prefix, const CallOptions& options,
            Callback<Listing> done) override;
  void Put(const std::string& key, const std::string& value,
           ExpectedVersion expected, const CallOptions& options,
           Callback<std::uint64_t> done) override;
  void Delete(const std::string& key, ExpectedVersion expected,
              const CallOptions& options, Callback<Unit> done) override;
  std::unique_ptr<Watch> StartWatch(
      const std::string& prefix, std::uint64_t from_version,
      OnWatchEvents on_events,
      std::function<void(const Error&)> on_end) override;
  void ListInstances(const CallOptions& options,
                     Callback<InstanceList> done) override;

 private:
  template <typename T>
  void Read(const std::string& step, const std::string& key,
            const CallOptions& options, Callback<T> done,
            std::function<T()> read);
  template <typename T>
  void Write(const std::string& step, const std::string& key,
             const CallOptions& options, Callback<T> done,
             std::function<Result<T>()> write);
  /// Calls `answer` after `delay`, unless the store is destroyed first.
  void After(Duration delay, std::function<void()> answer);

  boost::asio::io_context* io_;
  FakePlatform* platform_;
  Duration watch_silence_;
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_FAKE_OBJECT_STORE_H_
