#include "wire/queue_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace indigolead {
namespace {

/// Returns `work` in whole tokens, rounded up so that a queue that is not empty
/// does not look empty.
std::uint32_t WholeTokens(double work) {
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(std::ceil(work), 0.0, kMost));
}

}  // namespace

wire::QueueDigest EncodeQueueDigest(const BacklogDigest& digest) {
  wire::QueueDigest message;
  message.set_incarnation(digest.incarnation);
  message.set_sequence(digest.sequence);
  const std::size_t n = std::min(digest.engines.size(), kMaxDigestEngines);
  for (std::size_t it = 0; it < n; ++it) {
    const BacklogDigest::Engine& engine = digest.engines[it];
    message.add_engines(engine.key);
    message.add_work(WholeTokens(engine.queue.work));
    message.add_prompts(engine.queue.prompts);
    message.add_streams(engine.queue.streams);
  }
  return message;
}

std::optional<BacklogDigest> DecodeQueueDigest(
    const wire::QueueDigest& message) {
  const int n = message.engines_size();
  if (n > static_cast<int>(kMaxDigestEngines) || message.work_size() != n ||
      message.prompts_size() != n || message.streams_size() != n) {
    return std::nullopt;
  }
  BacklogDigest digest{message.incarnation(), message.sequence(), {}};
  digest.engines.reserve(static_cast<std::size_t>(n));
  for (int it = 0; it < n; ++it) {
    digest.engines.push_back({message.engines(it),
                              {static_cast<double>(message.work(it)),
                               message.prompts(it), message.streams(it)}});
  }
  return digest;
}

}  // namespace indigolead
