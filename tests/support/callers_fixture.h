#ifndef INDIGOLEAD_TESTS_SUPPORT_CALLERS_FIXTURE_H_
#define INDIGOLEAD_TESTS_SUPPORT_CALLERS_FIXTURE_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry/callers_server.h"

namespace indigolead {

/// API key of the client account in `ExampleRevisions`.
inline constexpr const char* kExampleKey = "clave-de-prueba";

/// Returns a model deployment "tarifa-llm" and a service deployment "salon-app"
/// below "/menu", both open to `kExampleKey`.
std::map<std::string, Revision> ExampleRevisions();

/// Runs a CallersServer on its own thread; the test acts as the dispatch
/// thread.
class CallersFixture {
 public:
  explicit CallersFixture(EntrySettings settings = {});
  ~CallersFixture();
  CallersFixture(const CallersFixture&) = delete;
  CallersFixture& operator=(const CallersFixture&) = delete;

  const std::string& address() const { return address_; }

  /// Waits for the `n`th request (from 0) to reach the dispatch thread.
  std::shared_ptr<const CallerRequest> Request(std::size_t n);
  std::size_t request_count();

  /// Sends a message as the dispatch thread would.
  void Answer(ToCallers message);

  /// Waits until the caller of `id` is reported disconnected; false after 10 s.
  bool WaitForCallerDisconnected(const RequestId& id);
  /// Returns the bytes written so far, once they reach `least` or after 10 s.
  std::uint64_t WaitForBytesWritten(std::uint64_t least);
  std::uint64_t bytes_written();

  /// Runs `task` on the server's thread.
  void Run(const std::function<void(CallersServer&)>& task);

 private:
  EntrySettings settings_;
  MetricsRegistry metrics_;
  boost::asio::io_context io_{1};
  std::unique_ptr<CallersServer> server_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<const CallerRequest>> requests_;
  std::vector<RequestId> disconnected_;
  std::uint64_t bytes_written_ = 0;
  std::thread thread_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_CALLERS_FIXTURE_H_
