#include "core/request/quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(10)};
const std::vector<std::string> kTargets{"a", "b", "c"};

Quarantine::Subject MakeSubject(Fingerprint fingerprint) {
  return {fingerprint, "oviedo", "tarifa-llm", {}};
}

AttemptId MakeAttempt(std::uint64_t n) { return AttemptId{{0, n}}; }

template <typename T>
bool IsVerdict(const Quarantine::Verdict& verdict) {
  return std::holds_alternative<T>(verdict);
}

// A request crashes its target while a harmless one runs there. Both become
// suspects and run separately: the harmless one finishes and is cleared; the
// other crashes a second target and is quarantined.
TEST_CASE("Quarantine blocks a request after two crashes, clears the other") {
  Quarantine quarantine({});
  const auto crashing_request = MakeSubject(1);
  const auto harmless_request = MakeSubject(2);
  quarantine.OnStarted(crashing_request, MakeAttempt(1), "a", kStart);
  quarantine.OnStarted(harmless_request, MakeAttempt(2), "a", kStart);
  for (const auto& it : {crashing_request, harmless_request}) {
    quarantine.OnCrash(it, "a", kStart);
  }
  quarantine.OnFailed(MakeAttempt(1));
  quarantine.OnFailed(MakeAttempt(2));
  CHECK(IsVerdict<Quarantine::Hold>(
      quarantine.Check(crashing_request, kTargets, kStart)));
  const TimePoint later = kStart + seconds(1);
  REQUIRE(IsVerdict<Quarantine::OnlyTo>(
      quarantine.Check(harmless_request, kTargets, later)));
  const auto place = quarantine.Check(crashing_request, kTargets, later);
  const std::string second = std::get<Quarantine::OnlyTo>(place).instance;
  quarantine.OnStarted(harmless_request, MakeAttempt(3), second, later);

  SECTION("suspects run one at a time on a target") {
    CHECK(IsVerdict<Quarantine::Hold>(
        quarantine.Check(crashing_request, kTargets, later)));
    quarantine.OnFinished(MakeAttempt(3), later);
    CHECK(IsVerdict<Quarantine::OnlyTo>(
        quarantine.Check(crashing_request, kTargets, later)));
    CHECK(quarantine.List(later).size() == 1);
  }
  SECTION("the second crash quarantines the request") {
    quarantine.OnFinished(MakeAttempt(3), later);
    quarantine.OnStarted(crashing_request, MakeAttempt(4), second, later);
    quarantine.OnCrash(crashing_request, second, later);
    const auto verdict = quarantine.Check(crashing_request, kTargets, later);
    REQUIRE(IsVerdict<Quarantine::Quarantined>(verdict));
    CHECK(std::get<Quarantine::Quarantined>(verdict).reason ==
          "in flight when these targets died: a " + second);

    SECTION("for a bounded time") {
      CHECK(IsVerdict<Quarantine::Quarantined>(
          quarantine.Check(crashing_request, kTargets, later + minutes(29))));
      CHECK_FALSE(IsVerdict<Quarantine::Quarantined>(
          quarantine.Check(crashing_request, kTargets, later + minutes(30))));
    }
    SECTION("until an operator lifts it on all entries") {
      Quarantine other({});
      for (const auto& it : quarantine.TakeNotices()) {
        other.OnNotice(it, {}, later);
      }
      CHECK(IsVerdict<Quarantine::Quarantined>(
          other.Check(crashing_request, kTargets, later)));
      quarantine.Lift(1, later);
      for (const auto& it : quarantine.TakeNotices()) {
        other.OnNotice(it, {}, later);
      }
      CHECK_FALSE(IsVerdict<Quarantine::Quarantined>(
          other.Check(crashing_request, kTargets, later)));
      CHECK(other.List(later).empty());
    }
  }
}

TEST_CASE("Quarantine counts one crash for copies that ran together") {
  Quarantine quarantine({});
  const auto subject = MakeSubject(1);
  quarantine.OnStarted(subject, MakeAttempt(1), "a", kStart);
  quarantine.OnStarted(subject, MakeAttempt(2), "a", kStart);
  const TimePoint crash_time = kStart + seconds(1);
  quarantine.OnCrash(subject, "a", crash_time);
  quarantine.OnFailed(MakeAttempt(1));
  quarantine.OnCrash(subject, "a", crash_time + milliseconds(2));
  quarantine.OnFailed(MakeAttempt(2));
  const TimePoint later = crash_time + seconds(1);
  CHECK(IsVerdict<Quarantine::OnlyTo>(
      quarantine.Check(subject, kTargets, later)));

  SECTION("the next crash of the same target counts again") {
    quarantine.OnStarted(subject, MakeAttempt(3), "a", later);
    quarantine.OnCrash(subject, "a", later + milliseconds(10));
    CHECK(IsVerdict<Quarantine::Quarantined>(
        quarantine.Check(subject, kTargets, later + seconds(1))));
  }
  SECTION("another entry's report of the same crash does not count again") {
    SuspicionNotice notice;
    notice.fingerprint = 1;
    notice.deaths = {{"a", milliseconds(900)}};
    quarantine.OnNotice(notice, {}, later);
    CHECK(IsVerdict<Quarantine::OnlyTo>(
        quarantine.Check(subject, kTargets, later)));
  }
}

