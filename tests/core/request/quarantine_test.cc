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
bool Says(const Quarantine::Verdict& verdict) {
  return std::holds_alternative<T>(verdict);
}

// A request crashes its target while a harmless one runs there. Both become
// suspects and run separately: the harmless one finishes and is cleared; the
// other crashes a second target and is quarantined.
TEST_CASE("Quarantine blocks a request after two crashes, clears the other") {
  Quarantine quarantine({});
  const auto poison = MakeSubject(1);
  const auto innocent = MakeSubject(2);
  quarantine.OnStarted(poison, MakeAttempt(1), "a", kStart);
  quarantine.OnStarted(innocent, MakeAttempt(2), "a", kStart);
  for (const auto& it : {poison, innocent}) {
    quarantine.OnKill(it, "a", kStart);
  }
  quarantine.OnBroken(MakeAttempt(1));
  quarantine.OnBroken(MakeAttempt(2));
  CHECK(Says<Quarantine::Hold>(quarantine.Check(poison, kTargets, kStart)));
  const TimePoint later = kStart + seconds(1);
  REQUIRE(
      Says<Quarantine::OnlyTo>(quarantine.Check(innocent, kTargets, later)));
  const auto place = quarantine.Check(poison, kTargets, later);
  const std::string second = std::get<Quarantine::OnlyTo>(place).instance;
  quarantine.OnStarted(innocent, MakeAttempt(3), second, later);

  SECTION("suspects run one at a time on a target") {
    CHECK(Says<Quarantine::Hold>(quarantine.Check(poison, kTargets, later)));
    quarantine.OnFinished(MakeAttempt(3), later);
    CHECK(Says<Quarantine::OnlyTo>(quarantine.Check(poison, kTargets, later)));
    CHECK(quarantine.List(later).size() == 1);
  }
  SECTION("the second crash quarantines the request") {
    quarantine.OnFinished(MakeAttempt(3), later);
    quarantine.OnStarted(poison, MakeAttempt(4), second, later);
    quarantine.OnKill(poison, second, later);
    const auto verdict = quarantine.Check(poison, kTargets, later);
    REQUIRE(Says<Quarantine::Quarantined>(verdict));
    CHECK(std::get<Quarantine::Quarantined>(verdict).reason ==
          "in flight when these targets died: a " + second);

    SECTION("for a bounded time") {
      CHECK(Says<Quarantine::Quarantined>(
          quarantine.Check(poison, kTargets, later + minutes(29))));
      CHECK_FALSE(Says<Quarantine::Quarantined>(
          quarantine.Check(poison, kTargets, later + minutes(30))));
    }
    SECTION("until an operator lifts it on all entries") {
      Quarantine other({});
      for (const auto& it : quarantine.TakeNotices()) {
        other.OnNotice(it, {}, later);
      }
      CHECK(
          Says<Quarantine::Quarantined>(other.Check(poison, kTargets, later)));
      quarantine.Lift(1, later);
      for (const auto& it : quarantine.TakeNotices()) {
        other.OnNotice(it, {}, later);
      }
      CHECK_FALSE(
          Says<Quarantine::Quarantined>(other.Check(poison, kTargets, later)));
      CHECK(other.List(later).empty());
    }
  }
}

TEST_CASE("Quarantine counts one crash for copies that ran together") {
  Quarantine quarantine({});
  const auto subject = MakeSubject(1);
  quarantine.OnStarted(subject, MakeAttempt(1), "a", kStart);
  quarantine.OnStarted(subject, MakeAttempt(2), "a", kStart);
  const TimePoint death = kStart + seconds(1);
  quarantine.OnKill(subject, "a", death);
  quarantine.OnBroken(MakeAttempt(1));
  quarantine.OnKill(subject, "a", death + milliseconds(2));
  quarantine.OnBroken(MakeAttempt(2));
  const TimePoint later = death + seconds(1);
  CHECK(Says<Quarantine::OnlyTo>(quarantine.Check(subject, kTargets, later)));

  SECTION("the next crash of the same target counts again") {
    quarantine.OnStarted(subject, MakeAttempt(3), "a", later);
    quarantine.OnKill(subject, "a", later + milliseconds(10));
    CHECK(Says<Quarantine::Quarantined>(
        quarantine.Check(subject, kTargets, later + seconds(1))));
  }
  SECTION("another entry's report of the same crash does not count again") {
    SuspicionNotice notice;
    notice.fingerprint = 1;
    notice.deaths = {{"a", milliseconds(900)}};
    quarantine.OnNotice(notice, {}, later);
    CHECK(Says<Quarantine::OnlyTo>(quarantine.Check(subject, kTargets, later)));
  }
}

