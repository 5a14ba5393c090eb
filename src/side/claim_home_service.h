#ifndef INDIGOLEAD_SIDE_CLAIM_HOME_SERVICE_H_
#define INDIGOLEAD_SIDE_CLAIM_HOME_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/claims/claim_home.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "store/object_store.h"
#include "wire/links.h"

namespace indigolead {

/// Connects the claim home, which decides whether keyed requests may run (see
/// `ClaimHome`), to the links and to the store. Runs on the side's dispatch
/// thread, as do the store's callbacks.
class ClaimHomeService {
 public:
  struct Options {
    ClaimHome::Options home;
    std::string instance;
    std::string deployment;
    Duration store_deadline = std::chrono::seconds(2);
    Duration state_interval = std::chrono::seconds(1);
  };
  using Send = std::function<bool(LinkId, const wire::Envelope&)>;

  /// `store` and `metrics` must outlive this object.
  ClaimHomeService(Options options, ObjectStore* store, Send send, Clock clock,
                   IdSource ids, EventLog log, MetricsRegistry* metrics);
  ~ClaimHomeService();
  ClaimHomeService(const ClaimHomeService&) = delete;
  ClaimHomeService& operator=(const ClaimHomeService&) = delete;

  /// Returns true if the message was for this service.
  bool HandleMessage(LinkId link, const wire::Envelope& message);
  void OnLinkUp(LinkId link, const wire::Hello& hello);
  void OnLinkDown(LinkId link);
  void Tick(TimePoint now);

  /// Announces whether this side is leaving, so that other sides take over its
  /// slots with their claims.
  void SetLeaving(bool leaving);

  const ClaimHome& home() const { return home_; }

 private:
  void ExecuteActions();
  void Write(const WriteSegment& write);
  void Read(const ReadJournal& read);
  void Delete(const DeleteSegment& segment);
  void SendWitnessAsk(const AskWitnesses& ask);
  void SendState(LinkId link);
  void SendStateIfChanged(TimePoint now);
  void ReportStatus();

  Options options_;
  ObjectStore* store_;
  Send send_;
  Clock clock_;
  EventLog log_;
  ClaimHome home_;
  std::map<LinkId, Incarnation> entries_;
  std::map<Incarnation, LinkId> links_;
  bool leaving_ = false;
  TimePoint next_state_report_;
  JournalRef sent_ref_;
  std::uint64_t sent_absorbed_epoch_ = 0;
  std::size_t ready_slots_ = 0;
  std::size_t incomplete_slots_ = 0;
  bool degraded_ = false;
  /// False once this object is destroyed; callbacks of the store may run later.
  std::shared_ptr<bool> alive_;
  Gauge& claims_gauge_;
  Gauge& slots_gauge_;
  Gauge& incomplete_slots_gauge_;
  Gauge& degraded_gauge_;
  Gauge& writes_gauge_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_SIDE_CLAIM_HOME_SERVICE_H_
