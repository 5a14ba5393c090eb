#include <rapidcheck.h>
#include <xxhash.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/support/flow_driver.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSides = 3;

/// Returns the chunks of the answer to a request. They depend on the request
/// only, so that a chunk of another answer is detected.
std::vector<std::string> ChunksFor(const RequestId& id) {
  std::vector<std::string> parts;
  for (std::uint64_t i = 0; i < 1 + id.value.lo % 4; ++i) {
    parts.push_back(ToHex(id.value).substr(20) + "/" + std::to_string(i) + ";");
  }
  return parts;
}

std::string BodyFor(const RequestId& id) {
  std::string whole;
  for (const std::string& it : ChunksFor(id)) {
    whole += it;
  }
  return whole;
}

/// One frame in flight from a side.
struct Frame {
  AttemptId attempt;
  std::uint64_t sequence = 0;
  std::string data;
  AttemptEnd end;
  enum { kHead, kChunk, kEnd, kRefused, kKnown } kind = kHead;
  AttemptKnowledge known = AttemptKnowledge::kRunning;
  bool event_stream = false;
};

/// A correct side behind an unreliable network: frames and messages are lost,
/// duplicated and reordered, connections break and processes die.
class FakeSide {
 public:
  std::uint64_t run = 1;
  std::optional<SideLink> link;
  std::vector<Frame> in_flight;

  void Start(const SendStart& start, std::map<RequestId, int>* runs) {
    const AttemptId id = start.attempt;
    if (refused_.count(id) > 0) {
      Frame frame;
      frame.attempt = id;
      frame.kind = Frame::kRefused;
      in_flight.push_back(frame);
      return;
    }
    if (frames_.count(id) > 0 || ended_.count(id) > 0) {
      return;
    }
    ++(*runs)[start.request->id];
    Produce(start);
    Send(id, 0, 1);
  }

  void Cancel(const AttemptId& id) {
    if (frames_.erase(id) > 0) {
      ended_.insert(id);
    } else {
      refused_.insert(id);
    }
  }

  void Resume(const SendResume& resume) {
    const AttemptId id = resume.ref.attempt;
    Frame frame;
    frame.attempt = id;
    frame.kind = Frame::kKnown;
    frame.sequence = resume.next_sequence;
    if (frames_.count(id) > 0) {
      Send(id, resume.next_sequence, frames_[id].size());
    } else if (resume.ref.side_incarnation == Incarnation{Id128{run, 1}} &&
               ended_.count(id) == 0) {
      refused_.insert(id);
      frame.known = AttemptKnowledge::kNotStarted;
    } else {
      frame.known = AttemptKnowledge::kLost;
    }
    in_flight.push_back(frame);
  }

  /// Sends the next frame of each attempt, as a target makes progress.
  void SendNextFrames() {
    for (auto& [id, frames] : frames_) {
      Send(id, sent_[id], sent_[id] + 1);
    }
  }

  /// The target dies: frames not sent yet are replaced by an end frame.
  void TargetDies() {
    for (auto& [id, frames] : frames_) {
      if (sent_[id] >= frames.size()) {
        continue;
      }
      frames.resize(sent_[id]);
      Frame end;
      end.attempt = id;
      end.kind = Frame::kEnd;
      end.sequence = frames.size();
      end.end.sequence = end.sequence;
      end.end.outcome = AttemptOutcome::kTargetDied;
      frames.push_back(end);
    }
  }

  void Restart() {
    ++run;
    frames_.clear();
    refused_.clear();
    ended_.clear();
    sent_.clear();
    in_flight.clear();
  }

 private:
  void Produce(const SendStart& start) {
    std::vector<Frame>& frames = frames_[start.attempt];
    Frame head;
    head.attempt = start.attempt;
    head.event_stream = start.request->streamed;
    frames.push_back(head);
    std::string whole;
    for (const std::string& it : ChunksFor(start.request->id)) {
      Frame chunk;
      chunk.attempt = start.attempt;
      chunk.kind = Frame::kChunk;
      chunk.sequence = frames.size();
      chunk.data = it;
      whole += it;
      frames.push_back(chunk);
    }
    Frame end;
    end.attempt = start.attempt;
    end.kind = Frame::kEnd;
    end.sequence = frames.size();
    end.end.sequence = end.sequence;
    end.end.body_bytes = whole.size();
    end.end.body_checksum = XXH64(whole.data(), whole.size(), 0);
    frames.push_back(end);
  }

