#include "cli/operator_store.h"

#include <utility>

#include "cli/flags.h"
#include "cli/settings_file.h"
#include "core/config/value_text.h"
#include "runtime/clock.h"
#include "store/run_after.h"

namespace indigolead::cli {
namespace {

constexpr CallOptions kCall{CallPriority::kConfig, std::chrono::seconds(5)};

HttpObjectStore::Options OptionsFor(const std::string& address) {
  StoreSettings settings;
  settings.address = address;
  return HttpObjectStore::OptionsFrom(settings);
}

}  // namespace

OperatorStore::OperatorStore(const std::string& address)
    : store_(&io_, OptionsFor(address), BootTimeNow, &metrics_),
      writer_(&store_, BootTimeNow, MakeRunAfter(&io_)) {}

template <typename T>
Result<T> OperatorStore::Await(
    std::function<void(ObjectStore::Callback<T>)> start) {
  std::optional<Result<T>> result;
  start([&result](Result<T> answer) { result = std::move(answer); });
  io_.restart();
  while (!result && io_.run_one() > 0) {
  }
  if (!result) {
    return Error{ErrorCode::kInternal, "store.call", "",
                 "the call ended without an answer"};
  }
  return *std::move(result);
}

Result<std::optional<StoredObject>> OperatorStore::Get(const std::string& key) {
  return Await<std::optional<StoredObject>>(
      [&](auto done) { store_.Get(key, kCall, std::move(done)); });
}

Result<ObjectStore::Listing> OperatorStore::List(const std::string& prefix) {
  return Await<ObjectStore::Listing>(
      [&](auto done) { store_.List(prefix, kCall, std::move(done)); });
}

Result<std::uint64_t> OperatorStore::Put(
    const std::string& key, const std::string& value, ExpectedVersion expected,
    std::function<bool(const std::string& value)> is_ours) {
  IdempotentPut put;
  put.key = key;
  put.value = value;
  put.expected = expected;
  put.call = kCall;
  put.is_ours = std::move(is_ours);
  return Await<std::uint64_t>(
      [&](auto done) { writer_.Put(std::move(put), std::move(done)); });
}

Status OperatorStore::Delete(const std::string& key, ExpectedVersion expected) {
  return Await<Unit>(
      [&](auto done) { store_.Delete(key, expected, kCall, std::move(done)); });
}

std::unique_ptr<OperatorStore> OpenStore(const CommandContext& context) {
  std::string address = FLAGS_store;
  if (address.empty() && !FLAGS_settings.empty()) {
    const auto settings =
        LoadSettings(FLAGS_settings, SettingsRole::kOperator, *context.err);
    if (!settings) {
      return nullptr;
    }
    address = settings->store.address;
  }
  if (!IsIpAndPort(address)) {
    *context.err << "indigolead: --store=IP:PORT or --settings=FILE with "
                    "[store] address is needed; got \""
                 << address << "\"\n";
    return nullptr;
  }
  return std::make_unique<OperatorStore>(address);
}

int ReportError(const CommandContext& context, const Error& error) {
  *context.err << "indigolead: " << error << "\n";
  return error.code == ErrorCode::kInvalidInput ? kExitUsage : kExitFailed;
}

}  // namespace indigolead::cli
