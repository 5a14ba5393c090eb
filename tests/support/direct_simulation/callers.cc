#include "tests/support/direct_simulation/messages.h"
#include "tests/support/direct_simulation/simulation.h"

namespace indigolead::testing::direct_simulation {

using std::chrono::milliseconds;

void Simulation::NextRequest() {
  const int number = static_cast<int>(RandomBelow(entries_.size()));
  const auto kind = static_cast<Kind>(RandomBelow(4));
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
      time_.now() + RandomBetween(milliseconds(300), milliseconds(5000));
  if (is_stream) {
    request->prompt_tokens = 200 + RandomBelow(9000);
    request->prompt_parts = {{1 + RandomBelow(4), 150},
                             {1000 + next_request_, 50}};
  }
  RequestObservation& observation = observations_[id];
  observation.kind = kind;
  observation.service = request->deployment;
  observation.deadline = request->deadline;
  observation.entry = number;
  observation.process_number = entries_[number].process_number;
  names_[request->id] = id;
  ++report_.requests;
  RunOnEntry(number, observation.process_number, [this, number, request] {
    ++entries_[number].requests[request->deployment];
    entries_[number].dispatcher->OnRequest(request);
  });
  if (Chance(0.05)) {
    time_.After(RandomBetween(Duration{0}, milliseconds(400)), [this, number,
                                                                id, request] {
      RunOnEntry(
          number, observations_[id].process_number,
          [this, number, id, request] {
            RequestObservation& gone = observations_[id];
            if (gone.finals == 0) {
              gone.disconnected_at = time_.now();
              entries_[number].dispatcher->OnCallerDisconnected(request->id);
              CheckClosed(id);
            }
          });
    });
  }
}

}  // namespace indigolead::testing::direct_simulation
