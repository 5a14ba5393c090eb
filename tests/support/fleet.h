#ifndef INDIGOLEAD_TESTS_SUPPORT_FLEET_H_
#define INDIGOLEAD_TESTS_SUPPORT_FLEET_H_

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/http_call.h"
#include "tests/support/process.h"

namespace indigolead::testing {

/// Size and settings of a fleet of real processes.
struct FleetOptions {
  std::size_t engines = 3;
  std::size_t services = 1;
  std::size_t entries = 2;
  std::vector<std::string> engine_flags;
  /// Added to every settings file, such as "[links]\nsilence_timeout = 1s\n".
  std::string extra_settings;
};

/// Runs a platform, targets with one side each, and entries as separate
/// processes on loopback, with the declarations of `examples/unas-del-norte`
/// in force.
///
/// This covers the effects of a killed or paused process on its peers, which
/// unit tests cannot show. The engines serve `tarifa-llm`, the services
/// `salon-app`. The destructor ends every process.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Calls entry `n` as the client account gran-via.
  HttpAnswer Call(std::size_t n, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  std::vector<std::pair<std::string, std::string>> headers = {},
                  std::chrono::milliseconds at_most = std::chrono::seconds(60));

  /// Asks entry `n` for a completion of `prompt`; `key` is sent as
  /// Idempotency-Key unless it is empty.
  HttpAnswer Complete(std::size_t n, const std::string& prompt,
                      const std::string& key = "", bool stream = false,
                      int max_tokens = 8);

  /// Returns the number of runs with this Idempotency-Key: those started by
  /// live targets, plus the last count read from each target that has died.
  std::size_t RunsWithKey(const std::string& key);

  /// Returns the number of runs aborted by an order at the live engines.
  std::size_t AbortedRuns();

  /// Returns the number of runs that target `n` has started since its start.
  std::size_t RunsAt(std::size_t n);
  /// Returns the number of runs that engine `n` is busy with now.
  std::size_t RunningAt(std::size_t n);

  /// Returns the JSON that entry `n` gives as its status.
  std::string StatusOf(std::size_t n);

  /// Waits until entry `n` answers completions and services.
  bool WaitUntilServing(std::size_t n);

  /// Starts a killed process again with its old settings and addresses.
  void RestartEngine(std::size_t n);
  void RestartSide(std::size_t n);
  void RestartEntry(std::size_t n);

  /// Sets faults of the platform, as a JSON object.
  void SetPlatformFaults(const std::string& json);
  /// Sets the state of an instance in the platform's list.
  void SetInstanceState(const std::string& name, const std::string& state);

  Process& platform() { return *platform_; }
  Process& engine(std::size_t n) { return *targets_.at(n).target; }
  /// Sides of the engines come first, then those of the services.
  Process& side(std::size_t n) { return *targets_.at(n).side; }
  Process& entry(std::size_t n) { return *entries_.at(n).process; }
  const std::string& store_address() const { return store_address_; }
  const std::string& entry_http(std::size_t n) const {
    return entries_.at(n).http;
  }

 private:
  struct TargetPair {
    std::string name;
    std::string settings_file;
    std::string address;
    std::vector<std::string> arguments;
    std::unique_ptr<Process> target;
    std::unique_ptr<Process> side;
  };
  struct EntryHandle {
    std::string name;
    std::string settings_file;
    std::string http;
    std::string link;
    std::unique_ptr<Process> process;
  };

  void StartTarget(const std::string& kind, std::size_t n,
                   const std::vector<std::string>& flags);
  void StartEntry(std::size_t n);
  std::size_t CountRuns(
      std::size_t n, const std::function<bool(const nlohmann::json&)>& counts);
  void Apply();
  std::string WriteSettings(const std::string& name, const std::string& text);
  void Register(const std::string& name, const std::string& kind,
                const std::string& domain, const std::string& link,
                const std::string& state);

  FleetOptions options_;
  std::filesystem::path folder_;
  std::string store_address_;
  std::unique_ptr<Process> platform_;
  std::vector<EntryHandle> entries_;
  std::vector<TargetPair> targets_;
  std::vector<std::pair<std::string, std::string>> records_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_FLEET_H_
