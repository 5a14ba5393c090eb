// Notices about a target in the heads of its answers.

#include "entry/direct_transport.h"
#include "entry/events.h"
#include "entry/watched_target_client.h"

namespace indigolead {

std::unique_ptr<TargetClient> DirectTransport::MakeClient(
    const std::string& address) {
  if (options_.make_client) {
    return options_.make_client(address);
  }
  HttpTargetClient::Options options = options_.client;
  options.address = address;
  return std::make_unique<HttpTargetClient>(io_, std::move(options));
}

void DirectTransport::RenewClient(Target* target) {
  const std::string& id = target->record.id;
  const std::uint64_t number = ++next_client_;
  WatchedTargetClient::Watcher watcher;
  watcher.may_write = [this, id](bool is_new_work) {
    return hooks_.may_write ? hooks_.may_write(id, is_new_work)
                            : Status(Unit{});
  };
  watcher.on_head = [this, id, number](int status,
                                       const std::vector<HttpHeader>& headers) {
    ReportNotices(id, number, status, headers);
  };
  watcher.on_stray_answer = [this, id](StrayAnswer reason) {
    ReportStray(id, reason);
  };
  target->client_number = number;
  target->client = std::make_unique<WatchedTargetClient>(
      MakeClient(target->record.address), std::move(watcher));
}

void DirectTransport::ReportStray(const std::string& instance,
                                  StrayAnswer reason) {
  if (hooks_.on_stray_answer) {
    hooks_.on_stray_answer(instance, reason);
  }
}

void DirectTransport::ReportNotices(const std::string& instance,
                                    std::uint64_t client_number, int status,
                                    const std::vector<HttpHeader>& headers) {
  const auto it = targets_.find(instance);
  if (it == targets_.end() || it->second.client_number != client_number) {
    return;  // The answer came through a replaced client.
  }
  const TargetRecord& target = it->second.record;
  const auto cooldown =
      dialect_.requested_cooldown
          ? dialect_.requested_cooldown(target, status, headers)
          : Result<Duration>(Duration{0});
  if (!IsOk(cooldown)) {
    log_(kTargetNoticeUnreadable, {{"error", ToString(ErrorOf(cooldown))}});
  } else if (ValueOf(cooldown) > Duration{0} && hooks_.on_cooldown_requested) {
    hooks_.on_cooldown_requested(instance, ValueOf(cooldown));
  }
  const auto leaving = dialect_.says_leaving
                           ? dialect_.says_leaving(target, headers)
                           : Result<bool>(false);
  if (!IsOk(leaving)) {
    log_(kTargetNoticeUnreadable, {{"error", ToString(ErrorOf(leaving))}});
  } else if (ValueOf(leaving) && hooks_.on_leaving_announced) {
    hooks_.on_leaving_announced(instance);
  }
}

void DirectTransport::ReportLimit(const std::string& instance, const Run& run,
                                  int status,
                                  const std::vector<HttpHeader>& headers) {
  const TargetRecord* target = FindTarget(instance);
  if (!target || target->run != run.called || !hooks_.on_limit_notice ||
      !dialect_.advertised_limit) {
    return;
  }
  const auto limit = dialect_.advertised_limit(*target, headers);
  if (!IsOk(limit)) {
    log_(kTargetLimitUnreadable, {{"request", run.request->caller_id},
                                  {"error", ToString(ErrorOf(limit))}});
    return;
  }
  const bool served = status < 300 && dialect_.meaning(status, headers) ==
                                          AnswerMeaning::kAnswer;
  hooks_.on_limit_notice(instance, {ValueOf(limit), served, run.called_at});
}

}  // namespace indigolead
