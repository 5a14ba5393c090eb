#include "tests/support/flow_driver.h"

#include <xxhash.h>

#include <variant>

namespace indigolead {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);

template <typename... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace

FlowDriver::FlowDriver(RequestFlowOptions options, RequestFlowHooks hooks)
    : flow_(options, std::move(hooks), [this] {
        return Id128{7, next_id_++};
      }) {}

void FlowDriver::Pass(Duration time) {
  const TimePoint until = now_ + time;
  while (now_ < until) {
    now_ = std::min(now_ + kStep, until);
    flow_.Tick(now_);
    Collect();
  }
}

void FlowDriver::Collect() {
  std::vector<RequestAction> actions;
  flow_.TakeActions(&actions);
  for (RequestAction& action : actions) {
    std::visit(
        Overloaded{[&](SendStart& it) { starts.push_back(std::move(it)); },
                   [&](SendCredit& it) { credits.push_back(it); },
                   [&](SendCancel& it) { cancels.push_back(it); },
                   [&](SendResume& it) { resumes.push_back(it); },
                   [&](AnswerHead& it) {
                     ReceivedAnswer& seen = seen_[it.request];
                     seen.status = it.status;
                     seen.headers = it.headers;
                   },
                   [&](AnswerData& it) { seen_[it.request].body += it.data; },
                   [&](AnswerEnd& it) {
                     seen_[it.request].whole = true;
                     ++seen_[it.request].finals;
                   },
                   [&](AnswerWhole& it) {
                     ReceivedAnswer& seen = seen_[it.request];
                     seen.status = it.answer.status;
                     seen.headers = it.answer.headers;
                     seen.body = it.answer.body;
                     seen.whole = true;
                     ++seen.finals;
                   },
                   [&](AnswerRefusal& it) {
                     seen_[it.request].refusal = it.refusal;
                     ++seen_[it.request].finals;
                   },
                   [&](AnswerAbort& it) {
                     seen_[it.request].refusal = it.refusal;
                     ++seen_[it.request].finals;
                   }},
        action);
  }
}

SideLink FlowDriver::Up(const std::string& instance, std::uint64_t run,
                        const std::string& software_version) {
  const SideLink link{next_link_++};
  SideInfo info;
  info.instance = instance;
  info.incarnation = Incarnation{Id128{run, 1}};
  info.deployment = "tarifa-llm";
  info.software_version = software_version;
  flow_.OnSideUp(link, std::move(info), now_);
  Collect();
  return link;
}

void FlowDriver::Down(SideLink link) {
  flow_.OnSideDown(link, now_);
  Collect();
}

RequestId FlowDriver::Ask(Repeatability repeatability, bool streamed) {
  return AskUntil(repeatability, std::chrono::seconds(60), streamed);
}

RequestId FlowDriver::AskUntil(Repeatability repeatability, Duration deadline,
                               bool streamed) {
  CallerRequest request;
  request.id = RequestId{Id128{9, next_id_++}};
  request.deployment = "tarifa-llm";
  request.repeatability = repeatability;
  request.streamed = streamed;
  request.deadline = now_ + deadline;
  const RequestId id = request.id;
  flow_.OnRequest(std::make_shared<const CallerRequest>(std::move(request)),
                  now_);
  Collect();
  return id;
}

void FlowDriver::Head(const SendStart& start, bool event_stream) {
  flow_.OnHead(start.link, start.attempt, 0, 200,
               {event_stream ? HeaderField{"Content-Type", "text/event-stream"}
                             : HeaderField{"Content-Length", "8"}},
               now_);
  Collect();
}

void FlowDriver::Chunk(const SendStart& start, std::uint64_t sequence,
                       const std::string& data) {
  flow_.OnChunk(start.link, start.attempt, sequence, data, now_);
  Collect();
}

void FlowDriver::End(const SendStart& start, std::uint64_t sequence,
                     const std::string& body, AttemptOutcome outcome) {
  AttemptEnd end;
  end.sequence = sequence;
  end.body_bytes = body.size();
  end.body_checksum = XXH64(body.data(), body.size(), 0);
  end.outcome = outcome;
  flow_.OnEnd(start.link, start.attempt, end, now_);
  Collect();
}

}  // namespace indigolead
