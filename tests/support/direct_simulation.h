#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace indigolead::testing {

/// Result of one randomized simulation run.
struct DirectSimulationReport {
  std::vector<std::string> violations;  ///< Violated invariants.
  int requests = 0;
  int answered = 0;
  int refused = 0;    ///< Reported to the caller as not run.
  int unknown = 0;    ///< Reported to the caller as possibly run.
  int cut = 0;        ///< Their entry was killed.
  int retries = 0;    ///< Further attempts sent.
  int resumed = 0;    ///< Streams resumed at another target.
  int cooldowns = 0;  ///< Refusals with requested cooldowns.
  int leaving = 0;    ///< Answers that announced that the target leaves.
};

/// Faults of a simulation run that are off by default.
struct DirectSimulationOptions {
  bool cooldowns = false;  ///< Targets request cooldowns in refusals.
  bool leaving = false;    ///< Targets announce in answers that they leave.
};

/// Simulates entries that call their targets directly, in simulated time and
/// without a network. The dispatcher with its request flow, placement,
/// directory, retry budget and transport is the production code; only the calls
/// to targets are simulated.
///
/// `seed` selects the faults. Targets crash, freeze, leave, change their role,
/// refuse, reset connections, lose answers, abort streams, and take over the
/// addresses of others. Calls are late, hang, or arrive after they were
/// cancelled. Target lists are late and the store fails. Entries freeze and are
/// killed. Callers disconnect. The test lists the invariants that are checked.
DirectSimulationReport RunDirectSimulation(
    std::uint64_t seed, const DirectSimulationOptions& options = {});

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_SIMULATION_H_