  void Send(const AttemptId& id, std::size_t from, std::size_t to) {
    const std::vector<Frame>& frames = frames_[id];
    for (std::size_t i = from; i < std::min(to, frames.size()); ++i) {
      in_flight.push_back(frames[i]);
    }
    sent_[id] = std::max(sent_[id], std::min(to, frames.size()));
  }

  std::map<AttemptId, std::vector<Frame>> frames_;
  std::map<AttemptId, std::size_t> sent_;
  std::set<AttemptId> refused_;
  std::set<AttemptId> ended_;
};

/// Runs one random sequence of events and compares the answers that callers got
/// with the runs at targets.
class RandomRun {
 public:
  explicit RandomRun(std::uint32_t seed) : random_(seed), driver_(Options()) {
    for (std::size_t i = 0; i < kSides; ++i) {
      Connect(i);
    }
  }

  void Play() {
    for (int step = 0; step < 400; ++step) {
      Step();
      DeliverMessages();
    }
    // Without further faults, every open request must end by its deadline.
    for (int i = 0; i < 140; ++i) {
      for (std::size_t side = 0; side < kSides; ++side) {
        if (!sides_[side].link) {
          Connect(side);
        }
        sides_[side].SendNextFrames();
        while (Deliver(side, /*faulty=*/false)) {
        }
      }
      driver_.Pass(milliseconds(500));
      DeliverMessages();
    }
  }

  void Check() {
    for (const auto& [id, repeatability] : requests_) {
      const ReceivedAnswer& seen = driver_.seen(id);
      if (disconnected_.count(id) == 0) {
        RC_ASSERT(seen.finals == 1);
      }
      if (seen.whole) {
        RC_ASSERT(seen.body == BodyFor(id));
        RC_ASSERT(runs_[id] >= 1);
      }
      if (repeatability != Repeatability::kIdempotent) {
        RC_ASSERT(runs_[id] <= 1);
      }
      if (seen.refusal && seen.refusal->run == RunState::kNotRun) {
        RC_ASSERT(runs_[id] == 0);
      }
      // A partial answer must be a prefix of the complete one.
      RC_ASSERT(BodyFor(id).compare(0, seen.body.size(), seen.body) == 0);
    }
    RC_ASSERT(driver_.flow().open_requests() == 0U);
  }

 private:
  static RequestFlowOptions Options() {
    RequestFlowOptions options;
    options.stream_window_bytes = 1U << 20;
    return options;
  }

  std::uint32_t RandomBelow(std::uint32_t bound) { return random_() % bound; }

  void Connect(std::size_t side) {
    // Frames of the old connection never arrive on the new one.
    sides_[side].in_flight.clear();
    sides_[side].link =
        driver_.Up("target-" + std::to_string(side), sides_[side].run);
    DeliverMessages();
  }

  void Disconnect(std::size_t side) {
    if (sides_[side].link) {
      const SideLink link = *sides_[side].link;
      sides_[side].link.reset();
      sides_[side].in_flight.clear();
      driver_.Down(link);
    }
  }

  void Step() {
    const std::size_t side = RandomBelow(kSides);
    switch (RandomBelow(16)) {
      case 0:
      case 1:
        Ask();
        break;
      case 2:
        driver_.Pass(milliseconds(RandomBelow(1500)));
        break;
      case 3:
        Disconnect(side);
        break;
      case 4:
      case 5:
        if (!sides_[side].link) {
          Connect(side);
        }
        break;
      case 6:
        if (RandomBelow(4) == 0) {
          sides_[side].Restart();
          Disconnect(side);
        }
        break;
      case 7:
        if (RandomBelow(3) == 0) {
          sides_[side].TargetDies();
        }
        break;
      case 8:
        if (RandomBelow(8) == 0 && !requests_.empty()) {
          auto it = requests_.begin();
          std::advance(
              it, RandomBelow(static_cast<std::uint32_t>(requests_.size())));
          disconnected_.insert(it->first);
          driver_.flow().OnCallerDisconnected(it->first, driver_.now());
          driver_.Collect();
        }
        break;
      case 9:
      case 10:
        sides_[side].SendNextFrames();
        break;
      default:
        Deliver(side, /*faulty=*/true);
        break;
    }
  }

