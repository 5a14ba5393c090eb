#ifndef INDIGOLEAD_CORE_REQUEST_REQUEST_BLOCK_H_
#define INDIGOLEAD_CORE_REQUEST_REQUEST_BLOCK_H_

#include <optional>

#include "core/base/time.h"
#include "core/request/prompt_part_ledger.h"

namespace indigolead {

/// Why a request must not run.
struct RequestBlock {
  Duration left{0};  ///< Remaining time of the block.
  /// The prompt part that crashes targets; nullopt if only the request as a
  /// whole is known to crash them.
  std::optional<PromptPartBlock> part;

  friend bool operator==(const RequestBlock&, const RequestBlock&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_REQUEST_BLOCK_H_
