#include "wire/claim_codec.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "core/base/http_status.h"

namespace indigolead {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kNumberDigits = 10;

void FillAnswer(const ClaimAnswer& answer, wire::StoredAnswer* out) {
  out->set_status(answer.status);
  out->set_body(answer.body);
  for (const AnswerHeader& it : answer.headers) {
    wire::Header* header = out->add_headers();
    header->set_name(it.name);
    header->set_value(it.value);
  }
}

/// Returns nothing if the answer cannot be repeated.
std::optional<ClaimAnswer> ReadAnswer(const wire::StoredAnswer& message) {
  if (!IsFinalStatus(static_cast<int>(message.status()))) {
    return std::nullopt;
  }
  ClaimAnswer answer{message.status(), {}, message.body()};
  for (const wire::Header& it : message.headers()) {
    answer.headers.push_back({it.name(), it.value()});
  }
  return answer;
}

wire::ClaimEnd ToWire(ClaimState state) {
  switch (state) {
    case ClaimState::kFinished:
      return wire::CLAIM_END_FINISHED;
    case ClaimState::kNotRun:
      return wire::CLAIM_END_NOT_RUN;
    case ClaimState::kUnknown:
      return wire::CLAIM_END_UNKNOWN;
    case ClaimState::kRunning:
      break;
  }
  return wire::CLAIM_END_UNSPECIFIED;
}

/// A value that this version does not know maps to `kUnknown`, since the
/// request may have run.
ClaimState FromWire(wire::ClaimEnd end) {
  switch (end) {
    case wire::CLAIM_END_UNSPECIFIED:
      return ClaimState::kRunning;
    case wire::CLAIM_END_FINISHED:
      return ClaimState::kFinished;
    case wire::CLAIM_END_NOT_RUN:
      return ClaimState::kNotRun;
    default:
      return ClaimState::kUnknown;
  }
}

/// Verdicts in the order of their enum values on the wire, which start at 1.
constexpr ClaimVerdict kVerdicts[] = {
    ClaimVerdict::kGranted,  ClaimVerdict::kRunning,
    ClaimVerdict::kFinished, ClaimVerdict::kAlreadyRun,
    ClaimVerdict::kUnknown,  ClaimVerdict::kBodyDiffers,
    ClaimVerdict::kNotHome,  ClaimVerdict::kOverloaded,
    ClaimVerdict::kNotReady};

wire::ClaimVerdict ToWire(ClaimVerdict verdict) {
  const auto it =
      std::find(std::begin(kVerdicts), std::end(kVerdicts), verdict);
  return static_cast<wire::ClaimVerdict>(it - std::begin(kVerdicts) + 1);
}

std::optional<ClaimVerdict> FromWire(wire::ClaimVerdict verdict) {
  const int index = static_cast<int>(verdict) - 1;
  if (index < 0 || index >= static_cast<int>(std::size(kVerdicts))) {
    return std::nullopt;
  }
  return kVerdicts[index];
}

template <typename Id>
std::optional<Id> ReadId(const std::string& bytes) {
  const auto id = Id128FromBytes(bytes);
  return id ? std::optional<Id>(Id{*id}) : std::nullopt;
}

void FillRecord(const ClaimRecord& record, wire::ClaimRecord* out) {
  out->set_claim_key(ToBytes(record.key.value));
  out->set_body_digest(record.body_digest);
  out->set_request_id(ToBytes(record.request.value));
  out->set_end(ToWire(record.state));
  if (record.answer) {
    FillAnswer(*record.answer, out->mutable_answer());
  }
  out->set_copied(record.copied);
}

std::optional<ClaimRecord> ReadRecord(const wire::ClaimRecord& message) {
  const auto key = ReadId<ClaimKey>(message.claim_key());
  const auto request = ReadId<RequestId>(message.request_id());
  if (!key || !request) {
    return std::nullopt;
  }
  ClaimRecord record{
      *key, message.body_digest(), *request, FromWire(message.end()), {}};
  if (message.has_answer()) {
    record.answer = ReadAnswer(message.answer());
  }
  record.copied = message.copied();
  return record;
}

}  // namespace

