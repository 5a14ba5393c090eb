#ifndef INDIGOLEAD_TESTS_SUPPORT_CLAIMS_CLAIM_WORLD_H_
#define INDIGOLEAD_TESTS_SUPPORT_CLAIMS_CLAIM_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/claims/claim_client.h"
#include "core/claims/claim_home.h"

namespace indigolead {

/// Simulates entry processes and homes from a seed. Runs the production claim
/// code against a fake store and a fake network that lose, repeat, delay and
/// reorder messages.
class ClaimWorld {
 public:
  struct Faults {
    double lose = 0;         ///< Chance that a message is lost.
    double repeat = 0;       ///< Chance that it is delivered twice.
    double lose_answer = 0;  ///< Chance that the reply to a write is lost.
    double kill = 0;         ///< Chance per step, as for the faults below.
    double restart = 0.02;
    double pause = 0;
    double cut_link = 0;
    double cut_store = 0;  ///< Cuts one home off from the store.
    double store_down = 0;
    double recover = 0.03;  ///< Chance that a cut or an outage ends.
  };

  ClaimWorld(std::uint64_t seed, Faults faults);

  /// Advances by `steps` steps of 20 ms. Each step starts a request with one of
  /// `key_count` keys with probability `load`.
  void Run(int steps, std::size_t key_count, double load);

  /// Ends all faults and runs `steps` steps without new requests.
  void EndFaults(int steps);

  struct Counts {
    int runs = 0;
    int answered = 0;
    int replayed = 0;
    int already_run = 0;
    int unknown = 0;
    int free = 0;  ///< Refused with the key left free.
    int home_kills = 0;
    int entry_kills = 0;
    int degraded_grants = 0;
    int takeovers = 0;
  };
  const Counts& counts() const { return counts_; }

  /// Returns the first violated property, or an empty string.
  const std::string& violation() const { return violation_; }

  /// Starts a request and returns its verdict, or nothing after `steps` steps
  /// without one.
  std::optional<ClaimVerdict> AskOnce(std::size_t entry, int key, int steps);

  struct Home {
    std::string name;
    Incarnation incarnation;
    std::unique_ptr<ClaimHome> core;  ///< Null while the home is down.
    TimePoint paused_until;
    TimePoint died_at;
    bool leaving = false;
    bool store_cut = false;
  };
  struct Entry {
    Incarnation incarnation;
    std::unique_ptr<ClaimClient> client;
    std::unique_ptr<WitnessTable> witness;
  };

  Home& home(std::size_t n) { return homes_[n]; }
  std::size_t HomeOf(int key) const;
  void KillHome(std::size_t n);
  void StartHome(std::size_t n);
  void KillEntry(std::size_t n);
  void StartEntry(std::size_t n);
  void SetLink(std::size_t home, std::size_t entry, bool up);
  void set_store_up(bool up) { store_up_ = up; }
  Faults& faults() { return faults_; }

 private:
  struct Stored {
    JournalSegment segment;
    std::uint64_t version;
  };
  using StoreKey = std::pair<JournalRef, std::uint64_t>;
  struct IssuedRequest {
    int key;
    std::size_t entry;
  };

  bool Chance(double p);
  Id128 NextId();
  void Schedule(Duration delay, std::function<void()> run);
  Duration Delay(int max_ms);
  void Step();
  void InjectFaults();
  void PlanSlots();
  void DistributeSlotMap();
  void StartRequest(std::size_t entry, int key);
  void HomeActions(std::size_t n);
  void EntryActions(std::size_t n);
  void ToHome(std::size_t entry, std::size_t home,
              std::function<void(ClaimHome&)> deliver);
  void ToEntry(std::size_t home, const Incarnation& entry,
               std::function<void(Entry&)> deliver);
  void OnHome(std::size_t n, const Incarnation& incarnation,
              std::function<void(ClaimHome&)> deliver);
  void StoreWrite(std::size_t n, const WriteSegment& write);
  void StoreRead(std::size_t n, const ReadJournal& read);
  void Decided(std::size_t entry, const ClaimDecided& decided);
  void RunRequest(std::size_t entry, const RequestId& request, int key);
  std::size_t IndexOf(const std::string& home) const;
  void RecordViolation(const std::string& text);

  std::mt19937_64 random_;
  Faults faults_;
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Home> homes_;
  std::vector<Entry> entries_;
  std::vector<std::vector<bool>> links_;
  std::map<StoreKey, Stored> store_;
  std::uint64_t version_ = 0;
  bool store_up_ = true;
  std::optional<SlotMap> map_;
  std::map<RequestId, IssuedRequest> issued_requests_;
  std::map<RequestId, ClaimVerdict> verdicts_;
  std::map<int, int> runs_;
  std::map<int, std::string> answers_;
  Counts counts_;
  std::string violation_;
  bool faults_ended_ = false;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_CLAIMS_CLAIM_WORLD_H_
