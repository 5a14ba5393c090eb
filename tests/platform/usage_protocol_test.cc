#include "platform/usage_protocol.h"

#include <catch2/catch.hpp>

namespace indigolead::platform {
namespace {

/// Guards against losing a usage window that the receiver has not accepted.
TEST_CASE("Only a success says that a usage report was delivered") {
  const UsageDialect dialect = MakeUsageDialect();
  struct Row {
    int status;
    ReportOutcome outcome;
  };
  const Row rows[] = {
      {200, ReportOutcome::kDelivered}, {202, ReportOutcome::kDelivered},
      {204, ReportOutcome::kDelivered}, {301, ReportOutcome::kUnknown},
      {304, ReportOutcome::kUnknown},   {307, ReportOutcome::kUnknown},
      {400, ReportOutcome::kRefused},   {412, ReportOutcome::kUnknown},
      {429, ReportOutcome::kUnknown},   {500, ReportOutcome::kUnknown},
      {503, ReportOutcome::kUnknown}};
  for (const Row& it : rows) {
    INFO(it.status);
    CHECK(dialect.read_outcome({it.status, ""}) == it.outcome);
  }
}

}  // namespace
}  // namespace indigolead::platform
