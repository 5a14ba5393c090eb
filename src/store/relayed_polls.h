#ifndef INDIGOLEAD_STORE_RELAYED_POLLS_H_
#define INDIGOLEAD_STORE_RELAYED_POLLS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "store/polled_watch.h"
#include "store/run_after.h"

namespace indigolead {

/// Whether a call of the store waits for changes if there are none.
enum class StoreWait { kWait, kDoNotWait };

/// Makes the calls of one watch: through an entry that relays the store's
/// changes where there is one, else of the store itself.
///
/// No bound depends on the relay: one that fails, or does not answer in time,
/// costs `answer_within` and a call of the store. That one does not wait: what
/// made the relay fail may leave a call that waits without an answer until its
/// time is over, and changes unseen for as long. If that fails as well, one
/// more relay is asked: a store may turn this entry away and serve others.
class RelayedPolls {
 public:
  struct Hooks {
    /// Asks a relay for the changes after `from`. Returns its name, or nothing
    /// if there is none. Must not answer from inside the call.
    std::function<std::optional<std::string>(std::uint64_t from,
                                             PolledWatch::PollDone done)>
        ask;
    /// Makes one call of the store, which waits for changes or only says how
    /// things stand. Must not answer from inside the call.
    std::function<void(std::uint64_t from, StoreWait wait,
                       PolledWatch::PollDone done)>
        call;
    /// The relay did not answer, or could not.
    std::function<void(const std::string& relay, const Error& error)> on_failed;
  };

  RelayedPolls(Duration answer_within, Hooks hooks, RunAfter run_after);
  ~RelayedPolls();
  RelayedPolls(const RelayedPolls&) = delete;
  RelayedPolls& operator=(const RelayedPolls&) = delete;

  /// Makes one call that waits for changes after `from`; one at a time.
  void Poll(std::uint64_t from, PolledWatch::PollDone done);

  /// Returns true while a relay is asked.
  bool relayed() const { return relay_.has_value(); }

 private:
  bool Ask();
  void OnRelayed(std::uint64_t number, const Result<WatchBatch>& answer);
  void Call(StoreWait wait);

  Duration answer_within_;
  Hooks hooks_;
  RunAfter run_after_;
  std::optional<std::string> relay_;  ///< The one asked.
  std::uint64_t number_ = 0;          ///< Of the latest question.
  std::uint64_t from_ = 0;
  bool called_ = false;  ///< The store was called for this answer, in vain.
  PolledWatch::PollDone done_;
  /// Callbacks may come after this object is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_RELAYED_POLLS_H_
