#ifndef INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_
#define INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "standins/http_server.h"

namespace indigolead::testing {

/// Stand-in of one of the platform's targets: a model engine that reads
/// prompts or makes answers by its stage, or a plain service.
class ModelWorker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string failure_domain;
    bool is_engine = true;
    int events = 4;  ///< Of each stream.
    std::chrono::milliseconds event_gap{5};
  };
  explicit ModelWorker(Options options);
  ModelWorker(const ModelWorker&) = delete;
  ModelWorker& operator=(const ModelWorker&) = delete;

  /// Returns the registration to put into the store.
  nlohmann::json Registration();

  std::string stage();
  /// Returns how often the request with this id was run.
  int runs(const std::string& request_id);
  int prefills();
  /// Further runs end with a reset after they have begun.
  void SetResetting(bool resetting);

 private:
  standins::Task Handle(standins::HttpExchange& exchange);
  standins::Task Prefill(standins::HttpExchange& exchange);
  standins::Task Run(standins::HttpExchange& exchange);
  standins::Task Order(standins::HttpExchange& exchange);

  Options options_;
  std::string stage_ = "decode";
  std::uint64_t orders_ = 0;
  int prefills_ = 0;
  bool resetting_ = false;
  std::map<std::string, int> runs_;
  standins::HttpServer server_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_PLATFORM_SUPPORT_MODEL_WORKER_H_
