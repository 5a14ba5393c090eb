#include "store/relayed_poller.h"

#include <utility>

namespace indigolead {

RelayedPoller::RelayedPoller(Duration answer_within, Hooks hooks,
                             RunAfter run_after)
    : answer_within_(answer_within),
      hooks_(std::move(hooks)),
      run_after_(std::move(run_after)),
      alive_(std::make_shared<bool>(true)) {}

RelayedPoller::~RelayedPoller() { *alive_ = false; }

void RelayedPoller::Poll(std::uint64_t from, PolledWatch::PollDone done) {
  store_called_ = false;
  from_ = from;
  done_ = std::move(done);
  if (!AskRelay()) {
    CallStore(WaitMode::kWait);
  }
}

bool RelayedPoller::AskRelay() {
  const std::uint64_t number = ++request_number_;
  relay_ = hooks_.ask(
      from_, [this, alive = alive_, number](const Result<WatchBatch>& answer) {
        if (*alive) {
          OnRelayed(number, answer);
        }
      });
  if (!relay_) {
    return false;
  }
  run_after_(answer_within_, [this, alive = alive_, number] {
    if (*alive) {
      OnRelayed(number,
                Error{ErrorCode::kTimeout, "relay.ask", relay_.value_or(""),
                      "no response before the deadline"});
    }
  });
  return true;
}

void RelayedPoller::OnRelayed(std::uint64_t number,
                              const Result<WatchBatch>& answer) {
  if (number != request_number_ || !relay_) {
    return;  // Already answered or timed out.
  }
  const std::string relay = *std::exchange(relay_, std::nullopt);
  if (!IsOk(answer)) {
    hooks_.on_failed(relay, ErrorOf(answer));
    if (!store_called_) {
      CallStore(WaitMode::kNoWait);
      return;
    }
  }
  const PolledWatch::PollDone done = std::move(done_);
  done(answer);
}

void RelayedPoller::CallStore(WaitMode wait) {
  store_called_ = true;
  hooks_.call(
      from_, wait, [this, alive = alive_](const Result<WatchBatch>& answer) {
        if (!*alive) {
          return;
        }
        const bool unavailable =
            !IsOk(answer) && ErrorOf(answer).code != ErrorCode::kNotFound;
        if (unavailable && AskRelay()) {
          return;
        }
        const PolledWatch::PollDone done = std::move(done_);
        done(answer);
      });
}

}  // namespace indigolead
