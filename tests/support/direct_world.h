#ifndef INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_H_
#define INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace indigolead::testing {

/// What came of one random world.
struct DirectWorldReport {
  std::vector<std::string> violations;  ///< Broken promises, in words.
  int requests = 0;
  int answered = 0;
  int refused = 0;  ///< Told that they have not run.
  int unknown = 0;  ///< Told that they may have run.
  int cut = 0;      ///< Their entry was killed.
  int retries = 0;  ///< Further attempts sent.
  int resumed = 0;  ///< Streams that went on at another target.
  int rests = 0;    ///< Times that an entry was asked for rest.
  int leaving = 0;  ///< Answers that said that their target leaves.
};

/// What may happen in a random world beside what always does.
struct DirectWorldOptions {
  bool rests = false;    ///< Targets turn requests away and ask for rest.
  bool leaving = false;  ///< Targets say in their answers that they leave.
};

/// Plays entries before targets in time of its own, without a network: the
/// dispatcher of an entry that speaks to its targets itself, with request flow,
/// placement, directory, budget and transport as they run, over simulated
/// calls.
///
/// By `seed`: targets crash, freeze, leave, change their role, refuse, reset
/// connections, lose answers, break streams off, and get the addresses of
/// others; calls are late, hang, arrive after they were given up; lists of
/// targets are late and the store goes; entries freeze and are killed; callers
/// leave. Promises that are checked are listed with the test.
DirectWorldReport PlayDirectWorld(std::uint64_t seed,
                                  const DirectWorldOptions& options = {});

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_DIRECT_WORLD_H_
