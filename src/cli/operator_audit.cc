#include "cli/operator_audit.h"

#include <utility>

namespace indigolead::cli {
namespace {

// Each entry has its own segment, but all operators share this one, so each
// append is conditional on the version read.
constexpr char kOperator[] = "operator";
constexpr std::size_t kMaxSegmentBytes = 256U << 10;
constexpr int kMaxAttempts = 10;

/// Removes whole lines from the front until `text` fits `kMaxSegmentBytes`.
void DropOldest(std::string* text) {
  while (text->size() > kMaxSegmentBytes) {
    text->erase(0, text->find('\n') + 1);
  }
}

Status TryAppend(OperatorStore* store, const std::string& line) {
  const std::string key = AuditSegmentKey(kOperator, 0);
  const auto object = store->Get(key);
  if (!IsOk(object)) {
    return ErrorOf(object);
  }
  std::string text = ValueOf(object) ? ValueOf(object)->value : "";
  text += line + "\n";
  DropOldest(&text);
  const auto written = store->Put(
      key, text, ValueOf(object) ? ValueOf(object)->version : 0,
      [&text](const std::string& value) { return value.starts_with(text); });
  if (!IsOk(written)) {
    return ErrorOf(written);
  }
  return Unit{};
}

}  // namespace

void AppendAudit(const CommandContext& context, OperatorStore* store,
                 const AuditRecord& record) {
  const std::string line = EncodeAuditRecord(record);
  Status status = Unit{};
  for (int i = 0; i < kMaxAttempts; ++i) {
    status = TryAppend(store, line);
    if (IsOk(status) || ErrorOf(status).code != ErrorCode::kConflict) {
      break;
    }
  }
  if (!IsOk(status)) {
    *context.err << "indigolead: the change was made, but its audit record was "
                    "not written: "
                 << ErrorOf(status) << "\n  " << line << "\n";
  }
}

}  // namespace indigolead::cli
