#include "entry/dispatcher.h"

#include "entry/attempt_messages.h"
#include "entry/events.h"

namespace indigolead {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::uint32_t kProtocolVersion = 1;

SideLink ToSideLink(LinkId link) { return SideLink{link.value}; }
LinkId ToLinkId(SideLink link) { return LinkId{link.value}; }

std::optional<AttemptId> ReadAttemptId(const std::string& bytes) {
  const auto id = Id128FromBytes(bytes);
  return id ? std::optional(AttemptId{*id}) : std::nullopt;
}

Membership::Options EntryMembership(const Dispatcher::Options& options) {
  Membership::Options membership = options.membership;
  membership.plan.self_name = options.instance.name;
  membership.plan.self_kind = MemberKind::kEntry;
  return membership;
}

}  // namespace

Dispatcher::Dispatcher(boost::asio::io_context* io, Options options,
                       Hooks hooks, Clock clock, const IdSource& ids,
                       EventLog log, MetricsRegistry* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      links_(io, options_.links, LinkHooks(), clock_, ids, log_, metrics),
      membership_(EntryMembership(options_), MembershipHooks(), clock_, log_),
      flow_(options_.flow, hooks_.flow, ids),
      revisions_({.instance = options_.instance.name,
                  .incarnation = options_.incarnation,
                  .deployment = "",
                  .revision_table = options_.revisions},
                 RevisionHooks(), log_),
      tick_timer_(*io),
      forwards_(metrics->AddCounter("indigolead_entry_forwards_total",
                                    "Attempts sent to sides")),
      retries_(metrics->AddCounter("indigolead_entry_retries_total",
                                   "Attempts after a failed one")),
      resumes_(metrics->AddCounter("indigolead_entry_resumes_total",
                                   "Requests for frames to be sent again")),
      foreign_frames_(
          metrics->AddCounter("indigolead_entry_foreign_frames_total",
                              "Frames dropped: of an attempt not held")),
      duplicate_frames_(
          metrics->AddCounter("indigolead_entry_duplicate_frames_total",
                              "Frames dropped: seen before")),
      gap_frames_(metrics->AddCounter("indigolead_entry_gap_frames_total",
                                      "Frames dropped: an earlier is missing")),
      corrupt_answers_(
          metrics->AddCounter("indigolead_entry_corrupt_answers_total",
                              "Answers whose end frame did not agree")),
      unknown_outcomes_(
          metrics->AddCounter("indigolead_entry_unknown_outcomes_total",
                              "Requests that ended with run state unknown")),
      not_run_refusals_(
          metrics->AddCounter("indigolead_entry_not_run_refusals_total",
                              "Requests refused as not run")),
      sides_(metrics->AddGauge("indigolead_entry_sides",
                               "Sides known, connected or absent")) {}

Links::Hooks Dispatcher::LinkHooks() {
  Links::Hooks hooks;
  hooks.make_hello = [this] { return MakeHello(); };
  hooks.fill_heartbeat = [this](wire::Heartbeat* heartbeat) {
    heartbeat->set_leaving(leaving_);
    revisions_.AddKnownRevisions(heartbeat->mutable_revisions());
  };
  hooks.on_up = [this](LinkId link, const wire::Hello& hello) {
    OnLinkUp(link, hello);
  };
  hooks.on_down = [this](LinkId link, const Error& error) {
    OnLinkDown(link, error);
  };
  hooks.on_message = [this](LinkId link, wire::Envelope&& message) {
    OnEnvelope(link, std::move(message));
  };
  return hooks;
}

MembershipService::Hooks Dispatcher::MembershipHooks() {
  MembershipService::Hooks hooks;
  hooks.send = [this](LinkId link, const wire::Envelope& message) {
    return links_.Send(link, message);
  };
  hooks.connect = [this](const std::string& it) { links_.Connect(it); };
  hooks.disconnect = [this](const std::string& it) { links_.Disconnect(it); };
  return hooks;
}

void Dispatcher::AddService(EntryService service) {
  services_.push_back(std::move(service));
}

Status Dispatcher::Start() {
  Status status = links_.Start();
  if (IsOk(status)) {
    Tick();
  }
  return status;
}

wire::Hello Dispatcher::MakeHello() const {
  wire::Hello hello;
  hello.set_protocol(kProtocolVersion);
  hello.set_kind(wire::PROCESS_ENTRY);
  hello.set_instance(options_.instance.name);
  hello.set_incarnation(ToBytes(options_.incarnation.value));
  hello.set_failure_domain(options_.instance.failure_domain);
  hello.set_region(options_.instance.region);
  hello.set_link_address(links_.bound_address());
  hello.set_leaving(leaving_);
  revisions_.AddKnownRevisions(hello.mutable_revisions());
  return hello;
}

void Dispatcher::OnLinkUp(LinkId link, const wire::Hello& hello) {
  membership_.OnLinkUp(link, hello);
  if (hello.kind() == wire::PROCESS_SIDE) {
    if (auto info = SideInfoFrom(hello)) {
      log_(kSideUp, {{"side", info->instance},
                     {"deployment", info->deployment},
                     {"incarnation", ToHex(info->incarnation.value)}});
      flow_.OnSideUp(ToSideLink(link), std::move(*info), clock_());
    }
  }
  revisions_.OnLinkUp(link, hello, clock_());
  for (const EntryService& it : services_) {
    if (it.on_link_up) {
      it.on_link_up(link, hello);
    }
  }
  Flush();
}

void Dispatcher::OnLinkDown(LinkId link, const Error& error) {
  log_(kSideDown, {{"peer", error.peer}, {"cause", error.detail}});
  flow_.OnSideDown(ToSideLink(link), clock_());
  membership_.OnLinkDown(link);
  revisions_.OnLinkDown(link, clock_());
  for (const EntryService& it : services_) {
    if (it.on_link_down) {
      it.on_link_down(link);
    }
  }
  Flush();
}

void Dispatcher::OnHeartbeat(LinkId link, const wire::Heartbeat& heartbeat) {
  if (const SideInfo* known = flow_.FindSide(ToSideLink(link))) {
    SideInfo info = *known;
    UpdateSideInfo(heartbeat, &info);
    flow_.OnSideChanged(ToSideLink(link), info, clock_());
  }
}

void Dispatcher::OnEnvelope(LinkId link, wire::Envelope&& message) {
  if (membership_.HandleMessage(link, message)) {
    return;
  }
  for (const EntryService& it : services_) {
    if (it.handle_message && it.handle_message(link, message)) {
      Flush();
      return;
    }
  }
  const TimePoint now = clock_();
  const SideLink side = ToSideLink(link);
  switch (message.body_case()) {
    case wire::Envelope::kChunk: {
      wire::ResponseChunk& chunk = *message.mutable_chunk();
      if (const auto id = ReadAttemptId(chunk.attempt_id())) {
        flow_.OnChunk(side, *id, chunk.sequence(),
                      std::move(*chunk.mutable_data()), now);
      }
      break;
    }
    case wire::Envelope::kHead: {
      wire::ResponseHead& head = *message.mutable_head();
      if (const auto id = ReadAttemptId(head.attempt_id())) {
        flow_.OnHead(side, *id, head.sequence(),
                     static_cast<int>(head.status()),
                     HeadersFrom(head.mutable_headers()), now);
      }
      break;
    }
    case wire::Envelope::kEnd:
      if (const auto id = ReadAttemptId(message.end().attempt_id())) {
        flow_.OnEnd(side, *id, AttemptEndFrom(message.end()), now);
      }
      break;
    case wire::Envelope::kRefused:
      if (const auto id = ReadAttemptId(message.refused().attempt_id())) {
        flow_.OnRefused(side, *id, SideRefusalFrom(message.refused()), now);
      }
      break;
    case wire::Envelope::kAttemptState: {
      const wire::AttemptState& state = message.attempt_state();
      const auto id = ReadAttemptId(state.attempt_id());
      const auto known = KnowledgeFrom(state.knowledge());
      if (id && known) {
        flow_.OnKnowledge(side, *id, *known, state.next_sequence(), now);
      }
      break;
    }
    case wire::Envelope::kHeartbeat:
      OnHeartbeat(link, message.heartbeat());
      revisions_.HandleMessage(link, message, now);
      break;
    default:
      revisions_.HandleMessage(link, message, now);
      break;
  }
  Flush();
}

void Dispatcher::OnMessage(ToDispatch&& message) {
  const TimePoint now = clock_();
  if (auto* request =
          std::get_if<std::shared_ptr<const CallerRequest>>(&message)) {
    flow_.OnRequest(std::move(*request), now);
  } else if (const auto* disconnected =
                 std::get_if<CallerDisconnected>(&message)) {
    flow_.OnCallerDisconnected(disconnected->request, now);
  } else if (const auto* bytes_written =
                 std::get_if<AnswerBytesWritten>(&message)) {
    flow_.OnAnswerBytesWritten(bytes_written->request, bytes_written->bytes,
                               now);
  }
  Flush();
}

void Dispatcher::OnMessage(PlatformEvent&& event) {
  if (auto* seen = std::get_if<RevisionRead>(&event)) {
    OfferRevision(seen->json);
  } else if (const auto* instances = std::get_if<InstanceListRead>(&event)) {
    OnInstances(instances->list);
  } else if (const auto* drains = std::get_if<DrainListRead>(&event)) {
    flow_.OnDrains(drains->instances, clock_());
  }
  Flush();
}

void Dispatcher::OnInstances(const InstanceList& list) {
  membership_.OnInstances(list);
  const TimePoint now = clock_();
  for (const InstanceRecord& it : list.instances) {
    if (it.kind == "target") {
      flow_.OnLeaving(it.name, it.state == InstanceState::kLeaving, now);
    }
  }
}

RevisionOutcome Dispatcher::OfferRevision(const std::string& json) {
  return revisions_.OfferFromStore(json, clock_());
}

RevisionExchange::Hooks Dispatcher::RevisionHooks() {
  RevisionExchange::Hooks hooks;
  hooks.send = [this](LinkId link, const wire::Envelope& message) {
    return links_.Send(link, message);
  };
  hooks.apply = [this](const Revision& revision) { Apply(revision); };
  return hooks;
}

void Dispatcher::Apply(const Revision& revision) {
  log_(kRevisionInForce, {{"deployment", revision.spec.name},
                          {"revision", std::to_string(revision.number)}});
  revisions_in_force_[revision.spec.name] = revision;
  hooks_.to_callers(
      CatalogueChanged{std::make_shared<const Catalogue>(revisions_in_force_)});
  if (hooks_.on_revision) {
    hooks_.on_revision(revision);
  }
}

void Dispatcher::Flush() {
  // An action can cause further ones: a start that does not fit into the send
  // queue is routed to another side.
  for (;;) {
    actions_.clear();
    flow_.TakeActions(&actions_);
    if (actions_.empty()) {
      return;
    }
    for (RequestAction& it : actions_) {
      ExecuteAction(it);
    }
  }
}

void Dispatcher::ExecuteAction(RequestAction& action) {
  std::visit(
      [this](auto& it) {
        using T = std::decay_t<decltype(it)>;
        constexpr bool kToSide =
            std::is_same_v<T, SendStart> || std::is_same_v<T, SendCredit> ||
            std::is_same_v<T, SendCancel> || std::is_same_v<T, SendResume>;
        if constexpr (kToSide) {
          Send(it);
        } else {
          hooks_.to_callers(ToCallers(std::move(it)));
        }
      },
      action);
}

void Dispatcher::Send(const SendStart& action) {
  FillStart(action, outgoing_.mutable_start());
  const bool sent = links_.Send(ToLinkId(action.link), outgoing_);
  outgoing_.Clear();
  if (!sent) {
    flow_.OnStartNotSent(action.attempt, clock_());
  }
}

void Dispatcher::Send(const SendCredit& action) {
  wire::Credit& credit = *outgoing_.mutable_credit();
  credit.set_attempt_id(ToBytes(action.attempt.value));
  credit.set_bytes(action.bytes);
  if (!links_.Send(ToLinkId(action.link), outgoing_)) {
    flow_.OnCreditNotSent(action.attempt, action.bytes);
  }
  outgoing_.Clear();
}

void Dispatcher::Send(const SendCancel& action) {
  FillCancel(action, outgoing_.mutable_cancel());
  if (!links_.Send(ToLinkId(action.link), outgoing_)) {
    flow_.OnCancelNotSent(action.link, action.ref);
  }
  outgoing_.Clear();
}

void Dispatcher::Send(const SendResume& action) {
  FillResume(action, outgoing_.mutable_resume());
  // A resume that cannot be sent is retried after the probe interval.
  links_.Send(ToLinkId(action.link), outgoing_);
  outgoing_.Clear();
}

void Dispatcher::Tick() {
  if (stopped_) {
    return;
  }
  const TimePoint now = clock_();
  flow_.Tick(now);
  membership_.Tick(now);
  revisions_.Tick(now);
  for (const EntryService& it : services_) {
    if (it.tick) {
      it.tick(now);
    }
  }
  Flush();
  UpdateMetrics();
  if (hooks_.on_tick) {
    hooks_.on_tick();
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Tick();
    }
  });
}

void Dispatcher::UpdateMetrics() {
  const RequestFlowCounts& now = flow_.counts();
  forwards_.Add(now.forwards - exported_counts_.forwards);
  retries_.Add(now.retries - exported_counts_.retries);
  resumes_.Add(now.resumes - exported_counts_.resumes);
  foreign_frames_.Add(now.foreign_frames - exported_counts_.foreign_frames);
  duplicate_frames_.Add(now.duplicate_frames -
                        exported_counts_.duplicate_frames);
  gap_frames_.Add(now.gap_frames - exported_counts_.gap_frames);
  corrupt_answers_.Add(now.corrupt_answers - exported_counts_.corrupt_answers);
  unknown_outcomes_.Add(now.unknown_outcomes -
                        exported_counts_.unknown_outcomes);
  not_run_refusals_.Add(now.not_run_refusals -
                        exported_counts_.not_run_refusals);
  exported_counts_ = now;
  sides_.Set(static_cast<std::int64_t>(flow_.sides().size()));
}

void Dispatcher::Stop(const std::string& reason) {
  stopped_ = true;
  tick_timer_.cancel();
  links_.Stop(reason);
}

}  // namespace indigolead