void FillClaimRequest(const SendClaimQuery& query, wire::ClaimRequest* out) {
  out->set_request_id(ToBytes(query.query.request.value));
  out->set_claim_key(ToBytes(query.query.key.value));
  out->set_body_digest(query.query.body_digest);
  out->set_slot(query.query.slot);
  out->set_epoch(query.epoch);
  out->set_wait_us(static_cast<std::uint64_t>(
      duration_cast<microseconds>(query.query.wait).count()));
}

std::optional<ClaimQuery> ReadClaimRequest(const wire::ClaimRequest& message,
                                           const Incarnation& entry) {
  const auto request = ReadId<RequestId>(message.request_id());
  const auto key = ReadId<ClaimKey>(message.claim_key());
  if (!request || !key) {
    return std::nullopt;
  }
  return ClaimQuery{*request,       *key,  message.body_digest(),
                    message.slot(), entry, microseconds(message.wait_us())};
}

void FillClaimReply(const SendDecision& decision, std::uint64_t epoch,
                    wire::ClaimReply* out) {
  out->set_request_id(ToBytes(decision.request.value));
  out->set_verdict(ToWire(decision.decision.verdict));
  out->set_epoch(epoch);
  out->set_retry_after_ms(static_cast<std::uint64_t>(
      duration_cast<milliseconds>(decision.decision.retry_after).count()));
  if (decision.decision.answer) {
    FillAnswer(*decision.decision.answer, out->mutable_answer());
  }
}

std::optional<ClaimDecided> ReadClaimReply(const wire::ClaimReply& message) {
  const auto request = ReadId<RequestId>(message.request_id());
  const auto verdict = FromWire(message.verdict());
  if (!request || !verdict) {
    return std::nullopt;
  }
  ClaimDecided decided{*request,
                       {*verdict, {}, milliseconds(message.retry_after_ms())}};
  if (message.has_answer()) {
    decided.decision.answer = ReadAnswer(message.answer());
  }
  if (*verdict == ClaimVerdict::kFinished && !decided.decision.answer) {
    decided.decision.verdict = ClaimVerdict::kAlreadyRun;
  }
  return decided;
}

void FillClaimOutcome(const SendEndReport& report, wire::ClaimOutcome* out) {
  out->set_request_id(ToBytes(report.report.request.value));
  out->set_claim_key(ToBytes(report.report.key.value));
  out->set_slot(report.report.slot);
  out->set_epoch(report.epoch);
  out->set_end(ToWire(report.report.end));
  out->set_body_digest(report.report.body_digest);
  if (report.report.answer) {
    FillAnswer(*report.report.answer, out->mutable_answer());
  }
}

std::optional<ClaimEndReport> ReadClaimOutcome(
    const wire::ClaimOutcome& message, const Incarnation& entry) {
  const auto request = ReadId<RequestId>(message.request_id());
  const auto key = ReadId<ClaimKey>(message.claim_key());
  if (!request || !key) {
    return std::nullopt;
  }
  ClaimEndReport report{*request,
                        *key,
                        message.slot(),
                        message.body_digest(),
                        FromWire(message.end()),
                        {},
                        entry};
  if (message.has_answer()) {
    report.answer = ReadAnswer(message.answer());
  }
  return report;
}

void FillJournalRef(const JournalRef& ref, wire::JournalRef* out) {
  out->set_home(ref.home);
  out->set_journal_id(ToBytes(ref.journal.value));
}

std::optional<JournalRef> ReadJournalRef(const wire::JournalRef& message) {
  const auto id = ReadId<JournalId>(message.journal_id());
  if (!id) {
    return std::nullopt;
  }
  return JournalRef{message.home(), *id};
}

wire::WitnessMark ToWire(WitnessMark mark) {
  switch (mark) {
    case WitnessMark::kDegraded:
      return wire::WITNESS_DEGRADED;
    case WitnessMark::kSealed:
      return wire::WITNESS_SEALED;
    case WitnessMark::kNone:
      break;
  }
  return wire::WITNESS_NONE;
}

WitnessMark FromWire(wire::WitnessMark mark) {
  switch (mark) {
    case wire::WITNESS_DEGRADED:
      return WitnessMark::kDegraded;
    case wire::WITNESS_SEALED:
      return WitnessMark::kSealed;
    default:
      return WitnessMark::kNone;
  }
}

