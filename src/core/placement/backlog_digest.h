#ifndef INDIGOLEAD_CORE_PLACEMENT_BACKLOG_DIGEST_H_
#define INDIGOLEAD_CORE_PLACEMENT_BACKLOG_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace indigolead {

/// What one entry has outstanding at an engine.
struct EngineQueue {
  double work = 0;            ///< Weighted prompt tokens yet to prefill.
  std::uint32_t prompts = 0;  ///< Prompts in `work`.
  std::uint32_t streams = 0;

  friend bool operator==(const EngineQueue&, const EngineQueue&) = default;
};

/// Short name of an engine in messages. Two engines with the same key are taken
/// for one, which costs accuracy only.
using EngineKey = std::uint32_t;

/// Returns the key of the engine `instance`.
EngineKey EngineKeyOf(std::string_view instance);

/// All that an entry has outstanding at engines, as sent to other entries.
struct BacklogDigest {
  struct Engine {
    EngineKey key = 0;
    EngineQueue queue;

    friend bool operator==(const Engine&, const Engine&) = default;
  };

  std::uint64_t incarnation = 0;  ///< One run of the sending process.
  std::uint64_t sequence = 0;     ///< Grows with each digest of that run.
  std::vector<Engine> engines;    ///< Those with anything outstanding.

  friend bool operator==(const BacklogDigest&, const BacklogDigest&) = default;
};

/// Engines in one digest: as many as a datagram of 1,400 bytes holds.
inline constexpr std::size_t kMaxDigestEngines = 100;

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_BACKLOG_DIGEST_H_
