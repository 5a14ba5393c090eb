#include "entry/watched_target_client.h"

#include <utility>

namespace indigolead {

WatchedTargetClient::WatchedTargetClient(std::unique_ptr<TargetClient> client,
                                         Watcher watcher)
    : client_(std::move(client)),
      watcher_(std::make_shared<const Watcher>(std::move(watcher))) {}

std::unique_ptr<TargetClient::Call> WatchedTargetClient::Start(
    TargetRequest request, Hooks hooks) {
  hooks.on_before_write = [watcher = watcher_,
                           next = std::move(hooks.on_before_write)] {
    const bool written = !next || next();
    if (written) {
      watcher->on_write();
    }
    return written;
  };
  hooks.on_head = [watcher = watcher_, next = std::move(hooks.on_head)](
                      int status, std::vector<HttpHeader> headers) {
    watcher->on_head(status, headers);
    if (next) {
      next(status, std::move(headers));
    }
  };
  return client_->Start(std::move(request), std::move(hooks));
}

}  // namespace indigolead