void FillSlotMap(const std::string& deployment, const SlotMap& map,
                 wire::SlotMap* out) {
  out->Clear();
  std::map<JournalRef, std::uint32_t> indexes;
  const auto index_of = [&](const JournalRef& ref) {
    const auto [it, is_new] =
        indexes.try_emplace(ref, static_cast<std::uint32_t>(indexes.size()));
    if (is_new) {
      FillJournalRef(ref, out->add_journals());
    }
    return it->second;
  };
  out->set_deployment(deployment);
  out->set_epoch(map.epoch);
  out->set_fencing_number(map.fencing_number);
  for (const SlotAssignment& it : map.slots) {
    wire::SlotOwner* slot = out->add_slots();
    slot->set_owner(index_of(it.owner));
    slot->set_since_epoch(it.since_epoch);
    for (const JournalRef& source : it.sources) {
      slot->add_sources(index_of(source));
    }
  }
  for (const JournalRef& it : map.gone) {
    out->add_gone(index_of(it));
  }
  for (const JournalRef& it : map.retired) {
    out->add_retired(index_of(it));
  }
}

std::optional<SlotMap> ReadSlotMap(const wire::SlotMap& message) {
  std::vector<JournalRef> journals;
  for (const wire::JournalRef& it : message.journals()) {
    const auto ref = ReadJournalRef(it);
    if (!ref) {
      return std::nullopt;
    }
    journals.push_back(*ref);
  }
  SlotMap map;
  map.epoch = message.epoch();
  map.fencing_number = message.fencing_number();
  for (const wire::SlotOwner& it : message.slots()) {
    if (it.owner() >= journals.size()) {
      return std::nullopt;
    }
    SlotAssignment slot{journals[it.owner()], {}, it.since_epoch()};
    for (const std::uint32_t source : it.sources()) {
      if (source >= journals.size()) {
        return std::nullopt;
      }
      slot.sources.push_back(journals[source]);
    }
    map.slots.push_back(std::move(slot));
  }
  for (const std::uint32_t it : message.gone()) {
    if (it >= journals.size()) {
      return std::nullopt;
    }
    map.gone.insert(journals[it]);
  }
  for (const std::uint32_t it : message.retired()) {
    if (it >= journals.size()) {
      return std::nullopt;
    }
    map.retired.insert(journals[it]);
  }
  return map;
}

std::string EncodeSegment(const JournalSegment& segment) {
  wire::ClaimJournal out;
  FillJournalRef(segment.ref, out.mutable_ref());
  out.set_number(segment.number);
  out.set_generation(segment.generation);
  for (const Incarnation& it : segment.witnesses) {
    out.add_witnesses(ToBytes(it.value));
  }
  for (const ClaimRecord& it : segment.records) {
    FillRecord(it, out.add_records());
  }
  for (const std::uint32_t it : segment.incomplete_slots) {
    out.add_incomplete_slots(it);
  }
  out.set_closed(segment.closed);
  out.set_sealed(segment.sealed);
  return out.SerializeAsString();
}

std::optional<JournalSegment> DecodeSegment(const std::string& value) {
  wire::ClaimJournal in;
  if (!in.ParseFromString(value)) {
    return std::nullopt;
  }
  const auto ref = ReadJournalRef(in.ref());
  if (!ref) {
    return std::nullopt;
  }
  JournalSegment segment;
  segment.ref = *ref;
  segment.number = in.number();
  segment.generation = in.generation();
  for (const std::string& it : in.witnesses()) {
    const auto id = ReadId<Incarnation>(it);
    if (!id) {
      return std::nullopt;
    }
    segment.witnesses.push_back(*id);
  }
  for (const wire::ClaimRecord& it : in.records()) {
    auto record = ReadRecord(it);
    if (!record) {
      return std::nullopt;
    }
    segment.records.push_back(std::move(*record));
  }
  segment.incomplete_slots.assign(in.incomplete_slots().begin(),
                                  in.incomplete_slots().end());
  segment.closed = in.closed();
  segment.sealed = in.sealed();
  return segment;
}

std::string JournalPrefix(const JournalRef& ref) {
  return "claims/" + ref.home + "/" + ToHex(ref.journal.value) + ".";
}

std::string SegmentKey(const JournalRef& ref, std::uint64_t number) {
  const std::string digits = std::to_string(number);
  const std::size_t zeros =
      digits.size() < kNumberDigits ? kNumberDigits - digits.size() : 0;
  return JournalPrefix(ref) + std::string(zeros, '0') + digits;
}

}  // namespace indigolead
