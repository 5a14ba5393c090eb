#ifndef INDIGOLEAD_TARGET_FETCH_ANSWER_H_
#define INDIGOLEAD_TARGET_FETCH_ANSWER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/base/result.h"
#include "target/target_client.h"

namespace indigolead {

/// Complete HTTP response of a short call.
struct TargetAnswer {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers = {};

  friend bool operator==(const TargetAnswer&, const TargetAnswer&) = default;
};

/// Starts `request` and passes the complete response to `done`, exactly once,
/// unless the returned call is destroyed first. A response longer than
/// `max_bytes` fails with `kProtocol`. `may_write` is called immediately before
/// the first byte is written, after a connection was made; if it returns false,
/// nothing is written.
std::unique_ptr<TargetClient::Call> FetchAnswer(
    TargetClient* client, TargetRequest request, std::size_t max_bytes,
    std::function<void(Result<TargetAnswer>)> done,
    std::function<bool()> may_write = {});

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_FETCH_ANSWER_H_