TEST_CASE("Quarantine keeps copies on one target until one has finished") {
  Quarantine quarantine({});
  const auto subject = MakeSubject(7);
  quarantine.OnStarted(subject, MakeAttempt(1), "a", kStart);
  const auto verdict = quarantine.Check(subject, kTargets, kStart);
  REQUIRE(Says<Quarantine::OnlyTo>(verdict));
  CHECK(std::get<Quarantine::OnlyTo>(verdict).instance == "a");
  quarantine.OnFinished(MakeAttempt(1), kStart);
  quarantine.OnStarted(subject, MakeAttempt(2), "b", kStart);
  CHECK(
      Says<Quarantine::Anywhere>(quarantine.Check(subject, kTargets, kStart)));
}

/// Simulates two entries, eight targets, one request that crashes every target
/// it runs on, and harmless requests. Notices between entries are delayed by up
/// to 100 ms.
struct PoisonWorld {
  explicit PoisonWorld(std::uint64_t seed) : random(seed) {
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
    if (Says<Quarantine::Quarantined>(verdict)) {
      job->done = job->refused = true;
    }
    if (job->done || Says<Quarantine::Hold>(verdict)) {
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

  void Die(const std::string target) {
    ++deaths;
    for (Job& it : jobs) {
      if (!it.done && it.target == target) {
        entries[it.entry].OnKill(it.subject, target, now);
        entries[it.entry].OnBroken(it.attempt);
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
        Die(jobs[it].target);
      } else if (now >= jobs[it].ends) {
        entries[jobs[it].entry].OnFinished(jobs[it].attempt, now);
        jobs[it].done = true;
        Sweep();
      }
    }
    for (std::size_t it = 0; it < 2; ++it) {
      entries[it].Tick(now);
      for (const auto& notice : entries[it].TakeNotices()) {
        mail.emplace(now + milliseconds(random() % 100),
                     std::pair(1 - it, notice));
        for (const auto& target : targets) {
          gates[target].OnNotice(notice, now);
        }
      }
    }
    while (!mail.empty() && mail.begin()->first <= now) {
      const auto [to, notice] = mail.begin()->second;
      mail.erase(mail.begin());
      entries[to].OnNotice(notice, {}, now);
    }
  }

  std::mt19937_64 random;
  TimePoint now = kStart;
  std::vector<std::string> targets;
  std::map<std::string, SuspectGate> gates;
  Quarantine entries[2] = {Quarantine({}), Quarantine({})};
  std::vector<Job> jobs;
  std::multimap<TimePoint, std::pair<std::size_t, SuspicionNotice>> mail;
  std::uint64_t attempts = 0;
  int deaths = 0;
};

// Guards against repeated copies of a crashing request that take down more
// targets. Copies arrive through both entries among harmless requests. At most
// two targets may crash, every harmless request must be answered, and the
// remaining copies must be refused.
TEST_CASE("Quarantine limits one request to two target crashes") {
  int worst = 0;
  int over = 0;
  int wrongly_refused = 0;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    PoisonWorld world(seed);
    for (int step = 0; step < 1500; ++step) {
      if (step < 600 && step % 10 == 0) {
        world.Add(world.random() % 2, 100 + world.random() % 1000000);
      }
      if (step < 600 && step % 70 == 35) {
        world.Add(world.random() % 2, 1);
      }
      world.Step();
    }
    for (const auto& it : world.jobs) {
      wrongly_refused += it.refused && it.subject.fingerprint != 1;
      CHECK(it.done);
    }
    worst = std::max(worst, world.deaths);
    over += world.deaths > 2;
  }
  INFO("runs with more than two crashes: " << over << " of 300");
  CHECK(worst <= 2);
  CHECK(wrongly_refused == 0);
}

}  // namespace
}  // namespace indigolead
