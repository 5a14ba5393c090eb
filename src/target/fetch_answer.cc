#include "target/fetch_answer.h"

#include <string_view>
#include <utility>
#include <vector>

namespace indigolead {

std::unique_ptr<TargetClient::Call> FetchAnswer(
    TargetClient* client, TargetRequest request, std::size_t max_bytes,
    std::function<void(Result<TargetAnswer>)> done,
    std::function<bool()> may_write) {
  auto answer = std::make_shared<TargetAnswer>();
  auto too_long = std::make_shared<bool>(false);
  TargetClient::Hooks hooks;
  hooks.on_before_write = std::move(may_write);
  hooks.on_head = [answer](int status, std::vector<HttpHeader> headers) {
    answer->status = status;
    answer->headers = std::move(headers);
  };
  hooks.on_body = [answer, too_long, max_bytes](std::string_view data) {
    *too_long = *too_long || answer->body.size() + data.size() > max_bytes;
    if (!*too_long) {
      answer->body.append(data);
    }
  };
  hooks.on_end = [answer, too_long, done = std::move(done)](Status status) {
    if (!IsOk(status)) {
      done(ErrorOf(status));
    } else if (*too_long) {
      done(Error{ErrorCode::kProtocol, "target.fetch", "",
                 "response exceeds the size limit"});
    } else {
      done(std::move(*answer));
    }
  };
  request.max_body_bytes = max_bytes;
  return client->Start(std::move(request), std::move(hooks));
}

}  // namespace indigolead
