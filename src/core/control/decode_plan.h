#ifndef INDIGOLEAD_CORE_CONTROL_DECODE_PLAN_H_
#define INDIGOLEAD_CORE_CONTROL_DECODE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/config/deployment.h"

namespace indigolead {

/// State of one engine according to its registration.
struct StagedEngine {
  std::string instance;
  std::string failure_domain;
  EngineRole role = EngineRole::kDecode;
  bool leaving = false;
  /// Version of its software. A stream goes on only at the version that began
  /// it.
  std::string software_version = {};
  bool down = false;  ///< Crashed, and not registered again.

  friend bool operator==(const StagedEngine&, const StagedEngine&) = default;
};

/// Minimum numbers of engines in each role.
struct RoleMinimums {
  /// With fewer decode engines, one loss would leave a single engine for all
  /// decode work. With more failure domains than this, each gets one, so that
  /// decode work continues if a domain is lost or while the control lease
  /// passes from one entry to another, which takes seconds.
  std::uint32_t decode = 2;
  /// With fewer prefill engines, one loss would leave a single engine for all
  /// prefill work.
  std::uint32_t prefill = 2;

  friend bool operator==(const RoleMinimums&, const RoleMinimums&) = default;
};

/// Returns the minimum number of decode engines among `engines` of one software
/// version that are in `domains` failure domains.
///
/// A version needs decode engines of its own: those of other versions cannot
/// continue its streams. It needs no prefill engines, since any version may
/// prefill.
std::size_t MinDecodeOfVersion(std::size_t engines, std::size_t domains,
                               const RoleMinimums& minimums);

/// Selects the engines of one service that should decode.
///
/// `engines` are those that may be planned, sorted by name; `decode_share` of
/// them should decode by load. Each software version gets its minimum first, as
/// far as enough engines remain for prefill, and at least one engine. Engines
/// are taken from the failure domains in turn, so that the loss of one domain
/// leaves decode engines in the others. Engines that decode already come first,
/// because a change costs seconds, and among them those that are not down.
std::vector<std::string> PlanDecodeEngines(
    const std::vector<const StagedEngine*>& engines, double decode_share,
    const RoleMinimums& minimums);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONTROL_DECODE_PLAN_H_
