#ifndef INDIGOLEAD_CLI_OPERATOR_STORE_H_
#define INDIGOLEAD_CLI_OPERATOR_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cli/command.h"
#include "observe/metrics.h"
#include "store/http_object_store.h"
#include "store/idempotent_write.h"

namespace indigolead::cli {

/// Blocking client of the object API for a single command.
class OperatorStore {
 public:
  /// `address` is "IP:port".
  explicit OperatorStore(const std::string& address);

  Result<std::optional<StoredObject>> Get(const std::string& key);
  Result<ObjectStore::Listing> List(const std::string& prefix);

  /// Writes `value` if the object's version is `expected`. If the response is
  /// lost, finds out whether the write took effect; `is_ours` tells whether a
  /// stored value is the one written here.
  Result<std::uint64_t> Put(
      const std::string& key, const std::string& value,
      ExpectedVersion expected,
      std::function<bool(const std::string& value)> is_ours);

  Status Delete(const std::string& key, ExpectedVersion expected);

 private:
  template <typename T>
  Result<T> Await(std::function<void(ObjectStore::Callback<T>)> start);

  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  HttpObjectStore store_;
  IdempotentWriter writer_;
};

/// Returns a client for the address in --store, or else in [store] of the
/// --settings file. On failure, writes the error to `context.err` and returns
/// null; the command then exits with `kExitUsage`.
std::unique_ptr<OperatorStore> OpenStore(const CommandContext& context);

/// Writes `error` to `context.err` and returns the exit code for it.
int ReportError(const CommandContext& context, const Error& error);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_OPERATOR_STORE_H_
