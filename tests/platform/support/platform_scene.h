#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_PLATFORM_SCENE_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_PLATFORM_SCENE_H_

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "standins/relay_server.h"
#include "tests/platform/support/metadata_store.h"
#include "tests/platform/support/model_worker.h"
#include "tests/platform/support/usage_receiver.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/reserved_address.h"

namespace indigolead::testing {

/// Returns one route of a configuration, as the operator writes it.
nlohmann::json MakeRoute(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service);

/// Returns a configuration of four routes, one of each kind of request:
/// "/desk/" (safe), "/menu/" (unsafe), "/audit/" (stream) and "/resume/"
/// (stream that may be resumed).
nlohmann::json MakeConfiguration(std::uint64_t version);

/// One entry on a platform of stand-ins: a store behind a relay, six engines
/// and two plain targets.
class PlatformScene {
 public:
  struct Options {
    bool reports_usage = false;  ///< The platform asks for usage each second.
    /// What its operator allows of further arrivals beside a share of the
    /// requests.
    double retry_slack = 50;
  };
  PlatformScene() : PlatformScene(Options{}) {}
  explicit PlatformScene(const Options& options);
  ~PlatformScene();
  PlatformScene(const PlatformScene&) = delete;
  PlatformScene& operator=(const PlatformScene&) = delete;

  /// One entry more, with addresses of its own.
  class FurtherEntry {
   public:
    /// Starts its process, in place of one that has ended.
    void Start();
    bool Ready() const;
    /// Returns the value of a counter or gauge; empty if absent.
    std::string Metric(const std::string& name) const;

    std::string settings;
    std::string callers_address = ReserveAddress();
    std::string ready_address = ReserveAddress();
    std::string metrics_address = ReserveAddress();
    std::optional<Process> process;
  };

  /// Starts the entry's process, in place of one that has ended.
  void StartEntry();
  bool Ready();
  /// Starts a further entry, under a name of its own.
  void AddEntry(const std::string& name);
  /// Returns true if every entry is ready and has counted all of them.
  bool AllReady();

  /// Returns the value of a counter or gauge of the entry; empty if absent.
  std::string Metric(const std::string& name);

  /// Asks the entry whose callers' address this is.
  static HttpAnswer AskAt(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& id,
                          int deadline_ms);
  HttpAnswer Ask(const std::string& method, const std::string& path,
                 const std::string& id, int deadline_ms = 4000);
  /// Asks with a caller's key.
  HttpAnswer AskWithKey(const std::string& key, const std::string& method,
                        const std::string& path, const std::string& id);

  /// Asks for what is served, until the entry has earned a further attempt at
  /// each service: it begins with none.
  void EarnFurtherAttempts();

  /// Writes each worker's registration as it is now.
  void Register();
  /// Registers the workers with the stages that they have been ordered, and
  /// waits until the entry knows: it may take some hundred ms to learn of
  /// changes that come one after the other.
  void RegisterStages();
  void SetBehaviour(ModelWorker::Behaviour behaviour);
  ModelWorker& worker(const std::string& id);

  /// Returns the number of prompts read apart, of runs of a request, and of
  /// engines in a stage.
  int Prefills();
  int Runs(const std::string& id);
  int Staged(const std::string& stage);
  /// Returns the client accounts told with each arrival of a request, at all
  /// workers, and how many arrivals had a caller's key with them.
  std::vector<std::string> Accounts(const std::string& id);
  int KeysSeen();

  UsageReceiver usage;
  MetadataStore store;
  standins::RelayServer store_path{0, store.address()};
  std::deque<ModelWorker> workers;
  std::string callers_address = ReserveAddress();
  std::string ready_address = ReserveAddress();
  std::string metrics_address = ReserveAddress();
  std::optional<Process> entry;
  std::deque<FurtherEntry> further;

 private:
  void AddWorker(const std::string& id, const std::string& service,
                 bool is_engine);
  /// Returns the path of the settings of the entry `name`.
  std::string WriteSettings(const std::string& name, const std::string& callers,
                            const std::string& ready);

  Options options_;
  std::map<const ModelWorker*, std::string> ids_;
  std::string settings_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_PLATFORM_SCENE_H_
