#include "core/control/audit.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/base/bounded_json.h"
#include "core/base/json_fields.h"
#include "core/base/json_problem.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr std::array kKinds = {
    std::pair{AuditKind::kEdit, std::string_view("edit")},
    std::pair{AuditKind::kOrder, std::string_view("order")},
    std::pair{AuditKind::kRoleChange, std::string_view("role-change")},
    std::pair{AuditKind::kDrain, std::string_view("drain")},
    std::pair{AuditKind::kQuarantine, std::string_view("quarantine")},
    std::pair{AuditKind::kLease, std::string_view("lease")},
};

constexpr char kDecodeStep[] = "audit.decode";

Error Malformed(const std::string& detail) {
  return Error{ErrorCode::kProtocol, kDecodeStep, "store",
               "expected one audit record as JSON, saw: " + detail};
}

// Returns the time of the newest record in a segment, or 0 if it is empty.
WallMicros NewestTimeIn(const std::string& segment) {
  WallMicros newest = 0;
  for (const AuditRecord& record : ReadAuditSegment(segment, 0).records) {
    newest = std::max(newest, record.at);
  }
  return newest;
}

}  // namespace

std::string_view AuditKindName(AuditKind kind) {
  for (const auto& [value, name] : kKinds) {
    if (value == kind) {
      return name;
    }
  }
  return "edit";
}

std::optional<AuditKind> AuditKindFromName(std::string_view name) {
  for (const auto& [value, known] : kKinds) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

std::string EncodeAuditRecord(const AuditRecord& record) {
  return Json{{"kind", AuditKindName(record.kind)},
              {"subject", record.subject},
              {"cause", record.cause},
              {"actor", record.actor},
              {"fencing_number", record.fencing_number},
              {"before", record.before},
              {"after", record.after},
              {"at", record.at}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<AuditRecord> DecodeAuditRecord(std::string_view line) {
  const auto document = ParseBoundedJson(line, kDecodeStep, "store");
  if (!IsOk(document)) {
    return Malformed(ErrorOf(document).detail);
  }
  try {
    const Json& parsed = ValueOf(document);
    const auto kind = AuditKindFromName(parsed.at("kind").get<std::string>());
    if (!kind) {
      return Malformed("an unknown kind");
    }
    AuditRecord record;
    record.kind = *kind;
    parsed.at("subject").get_to(record.subject);
    parsed.at("cause").get_to(record.cause);
    parsed.at("actor").get_to(record.actor);
    record.fencing_number = IntegerAt<FencingNumber>(parsed, "fencing_number");
    parsed.at("before").get_to(record.before);
    parsed.at("after").get_to(record.after);
    record.at = IntegerAt<WallMicros>(parsed, "at");
    return record;
  } catch (const Json::exception& e) {
    return Malformed(JsonProblem(e));
  }
}

AuditSegment ReadAuditSegment(std::string_view text, WallMicros since) {
  AuditSegment segment;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.empty()) {
      continue;
    }
    Result<AuditRecord> record = DecodeAuditRecord(line);
    if (!IsOk(record)) {
      ++segment.bad_lines;
    } else if (ValueOf(record).at >= since) {
      segment.records.push_back(ValueOf(std::move(record)));
    }
  }
  return segment;
}

std::string AuditSegmentKey(const std::string& entry, std::size_t index) {
  return "audit/" + entry + "-" + std::to_string(index);
}

AuditTrail::AuditTrail(Options options) : options_(std::move(options)) {}

void AuditTrail::OnLoaded(const std::vector<std::string>& segments) {
  if (loaded_) {
    return;
  }
  loaded_ = true;
  WallMicros newest = 0;
  for (std::size_t i = 0; i < segments.size() && i < options_.segments; ++i) {
    const WallMicros at = NewestTimeIn(segments[i]);
    if (at > newest) {
      newest = at;
      segment_index_ = i;
      segment_text_ = segments[i];
    }
  }
  MoveWaitingToSegment();
}

bool AuditTrail::Append(const AuditRecord& record) {
  if (waiting_.size() >= options_.max_waiting) {
    ++dropped_;
    return false;
  }
  waiting_.push_back(EncodeAuditRecord(record) + "\n");
  MoveWaitingToSegment();
  return true;
}

std::optional<AuditTrail::Write> AuditTrail::Tick(TimePoint now) {
  const bool due =
      !last_write_ || now - *last_write_ >= options_.write_interval;
  if (!dirty_ || in_flight_ || !due) {
    return std::nullopt;
  }
  dirty_ = false;
  in_flight_ = true;
  last_write_ = now;
  return Write{AuditSegmentKey(options_.entry, segment_index_), segment_text_};
}

void AuditTrail::OnWritten(bool ok) {
  in_flight_ = false;
  dirty_ = dirty_ || !ok;
  MoveWaitingToSegment();
}

void AuditTrail::MoveWaitingToSegment() {
  while (loaded_ && !waiting_.empty()) {
    const std::string& line = waiting_.front();
    const bool full =
        segment_text_.size() + line.size() > options_.max_segment_bytes;
    if (full && !segment_text_.empty()) {
      // A full segment is kept until it has been written. Only then the oldest
      // segment of the ring is overwritten.
      if (dirty_ || in_flight_) {
        return;
      }
      segment_index_ = (segment_index_ + 1) % options_.segments;
      segment_text_.clear();
    }
    segment_text_ += line;
    waiting_.pop_front();
    dirty_ = true;
  }
}

}  // namespace indigolead
