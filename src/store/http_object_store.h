#ifndef INDIGOLEAD_STORE_HTTP_OBJECT_STORE_H_
#define INDIGOLEAD_STORE_HTTP_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "core/config/settings.h"
#include "observe/metrics.h"
#include "store/object_store.h"

namespace indigolead {

class StoreCalls;
namespace internal {
struct StoreReply;
struct StoreRequest;
}  // namespace internal

/// Object API over HTTP, as described in docs/INTERFACES.md.
///
/// Designed for a store that is slow, down or silent. The deadline of a call
/// includes its time in the queue. The queue is bounded and ordered by
/// priority. The number of open connections is limited, and one of them is
/// reserved for lease calls, so that a slow store cannot block lease renewal.
///
/// Runs on the thread of its io_context: all methods must be called there.
/// Callbacks run there too, never from inside a method.
class HttpObjectStore : public ObjectStore {
 public:
  struct Options {
    std::string address;  ///< "IP:port".
    Duration watch_silence = std::chrono::seconds(10);
    /// Deadline for opening a watch, including the wait for a token.
    Duration watch_open_deadline = std::chrono::seconds(2);
    double calls_per_second = 50;
    double call_burst = 100;
    double lease_reserve = 5;  ///< Tokens reserved for lease calls.
    std::size_t max_queued_calls = 1024;
    std::size_t max_connections = 8;  ///< For calls; watches have their own.
    std::uint64_t max_answer_bytes = 64ULL << 20;
  };

  /// Returns the options from section [store] of the settings.
  static Options OptionsFrom(const StoreSettings& settings);

  /// `io` and `metrics` must outlive this object.
  HttpObjectStore(boost::asio::io_context* io, Options options, Clock clock,
                  MetricsRegistry* metrics);

  /// Aborts all calls and watches; their callbacks are not called afterwards.
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

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
  static bool IsValidRequest(const internal::StoreRequest& request,
                             const std::string& key);
  /// Queues `request`, or fails it if `key` or the value is invalid.
  void Send(internal::StoreRequest request, const std::string& key,
            const CallOptions& options,
            std::function<void(Result<internal::StoreReply>)> done);

  std::string address_;
  std::shared_ptr<StoreCalls> calls_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_HTTP_OBJECT_STORE_H_
