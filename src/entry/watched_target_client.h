#ifndef INDIGOLEAD_ENTRY_WATCHED_TARGET_CLIENT_H_
#define INDIGOLEAD_ENTRY_WATCHED_TARGET_CLIENT_H_

#include <functional>
#include <memory>
#include <vector>

#include "target/target_client.h"

namespace indigolead {

/// Client that lets its owner observe every call to one target. The owner may
/// stop a call before its first byte is written, and sees the head of each
/// answer.
class WatchedTargetClient : public TargetClient {
 public:
  struct Watcher {
    /// Called immediately before the first byte is written. An error stops the
    /// call and becomes its result.
    std::function<Status(bool is_new_work)> may_write;
    std::function<void(int status, const std::vector<HttpHeader>&)> on_head;
    std::function<void(StrayAnswer)> on_stray_answer;
  };

  WatchedTargetClient(std::unique_ptr<TargetClient> client, Watcher watcher);

  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override;

 private:
  std::unique_ptr<TargetClient> client_;
  /// Shared with the calls, which may outlive their client.
  std::shared_ptr<const Watcher> watcher_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_WATCHED_TARGET_CLIENT_H_
