// What the answers of targets say of the targets themselves.

#include "entry/direct_carrier.h"
#include "entry/events.h"
#include "entry/watched_target_client.h"

namespace indigolead {

std::unique_ptr<TargetClient> DirectCarrier::MakeClient(
    const TargetRecord& record) {
  std::unique_ptr<TargetClient> client;
  if (options_.make_client) {
    client = options_.make_client(record.address);
  } else {
    HttpTargetClient::Options options = options_.client;
    options.address = record.address;
    client = std::make_unique<HttpTargetClient>(io_, std::move(options));
  }
  WatchedTargetClient::Watcher watcher;
  watcher.may_write = [this, id = record.id] {
    return hooks_.may_write ? hooks_.may_write(id) : Status(Unit{});
  };
  watcher.on_head = [this, record](int status,
                                   const std::vector<HttpHeader>& headers) {
    TellNotices(record, status, headers);
  };
  return std::make_unique<WatchedTargetClient>(std::move(client),
                                               std::move(watcher));
}

void DirectCarrier::TellNotices(const TargetRecord& target, int status,
                                const std::vector<HttpHeader>& headers) {
  const TargetRecord* known = FindTarget(target.id);
  if (!known || known->run != target.run) {
    return;  // Of the run before, which says nothing of this one.
  }
  const auto rest = dialect_.asked_rest
                        ? dialect_.asked_rest(target, status, headers)
                        : Result<Duration>(Duration{0});
  if (!IsOk(rest)) {
    log_(kTargetNoticeUnreadable, {{"error", ToString(ErrorOf(rest))}});
  } else if (ValueOf(rest) > Duration{0} && hooks_.on_rest_asked) {
    hooks_.on_rest_asked(target.id, ValueOf(rest));
  }
  const auto leaving = dialect_.says_leaving
                           ? dialect_.says_leaving(target, headers)
                           : Result<bool>(false);
  if (!IsOk(leaving)) {
    log_(kTargetNoticeUnreadable, {{"error", ToString(ErrorOf(leaving))}});
  } else if (ValueOf(leaving) && hooks_.on_leaving_told) {
    hooks_.on_leaving_told(target.id);
  }
}

void DirectCarrier::TellLimit(const std::string& instance, const Run& run,
                              int status,
                              const std::vector<HttpHeader>& headers) {
  const TargetRecord* target = FindTarget(instance);
  if (!target || target->run != run.called || !hooks_.on_limit_notice ||
      !dialect_.named_limit) {
    return;
  }
  const auto limit = dialect_.named_limit(*target, headers);
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
