#ifndef INDIGOLEAD_TARGET_FETCH_ANSWER_H_
#define INDIGOLEAD_TARGET_FETCH_ANSWER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/base/result.h"
#include "target/target_client.h"

namespace indigolead {

/// Answer of a short call, read whole.
struct TargetAnswer {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers = {};

  friend bool operator==(const TargetAnswer&, const TargetAnswer&) = default;
};

/// Starts `request` and hands its whole answer to `done`, once, unless the
/// returned call is destroyed first. An answer longer than `max_bytes` ends
/// with `kProtocol`. `may_write` is asked immediately before the first byte is
/// written, which is after a connection was made; if it returns false, nothing
/// is.
std::unique_ptr<TargetClient::Call> FetchAnswer(
    TargetClient* client, TargetRequest request, std::size_t max_bytes,
    std::function<void(Result<TargetAnswer>)> done,
    std::function<bool()> may_write = {});

}  // namespace indigolead

#endif  // INDIGOLEAD_TARGET_FETCH_ANSWER_H_
