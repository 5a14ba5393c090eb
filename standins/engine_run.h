#ifndef INDIGOLEAD_STANDINS_ENGINE_RUN_H_
#define INDIGOLEAD_STANDINS_ENGINE_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/engine_server.h"

namespace indigolead::standins {

/// Execution of one request. Continues whether or not a client reads it.
struct EngineServer::Run {
  Run(boost::asio::io_context* io, const CompletionRequest& asked,
      const CompletionResponse& made)
      : request(asked), completion(made), changed(io) {}

  std::string id;
  std::size_t log_number = 0;
  std::uint64_t boot = 0;  ///< Engine boot in which it started.
  int priority = 0;
  CompletionRequest request;
  CompletionResponse completion;
  std::uint32_t uncached_tokens = 0;
  std::vector<std::string> events;  ///< JSON of the SSE events so far.
  bool holds_slot = false;
  bool ended = false;
  bool cut = false;  ///< Ended before its response was complete.
  Notifier changed;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_ENGINE_RUN_H_
