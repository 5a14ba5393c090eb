#include "core/config/settings_table.h"

#include <utility>

namespace indigolead {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kKiB = 1ULL << 10;
constexpr std::uint64_t kMiB = 1ULL << 20;
constexpr std::uint64_t kGiB = 1ULL << 30;

/// Returns a function that points to `field` of `part` in the settings.
template <typename Part, typename Value>
std::function<FieldPointer(Settings&)> FieldOf(Part Settings::*part,
                                               Value Part::*field) {
  return [part, field](Settings& settings) -> FieldPointer {
    return &(settings.*part.*field);
  };
}

using Rows = std::vector<KeyRow<Settings>>;

/// Appends the rows of one section.
template <typename Part>
class SectionRows {
 public:
  SectionRows(std::string section, Part Settings::*part, Rows* rows)
      : section_(std::move(section)), part_(part), rows_(rows) {}

  template <typename Value>
  SectionRows& Add(std::string key, Value Part::*field, ValueRule rule,
                   std::string meaning, bool required = false) {
    rows_->push_back({section_, std::move(key), std::move(rule), required,
                      std::move(meaning), FieldOf(part_, field)});
    return *this;
  }

 private:
  std::string section_;
  Part Settings::*part_;
  Rows* rows_;
};

constexpr bool kRequired = true;

void AddInstance(Rows* rows) {
  using S = InstanceSettings;
  SectionRows<S>("instance", &Settings::instance, rows)
      .Add("name", &S::name, NameRule(),
           "Unique name of this instance in the fleet.", kRequired)
      .Add("failure_domain", &S::failure_domain, NameRule(),
           "Failure domain that the instance is in.", kRequired)
      .Add("region", &S::region, NameRule(),
           "Region that the failure domain belongs to.", kRequired)
      .Add("link_address", &S::link_address, KindRule(ValueKind::kAddress),
           "Where other processes of indigolead connect; port 0 picks one.");
}

void AddStore(Rows* rows) {
  using S = StoreSettings;
  SectionRows<S>("store", &Settings::store, rows)
      .Add("address", &S::address, KindRule(ValueKind::kAddress),
           "Address of the platform's object API.", kRequired)
      .Add("call_deadline", &S::call_deadline,
           DurationRule(milliseconds(10), minutes(1)),
           "Longest wait for the answer to one call.")
      .Add("watch_silence", &S::watch_silence,
           DurationRule(seconds(1), minutes(10)),
           "A watch that is silent for longer is given up and listed anew.")
      .Add("calls_per_second", &S::calls_per_second, IntegerRule(1, 2000),
           "Calls that this process makes at most, averaged.")
      .Add("call_burst", &S::call_burst, IntegerRule(1, 10000),
           "Calls that it may make at once after a pause.")
      .Add("max_queued_calls", &S::max_queued_calls, IntegerRule(1, 100000),
           "Calls that may wait for their turn; further ones fail.")
      .Add("instance_poll_interval", &S::instance_poll_interval,
           DurationRule(milliseconds(100), minutes(1)),
           "Time between two readings of the instance list.");
}

void AddLinks(Rows* rows) {
  using S = LinkSettings;
  SectionRows<S>("links", &Settings::links, rows)
      .Add("heartbeat_interval", &S::heartbeat_interval,
           DurationRule(milliseconds(10), seconds(30)),
           "A heartbeat is sent when nothing else was for this long.")
      .Add("silence_timeout", &S::silence_timeout,
           DurationRule(milliseconds(30), minutes(2)),
           "A connection silent for longer is closed and opened anew.")
      .Add("high_water_mark", &S::high_water_mark, IntegerRule(16, 1 << 20),
           "Messages that may wait in a socket for one peer.")
      .Add("max_message_bytes", &S::max_message_bytes,
           SizeRule(64 * kKiB, 256 * kMiB), "Largest message accepted.")
      .Add("max_links", &S::max_links, IntegerRule(1, 100000),
           "Connections to and from peers that are held at most.")
      .Add("public_key_file", &S::public_key_file, KindRule(ValueKind::kPath),
           "File with this instance's public CURVE key.")
      .Add("secret_key_file", &S::secret_key_file, KindRule(ValueKind::kPath),
           "File with this instance's secret CURVE key.")
      .Add("trusted_keys_file", &S::trusted_keys_file,
           KindRule(ValueKind::kPath),
           "File with the public keys of the peers that may connect.")
      .Add("seeds", &S::seeds, KindRule(ValueKind::kAddressList),
           "Entries to try while the instance list is out of reach.");
}

void AddEntry(Rows* rows) {
  using S = EntrySettings;
  SectionRows<S>("entry", &Settings::entry, rows)
      .Add("http_address", &S::http_address, KindRule(ValueKind::kAddress),
           "Where callers connect; port 0 picks one.")
      .Add("max_connections", &S::max_connections, IntegerRule(1, 1 << 20),
           "Connections of callers that are held at most.")
      .Add("max_requests", &S::max_requests, IntegerRule(1, 1 << 20),
           "Requests that are in work or wait at most.")
      .Add("max_header_bytes", &S::max_header_bytes, SizeRule(kKiB, kMiB),
           "Largest request header accepted.")
      .Add("max_body_bytes", &S::max_body_bytes, SizeRule(kKiB, kGiB),
           "Largest request body accepted.")
      .Add("stream_window_bytes", &S::stream_window_bytes,
           SizeRule(4 * kKiB, 64 * kMiB),
           "Bytes of one answer that wait for its caller at most.")
      .Add("header_timeout", &S::header_timeout,
           DurationRule(milliseconds(100), minutes(5)),
           "A caller that connects and sends no whole header is dropped.")
      .Add("idle_timeout", &S::idle_timeout,
           DurationRule(milliseconds(100), hours(1)),
           "A connection without a request is closed after this.")
      .Add("write_timeout", &S::write_timeout,
           DurationRule(milliseconds(100), hours(1)),
           "A caller that takes nothing for this long is dropped.")
      .Add("drain_timeout", &S::drain_timeout,
           DurationRule(seconds(1), hours(24)),
           "Longest time that a planned stop waits for requests to end.")
      .Add("resume_timeout", &S::resume_timeout,
           DurationRule(milliseconds(100), minutes(5)),
           "Longest time that a broken stream is tried to be resumed.")
      .Add("run_controller", &S::run_controller, KindRule(ValueKind::kBool),
           "Lets this entry become the holder of the control lease.")
      .Add("tls_certificate_file", &S::tls_certificate_file,
           KindRule(ValueKind::kPath),
           "Certificate chain (PEM) for callers; none: plain HTTP.")
      .Add("tls_key_file", &S::tls_key_file, KindRule(ValueKind::kPath),
           "Private key (PEM) of the certificate.");
}

void AddSide(Rows* rows) {
  using S = SideSettings;
  SectionRows<S>("side", &Settings::side, rows)
      .Add("deployment", &S::deployment, NameRule(),
           "Deployment that the target serves.", kRequired)
      .Add("target_kind", &S::target_kind, ChoiceRule({"engine", "service"}),
           "Kind of the target.")
      .Add("target_address", &S::target_address, KindRule(ValueKind::kAddress),
           "Address of the target.", kRequired)
      .Add("max_attempts", &S::max_attempts, IntegerRule(1, 100000),
           "Attempts that are in work or wait at most.")
      .Add("max_buffer_bytes", &S::max_buffer_bytes, SizeRule(kMiB, 4 * kGiB),
           "Memory for the frames of all attempts.")
      .Add("stream_buffer_bytes", &S::stream_buffer_bytes,
           SizeRule(4 * kKiB, 256 * kMiB),
           "Memory for the frames of one attempt.")
      .Add("finished_retention", &S::finished_retention,
           DurationRule(seconds(1), hours(1)),
           "Time for which the frames of a finished attempt can be resumed.")
      .Add("load_poll_interval", &S::load_poll_interval,
           DurationRule(milliseconds(10), minutes(1)),
           "Time between two readings of the target's load.")
      .Add("drain_timeout", &S::drain_timeout,
           DurationRule(seconds(1), hours(24)),
           "Longest time that a planned stop waits for attempts to end.")
      .Add("entries_per_region", &S::entries_per_region, IntegerRule(1, 10000),
           "Entries of each region that this side connects to at most.")
      .Add("max_claims", &S::max_claims, IntegerRule(100, 10000000),
           "Claims of idempotency keys that are remembered at most.")
      .Add("max_answer_memory_bytes", &S::max_answer_memory_bytes,
           SizeRule(kMiB, 4 * kGiB),
           "Memory for answers that are replayed to a repeated key.")
      .Add("claim_retention", &S::claim_retention,
           DurationRule(minutes(1), hours(72)),
           "Time for which a claim is remembered.");
}

void AddLog(Rows* rows) {
  using S = LogSettings;
  SectionRows<S>("log", &Settings::log, rows)
      .Add("minimum", &S::minimum,
           ChoiceRule({"debug", "info", "warning", "error"}),
           "Events below this severity are not logged.");
}

Rows MakeTable() {
  Rows rows;
  AddInstance(&rows);
  AddStore(&rows);
  AddLinks(&rows);
  AddEntry(&rows);
  AddSide(&rows);
  AddLog(&rows);
  return rows;
}

}  // namespace

const std::vector<KeyRow<Settings>>& SettingsTable() {
  static const auto* const table = new Rows(MakeTable());
  return *table;
}

std::vector<std::string> SectionsOf(SettingsRole role) {
  switch (role) {
    case SettingsRole::kEntry:
      return {"instance", "store", "links", "entry", "log"};
    case SettingsRole::kSide:
      return {"instance", "store", "links", "side", "log"};
    case SettingsRole::kOperator:
      return {"store", "log"};
  }
  return {};
}

bool IsRequired(const KeyRow<Settings>& row, SettingsRole role) {
  // A side process reaches the store through entries unless its settings give
  // the store's address.
  const bool side_without_store =
      role == SettingsRole::kSide && row.section == "store";
  return row.required && !side_without_store;
}

}  // namespace indigolead
