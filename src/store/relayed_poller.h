#ifndef INDIGOLEAD_STORE_RELAYED_POLLER_H_
#define INDIGOLEAD_STORE_RELAYED_POLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "store/polled_watch.h"
#include "store/run_after.h"

namespace indigolead {

/// Whether a store call waits for changes if there are none yet.
enum class WaitMode { kWait, kNoWait };

/// Makes the polls of one watch, through an entry that relays the store's
/// changes if there is one, otherwise by calling the store directly.
///
/// No latency bound depends on the relay. A relay that fails, or does not
/// respond within `answer_within`, is followed by a direct call that does not
/// wait for changes: the fault that broke the relay may also leave a waiting
/// call without a response until its timeout, and changes would be missed for
/// that long. If the direct call fails as well, one more relay is asked,
/// because a store may reject this entry and serve others.
class RelayedPoller {
 public:
  struct Hooks {
    /// Asks a relay for the changes after `from`. Returns the relay's name, or
    /// nothing if there is none. Must not invoke `done` from inside the call.
    std::function<std::optional<std::string>(std::uint64_t from,
                                             PolledWatch::PollDone done)>
        ask;
    /// Calls the store, which waits for changes or returns the current state at
    /// once. Must not invoke `done` from inside the call.
    std::function<void(std::uint64_t from, WaitMode wait,
                       PolledWatch::PollDone done)>
        call;
    /// Called when the relay failed or did not respond in time.
    std::function<void(const std::string& relay, const Error& error)> on_failed;
  };

  RelayedPoller(Duration answer_within, Hooks hooks, RunAfter run_after);
  ~RelayedPoller();
  RelayedPoller(const RelayedPoller&) = delete;
  RelayedPoller& operator=(const RelayedPoller&) = delete;

  /// Polls once for changes after `from`. One poll may be in progress at a
  /// time.
  void Poll(std::uint64_t from, PolledWatch::PollDone done);

  /// Returns true while a request to a relay is pending.
  bool relayed() const { return relay_.has_value(); }

 private:
  bool AskRelay();
  void OnRelayed(std::uint64_t number, const Result<WatchBatch>& answer);
  void CallStore(WaitMode wait);

  Duration answer_within_;
  Hooks hooks_;
  RunAfter run_after_;
  std::optional<std::string> relay_;  ///< Relay of the pending request.
  std::uint64_t request_number_ = 0;  ///< Number of the latest relay request.
  std::uint64_t from_ = 0;
  bool store_called_ = false;  ///< The store was called during this poll.
  PolledWatch::PollDone done_;
  /// False once this object is destroyed; callbacks may run later.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_RELAYED_POLLER_H_