  void Ask() {
    constexpr Repeatability kAll[] = {Repeatability::kIdempotent,
                                      Repeatability::kKeyed,
                                      Repeatability::kOnce};
    const Repeatability repeatability = kAll[RandomBelow(3)];
    requests_[driver_.Ask(repeatability, RandomBelow(2) == 0)] = repeatability;
  }

  /// Delivers one frame of the side. Returns false if there is none.
  bool Deliver(std::size_t index, bool faulty) {
    FakeSide& side = sides_[index];
    if (!side.link || side.in_flight.empty()) {
      return false;
    }
    std::size_t at = 0;
    if (faulty && RandomBelow(4) == 0) {
      at = RandomBelow(static_cast<std::uint32_t>(side.in_flight.size()));
    }
    const Frame frame = side.in_flight[at];
    const bool doubled = faulty && RandomBelow(8) == 0;
    if (!doubled) {
      side.in_flight.erase(side.in_flight.begin() +
                           static_cast<std::ptrdiff_t>(at));
    }
    if (faulty && RandomBelow(8) == 0) {
      return true;  // Lost.
    }
    Dispatch(*side.link, frame);
    driver_.Collect();
    DeliverMessages();
    return true;
  }

  void Dispatch(SideLink link, const Frame& frame) {
    RequestFlow& flow = driver_.flow();
    const TimePoint now = driver_.now();
    switch (frame.kind) {
      case Frame::kHead:
        flow.OnHead(link, frame.attempt, 0, 200,
                    frame.event_stream
                        ? std::vector<HeaderField>{{"Content-Type",
                                                    "text/event-stream"}}
                        : std::vector<HeaderField>{},
                    now);
        break;
      case Frame::kChunk:
        flow.OnChunk(link, frame.attempt, frame.sequence, frame.data, now);
        break;
      case Frame::kEnd:
        flow.OnEnd(link, frame.attempt, frame.end, now);
        break;
      case Frame::kRefused:
        flow.OnRefused(link, frame.attempt, {}, now);
        break;
      case Frame::kKnown:
        flow.OnKnowledge(link, frame.attempt, frame.known, frame.sequence, now);
        break;
    }
  }

  FakeSide* SideOf(SideLink link) {
    for (FakeSide& it : sides_) {
      if (it.link == link) {
        return &it;
      }
    }
    return nullptr;
  }

  /// Passes each message of the flow to its side and drops some at random.
  void DeliverMessages() {
    const auto starts = std::exchange(driver_.starts, {});
    for (const SendStart& it : starts) {
      FakeSide* side = SideOf(it.link);
      if (side == nullptr || RandomBelow(16) == 0) {
        continue;
      }
      side->Start(it, &runs_);
    }
    for (const SendCancel& it : std::exchange(driver_.cancels, {})) {
      FakeSide* side = SideOf(it.link);
      if (side != nullptr && RandomBelow(16) != 0) {
        side->Cancel(it.ref.attempt);
      }
    }
    for (const SendResume& it : std::exchange(driver_.resumes, {})) {
      FakeSide* side = SideOf(it.link);
      if (side != nullptr && RandomBelow(16) != 0) {
        side->Resume(it);
      }
    }
  }

  std::mt19937 random_;
  FlowDriver driver_;
  FakeSide sides_[kSides];
  std::map<RequestId, Repeatability> requests_;
  std::set<RequestId> disconnected_;
  std::map<RequestId, int> runs_;
};

// At random, frames and messages are lost, duplicated and reordered,
// connections break, side processes restart and targets die. In every case a
// caller must get exactly one outcome: its own complete answer, or a refusal
// that is true.
TEST_CASE("Random faults lead to a complete answer or a true refusal") {
  CHECK(
      rc::check("complete answer or error, at most one run, true not-run", [] {
        RandomRun random_run(*rc::gen::arbitrary<std::uint32_t>());
        random_run.Play();
        random_run.Check();
      }));
}

}  // namespace
}  // namespace indigolead