TEST_CASE("Quarantine keeps copies on one target until one has finished") {
  Quarantine quarantine({});
  const auto subject = MakeSubject(7);
  quarantine.OnStarted(subject, MakeAttempt(1), "a", kStart);
  const auto verdict = quarantine.Check(subject, kTargets, kStart);
  REQUIRE(IsVerdict<Quarantine::OnlyTo>(verdict));
  CHECK(std::get<Quarantine::OnlyTo>(verdict).instance == "a");
  quarantine.OnFinished(MakeAttempt(1), kStart);
  quarantine.OnStarted(subject, MakeAttempt(2), "b", kStart);
  CHECK(IsVerdict<Quarantine::Anywhere>(
      quarantine.Check(subject, kTargets, kStart)));
}

/// Simulates two entries, eight targets, one request that crashes every target
/// it runs on, and harmless requests. Notices between entries are delayed by up
/// to 100 ms.
struct CrashSimulation {
  explicit CrashSimulation(std::uint64_t seed) : random(seed) {
    for (int it = 0; it < 8; ++it) {
      targets.push_back("t" + std::to_string(it));
    }
  }

  struct Job {
    Quarantine::Subject subject;
    std::size_t entry;
    std::string target;  ///< Empty while waiting.
    TimePoint ends;
    AttemptId attempt;
    bool done = false;
    bool refused = false;
  };

  void Add(std::size_t entry, Fingerprint fingerprint) {
    jobs.push_back({MakeSubject(fingerprint), entry, "", {}, {}});
  }

  void Start(Job* job) {
    const auto verdict = entries[job->entry].Check(job->subject, targets, now);
    if (IsVerdict<Quarantine::Quarantined>(verdict)) {
      job->done = job->refused = true;
    }
    if (job->done || IsVerdict<Quarantine::Hold>(verdict)) {
      return;
    }
    const auto* only = std::get_if<Quarantine::OnlyTo>(&verdict);
    const std::string to =
        only ? only->instance : targets[random() % targets.size()];
    const AttemptId attempt = MakeAttempt(++attempts);
    if (!gates[to].Admit(attempt, job->subject.fingerprint, now)) {
      return;
    }
    job->target = to;
    job->attempt = attempt;
    job->ends = now + milliseconds(100 + random() % 400);
    entries[job->entry].OnStarted(job->subject, job->attempt, job->target, now);
  }

  void CrashTarget(const std::string target) {
    ++deaths;
    for (Job& it : jobs) {
      if (!it.done && it.target == target) {
        entries[it.entry].OnCrash(it.subject, target, now);
        entries[it.entry].OnFailed(it.attempt);
        it.target.clear();
      }
    }
    Sweep();
  }

  void Sweep() {
    for (auto& [name, gate] : gates) {
      gate.Sweep([this](const AttemptId& id) {
        return std::any_of(jobs.begin(), jobs.end(), [&](const Job& it) {
          return !it.done && !it.target.empty() && it.attempt == id;
        });
      });
    }
  }

  void Step() {
    now += milliseconds(10);
    for (std::size_t it = 0; it < jobs.size(); ++it) {
      if (jobs[it].done) {
        continue;
      }
      if (jobs[it].target.empty()) {
        Start(&jobs[it]);
      } else if (now >= jobs[it].ends && jobs[it].subject.fingerprint == 1) {
        CrashTarget(jobs[it].target);
      } else if (now >= jobs[it].ends) {
        entries[jobs[it].entry].OnFinished(jobs[it].attempt, now);
        jobs[it].done = true;
        Sweep();
      }
    }
    for (std::size_t it = 0; it < 2; ++it) {
      entries[it].Tick(now);
      for (const auto& notice : entries[it].TakeNotices()) {
        in_transit.emplace(now + milliseconds(random() % 100),
                           std::pair(1 - it, notice));
        for (const auto& target : targets) {
          gates[target].OnNotice(notice, now);
        }
      }
    }
    while (!in_transit.empty() && in_transit.begin()->first <= now) {
      const auto [to, notice] = in_transit.begin()->second;
      in_transit.erase(in_transit.begin());
      entries[to].OnNotice(notice, {}, now);
    }
  }

  std::mt19937_64 random;
  TimePoint now = kStart;
  std::vector<std::string> targets;
  std::map<std::string, SuspectGate> gates;
  Quarantine entries[2] = {Quarantine({}), Quarantine({})};
  std::vector<Job> jobs;
  std::multimap<TimePoint, std::pair<std::size_t, SuspicionNotice>> in_transit;
  std::uint64_t attempts = 0;
  int deaths = 0;
};

// Guards against repeated copies of a crashing request that take down more
// targets. Copies arrive through both entries among harmless requests. At most
// two targets may crash, every harmless request must be answered, and the
// remaining copies must be refused.
TEST_CASE("Quarantine limits one request to two target crashes") {
  int max_deaths = 0;
  int over_limit = 0;
  int wrongly_refused = 0;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    CrashSimulation simulation(seed);
    for (int step = 0; step < 1500; ++step) {
      if (step < 600 && step % 10 == 0) {
        simulation.Add(simulation.random() % 2,
                       100 + simulation.random() % 1000000);
      }
      if (step < 600 && step % 70 == 35) {
        simulation.Add(simulation.random() % 2, 1);
      }
      simulation.Step();
    }
    for (const auto& it : simulation.jobs) {
      wrongly_refused += it.refused && it.subject.fingerprint != 1;
      CHECK(it.done);
    }
    max_deaths = std::max(max_deaths, simulation.deaths);
    over_limit += simulation.deaths > 2;
  }
  INFO("runs with more than two crashes: " << over_limit << " of 300");
  CHECK(max_deaths <= 2);
  CHECK(wrongly_refused == 0);
}

}  // namespace
}  // namespace indigolead
