#include <optional>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http_get.h"
#include "cli/operator_store.h"
#include "cli/status_view.h"
#include "core/config/value_text.h"

namespace indigolead::cli {

int RunStatus(const CommandContext& context) {
  constexpr Duration kDeadline = std::chrono::seconds(5);
  const std::vector<std::string> addresses = SplitList(FLAGS_entry);
  if (addresses.empty()) {
    *context.err << "indigolead status: --entry=IP:PORT of any entry is "
                    "missing\n";
    return kExitUsage;
  }
  // Every entry can report the status; use the first that responds.
  std::optional<std::string> answer;
  for (auto it = addresses.begin(); it != addresses.end() && !answer; ++it) {
    Result<std::string> body = HttpGet(*it, "/admin/status", kDeadline);
    if (IsOk(body)) {
      answer = ValueOf(std::move(body));
    } else {
      *context.err << "indigolead: " << ErrorOf(body) << "\n";
    }
  }
  if (!answer) {
    return kExitFailed;
  }
  if (FLAGS_output == "json") {
    *context.out << *answer << "\n";
    return kExitOk;
  }
  const Result<std::string> text = StatusText(*answer);
  if (!IsOk(text)) {
    return ReportError(context, ErrorOf(text));
  }
  *context.out << ValueOf(text);
  return kExitOk;
}

}  // namespace indigolead::cli
