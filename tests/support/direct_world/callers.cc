#include "tests/support/direct_world/words.h"
#include "tests/support/direct_world/world.h"

namespace indigolead::testing::direct_world {

using std::chrono::milliseconds;

void World::NextRequest() {
  const int number = static_cast<int>(Below(entries_.size()));
  const auto kind = static_cast<Kind>(Below(4));
  const bool is_stream = kind == Kind::kStream || kind == Kind::kResumable;
  const std::string id = "r" + std::to_string(++next_request_);
  auto request = std::make_shared<CallerRequest>();
  request->id = RequestId{Id128{next_request_, 1}};
  request->caller_id = id;
  request->deployment = is_stream ? "llm" : "app";
  request->repeatability = kind == Kind::kSafe || kind == Kind::kResumable
                               ? Repeatability::kIdempotent
                               : Repeatability::kOnce;
  request->streamed = is_stream;
  request->may_resume = kind == Kind::kResumable;
  request->max_attempts = kMaxAttempts;
  request->received_at = time_.now();
  request->deadline =
      time_.now() + Between(milliseconds(300), milliseconds(5000));
  if (is_stream) {
    request->prompt_tokens = 200 + Below(9000);
    request->prompt_parts = {{1 + Below(4), 150}, {1000 + next_request_, 50}};
  }
  Ledger& ledger = ledgers_[id];
  ledger.kind = kind;
  ledger.service = request->deployment;
  ledger.deadline = request->deadline;
  ledger.entry = number;
  ledger.life = entries_[number].life;
  names_[request->id] = id;
  ++report_.requests;
  ToEntry(number, ledger.life, [this, number, request] {
    ++entries_[number].requests[request->deployment];
    entries_[number].dispatcher->OnRequest(request);
  });
  if (Chance(0.05)) {
    time_.After(
        Between(Duration{0}, milliseconds(400)), [this, number, id, request] {
          ToEntry(number, ledgers_[id].life, [this, number, id, request] {
            Ledger& gone = ledgers_[id];
            if (gone.finals == 0) {
              gone.gone_at = time_.now();
              entries_[number].dispatcher->OnCallerGone(request->id);
              CheckClosed(id);
            }
          });
        });
  }
}

}  // namespace indigolead::testing::direct_world
