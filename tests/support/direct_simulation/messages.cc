#include "tests/support/direct_simulation/messages.h"

#include <functional>

namespace indigolead::testing::direct_simulation {

std::string FieldOf(const std::vector<HttpHeader>& headers, const char* name) {
  for (const HttpHeader& it : headers) {
    if (it.name == name) {
      return it.value;
    }
  }
  return "";
}

std::string FieldOf(const TargetRequest& request, const char* name) {
  return FieldOf(request.headers, name);
}

int EventCount(const std::string& id) {
  return 3 + static_cast<int>(std::hash<std::string>{}(id) % 6);
}

std::string EventText(const std::string& id, int number) {
  const std::string n = std::to_string(number);
  return "id: " + n + "\ndata: " + id + "-" + n + "\n\n";
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int n = 1; n <= EventCount(id); ++n) {
    text += EventText(id, n);
  }
  return text;
}

std::string WholeAnswerText(const std::string& id) { return "answer of " + id; }

namespace {

TargetRequest MakeCall(const CallerRequest& request, const TargetRecord& target,
                       const RunOptions& options, const char* operation) {
  TargetRequest call;
  call.headers = {{kInstance, target.id},
                  {kId, request.caller_id},
                  {kOperation, operation},
                  {kResume, options.resume_after}};
  call.deadline = options.left;
  return call;
}

}  // namespace

TargetDialect MakeSimulatedDialect() {
  TargetDialect dialect;
  dialect.run = [](const CallerRequest& request, const TargetRecord& target,
                   const RunOptions& options) {
    TargetRequest call = MakeCall(request, target, options, "run");
    if (options.source) {
      call.headers.push_back({kSource, options.source->source_address + "/" +
                                           options.source->name});
    }
    return call;
  };
  dialect.prefill = [](const CallerRequest& request, const TargetRecord& target,
                       const RunOptions& options) {
    return MakeCall(request, target, options, "prefill");
  };
  dialect.read_handle = [](const TargetRecord& target,
                           const TargetAnswer& answer) -> Result<KvHandle> {
    if (answer.status != 200) {
      return Error{answer.status == 503 ? ErrorCode::kOverloaded
                                        : ErrorCode::kUnavailable,
                   "prefill", target.id, std::to_string(answer.status)};
    }
    return KvHandle{target.address, answer.body};
  };
  dialect.release = [](const KvHandle& handle) {
    TargetRequest call;
    call.headers = {{kOperation, "release"}, {kSource, handle.name}};
    return call;
  };
  dialect.meaning = [](int status, const std::vector<HttpHeader>& /*headers*/) {
    switch (status) {
      case 421:
        return AnswerMeaning::kWrongTarget;
      case 503:
        return AnswerMeaning::kNotRun;
      default:
        return AnswerMeaning::kAnswer;
    }
  };
  dialect.advertised_limit = [](const TargetRecord& /*target*/,
                                const std::vector<HttpHeader>& headers)
      -> Result<std::optional<double>> {
    for (const HttpHeader& it : headers) {
      if (it.name == kLimit) {
        return std::optional(std::stod(it.value));
      }
    }
    return std::optional<double>();
  };
  dialect.requested_cooldown =
      [](const TargetRecord& /*target*/, int status,
         const std::vector<HttpHeader>& headers) -> Result<Duration> {
    const std::string cooldown = FieldOf(headers, kCooldownMs);
    return status == 503 && !cooldown.empty()
               ? Duration(std::chrono::milliseconds(std::stol(cooldown)))
               : Duration{0};
  };
  dialect.says_leaving =
      [](const TargetRecord& /*target*/,
         const std::vector<HttpHeader>& headers) -> Result<bool> {
    return !FieldOf(headers, kLeaving).empty();
  };
  return dialect;
}

}  // namespace indigolead::testing::direct_simulation
