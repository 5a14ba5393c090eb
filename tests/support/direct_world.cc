#include "tests/support/direct_world.h"

#include "tests/support/direct_world/world.h"

namespace indigolead::testing {
namespace direct_world {

using std::chrono::milliseconds;

DirectWorldReport World::Play() {
  const int readers = 1 + static_cast<int>(Below(3));
  const int runners = 1 + static_cast<int>(Below(3));
  const int plain = 1 + static_cast<int>(Below(3));
  for (int n = 0; n < readers; ++n) {
    AddTarget("llm", EngineRole::kPrefill, "");
  }
  for (int n = 0; n < runners; ++n) {
    AddTarget("llm", EngineRole::kDecode, "");
  }
  for (int n = 0; n < plain; ++n) {
    AddTarget("app", EngineRole::kMixed, "");
  }
  const int entries = 1 + static_cast<int>(Below(3));
  for (int n = 0; n < entries; ++n) {
    StartEntry(n);
    TickEntry(n);
  }
  const TimePoint start = time_.now();
  for (Duration at{0}; at < kTraffic;
       at += Between(Duration{0}, milliseconds(80))) {
    time_.After(at, [this] { NextRequest(); });
  }
  for (Duration at{0}; at < kTraffic;
       at += Between(milliseconds(100), milliseconds(1500))) {
    time_.After(at, [this] { NextTrouble(); });
  }
  for (Duration at{0}; at < kTraffic; at += milliseconds(700)) {
    time_.After(at, [this] { NextLimit(); });
  }
  for (Duration at{0}; at < kTraffic; at += milliseconds(900)) {
    time_.After(at, [this] { NextNotice(); });
  }
  for (Duration at{0}; at < kTraffic + kQuiet; at += milliseconds(100)) {
    for (int n = 0; n < entries; ++n) {
      time_.After(at + Between(Duration{0}, milliseconds(600)), [this, n] {
        ToEntry(n, entries_[n].life, [this, n] { TellTargets(n); });
      });
    }
  }
  time_.RunUntil(start + kTraffic + kQuiet);
  for (auto& [number, entry] : entries_) {
    CheckBudget(entry);
    if (entry.dispatcher->open_requests() > 0 ||
        entry.dispatcher->transport().running() > 0) {
      Violate("leak: requests or attempts are open at the end");
    }
  }
  for (const auto& [id, ledger] : ledgers_) {
    const bool left = ledger.cut || ledger.gone_at;
    report_.cut += ledger.cut ? 1 : 0;
    if (!left && ledger.finals != 1) {
      Violate("unanswered: " + id);
    }
  }
  entries_.clear();
  return report_;
}

}  // namespace direct_world

DirectWorldReport PlayDirectWorld(std::uint64_t seed,
                                  const DirectWorldOptions& options) {
  return direct_world::World(seed, options).Play();
}

}  // namespace indigolead::testing
