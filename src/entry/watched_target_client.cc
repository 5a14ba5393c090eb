#include "entry/watched_target_client.h"

#include <utility>

namespace indigolead {

WatchedTargetClient::WatchedTargetClient(std::unique_ptr<TargetClient> client,
                                         Watcher watcher)
    : client_(std::move(client)),
      watcher_(std::make_shared<const Watcher>(std::move(watcher))) {}

std::unique_ptr<TargetClient::Call> WatchedTargetClient::Start(
    TargetRequest request, Hooks hooks) {
  const auto allowed = std::make_shared<Status>(Unit{});
  hooks.on_before_write = [watcher = watcher_, allowed,
                           is_new_work = request.is_new_work,
                           next = std::move(hooks.on_before_write)] {
    *allowed = watcher->may_write(is_new_work);
    return IsOk(*allowed) && (!next || next());
  };
  hooks.on_head = [watcher = watcher_, next = std::move(hooks.on_head)](
                      int status, std::vector<HttpHeader> headers) {
    watcher->on_head(status, headers);
    if (next) {
      next(status, std::move(headers));
    }
  };
  hooks.on_stray_answer =
      [watcher = watcher_,
       next = std::move(hooks.on_stray_answer)](StrayAnswer reason) {
        if (watcher->on_stray_answer) {
          watcher->on_stray_answer(reason);
        }
        if (next) {
          next(reason);
        }
      };
  hooks.on_end = [allowed, next = std::move(hooks.on_end)](Status status) {
    if (next) {
      next(IsOk(*allowed) ? std::move(status) : *allowed);
    }
  };
  return client_->Start(std::move(request), std::move(hooks));
}

}  // namespace indigolead
