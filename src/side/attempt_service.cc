#include "side/attempt_service.h"

#include <type_traits>

#include "side/attempt_codec.h"
#include "side/events.h"

namespace indigolead {

AttemptService::AttemptService(Options options, Hooks hooks, Clock clock,
                               EventLog log, MetricsRegistry* metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      table_(options_.table, MakeTableHooks()),
      running_gauge_(metrics->AddGauge("indigolead_side_attempts_running",
                                       "Attempts that have not ended.")),
      buffered_gauge_(
          metrics->AddGauge("indigolead_side_buffered_bytes",
                            "Frames held until their caller took them.")),
      started_counter_(
          metrics->AddCounter("indigolead_side_attempts_started_total",
                              "Attempts handed to the target.")),
      refused_counter_(metrics->AddCounter(
          "indigolead_side_attempts_refused_total", "Attempts not run.")),
      foreign_counter_(metrics->AddCounter(
          "indigolead_side_foreign_messages_total",
          "Messages about attempts that the side did not hold.")),
      resumed_counter_(
          metrics->AddCounter("indigolead_side_attempts_resumed_total",
                              "Attempts resumed over a new connection.")) {}

AttemptTable::Hooks AttemptService::MakeTableHooks() {
  AttemptTable::Hooks hooks;
  hooks.send_frame = [this](LinkNumber link, const AttemptId& id,
                            const AttemptFrame& frame) {
    return SendFrame(link, id, frame);
  };
  hooks.send_refusal = [this](LinkNumber link, const AttemptRefusal& refusal) {
    wire::Envelope message;
    FillRefusal(refusal, &message);
    hooks_.send(LinkId{link}, message);
  };
  hooks.send_state = [this](LinkNumber link, const AttemptStateReply& reply) {
    wire::Envelope message;
    FillState(reply, &message);
    hooks_.send(LinkId{link}, message);
  };
  hooks.start_call = [this](const AttemptId& id, AttemptRequest&& request,
                            TimePoint start_by, TimePoint finish_by) {
    return commands_.empty() &&
           hooks_.command(
               StartCallCommand{id, std::move(request), start_by, finish_by});
  };
  hooks.cancel_call = [this](const AttemptId& id) {
    SendCommand(CancelCallCommand{id});
  };
  hooks.pause_call = [this](const AttemptId& id, bool pause) {
    SendCommand(PauseCallCommand{id, pause});
  };
  hooks.check = [this](const AttemptStart& start) { return Check(start); };
  return hooks;
}

RefusalReason AttemptService::Check(const AttemptStart& start) const {
  const auto it = quarantines_.find(start.fingerprint);
  if (start.fingerprint != 0 && it != quarantines_.end() &&
      clock_() < it->second.until) {
    return RefusalReason::kQuarantined;
  }
  if (target_condition_ == TargetCondition::kDown) {
    return RefusalReason::kTargetDown;
  }
  if (hooks_.closed_for_change && hooks_.closed_for_change()) {
    return RefusalReason::kModelNotLoaded;
  }
  return RefusalReason::kUnspecified;
}

bool AttemptService::SendFrame(LinkNumber link, const AttemptId& id,
                               const AttemptFrame& frame) {
  wire::Envelope message;
  FillFrame(id, frame, &message);
  if (frame.kind == AttemptFrame::Kind::kEnd) {
    FillLoadReport(message.mutable_end()->mutable_load());
  }
  return hooks_.send(LinkId{link}, message);
}

void AttemptService::SendCommand(TargetCommand command) {
  commands_.push_back(std::move(command));
  FlushCommands();
}

void AttemptService::FlushCommands() {
  while (!commands_.empty() && hooks_.command(std::move(commands_.front()))) {
    commands_.pop_front();
  }
}

bool AttemptService::HandleMessage(LinkId link, wire::Envelope&& message) {
  switch (message.body_case()) {
    case wire::Envelope::kStart:
      HandleStart(link, std::move(*message.mutable_start()));
      return true;
    case wire::Envelope::kBodyChunk:
      HandleBodyChunk(link, message.body_chunk());
      return true;
    case wire::Envelope::kCredit:
      HandleCredit(message.credit());
      return true;
    case wire::Envelope::kCancel:
      HandleCancel(link, message.cancel());
      return true;
    case wire::Envelope::kResume:
      HandleResume(link, message.resume());
      return true;
    case wire::Envelope::kQuarantine:
      OnQuarantine(message.quarantine());
      return true;
    default:
      return false;
  }
}

void AttemptService::HandleStart(LinkId link, wire::StartAttempt&& message) {
  auto start = ToAttemptStart(std::move(message));
  if (!start) {
    LogMalformed("start");
    return;
  }
  table_.OnStart(link.value, std::move(*start), clock_());
}

void AttemptService::HandleBodyChunk(LinkId link,
                                     const wire::BodyChunk& message) {
  const auto id = Id128FromBytes(message.attempt_id());
  if (!id) {
    LogMalformed("body-chunk");
    return;
  }
  table_.OnBodyChunk(link.value, AttemptId{*id}, message.sequence(),
                     message.data(), message.last(), clock_());
}

void AttemptService::HandleCredit(const wire::Credit& message) {
  const auto id = Id128FromBytes(message.attempt_id());
  if (!id) {
    LogMalformed("credit");
    return;
  }
  table_.OnCredit(AttemptId{*id}, message.bytes());
}

void AttemptService::HandleCancel(LinkId link,
                                  const wire::CancelAttempt& message) {
  const auto query = ToAttemptQuery(message);
  if (!query) {
    LogMalformed("cancel");
    return;
  }
  table_.OnCancel(link.value, *query, clock_());
}

void AttemptService::HandleResume(LinkId link,
                                  const wire::ResumeAttempt& message) {
  const auto query = ToAttemptQuery(message);
  if (!query) {
    LogMalformed("resume");
    return;
  }
  table_.OnResume(link.value, *query, message.next_sequence(),
                  message.granted_bytes(), clock_());
}

void AttemptService::LogMalformed(const char* kind) {
  log_(kSideProtocolError, {{"message", kind}, {"fault", "bad attempt id"}});
}

void AttemptService::OnLinkUp(LinkId link, const wire::Hello& hello) {
  if (const auto id = Id128FromBytes(hello.incarnation())) {
    table_.OnPeer(link.value, Incarnation{*id});
  }
}

void AttemptService::OnLinkDown(LinkId link) { table_.OnLinkDown(link.value); }

void AttemptService::OnQuarantine(const wire::QuarantineNotice& notice) {
  if (notice.remaining_ms() == 0) {
    quarantines_.erase(notice.fingerprint());
    return;
  }
  if (quarantines_.size() >= options_.max_quarantines &&
      !quarantines_.contains(notice.fingerprint())) {
    return;  // Entries enforce quarantines; this check is only a fallback.
  }
  quarantines_[notice.fingerprint()].until =
      clock_() + std::chrono::milliseconds(notice.remaining_ms());
}

void AttemptService::OnTargetEvent(TargetEvent&& event) {
  std::visit(
      [this](auto&& it) {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, CallHeadEvent>) {
          table_.OnCallHead(it.id, it.status, std::move(it.headers));
        } else if constexpr (std::is_same_v<T, CallBodyEvent>) {
          table_.OnCallBody(it.id, std::move(it.data));
        } else if constexpr (std::is_same_v<T, CallEndEvent>) {
          table_.OnCallEnd(it.id, it.outcome, std::move(it.detail), clock_());
        } else if constexpr (std::is_same_v<T, EngineLoadEvent>) {
          load_ = it.load;
        } else if constexpr (std::is_same_v<T, TargetConditionEvent>) {
          OnTargetCondition(it);
        }
      },
      std::move(event));
}

void AttemptService::OnTargetCondition(const TargetConditionEvent& event) {
  const bool restarted =
      !engine_.boot_id.empty() && event.engine.boot_id != engine_.boot_id;
  if (restarted) {
    log_(kTargetRestarted, {{"boot_id", event.engine.boot_id}});
    load_.reset();
  }
  if (event.state != target_condition_) {
    static constexpr const char* kNames[] = {"unknown", "up", "down",
                                             "changing"};
    log_(kTargetHealthChanged,
         {{"state", kNames[static_cast<int>(event.state)]}});
  }
  target_condition_ = event.state;
  engine_ = event.engine;
}

void AttemptService::FillLoadReport(wire::LoadReport* load) const {
  if (load_) {
    FillLoad(*load_, clock_(), load);
  }
  load->set_started_total(table_.counts().started);
  load->set_ended_total(table_.counts().ended);
  if (hooks_.fill_load) {
    hooks_.fill_load(load);
  }
}

void AttemptService::Tick(TimePoint now) {
  FlushCommands();
  table_.Tick(now);
  std::erase_if(quarantines_,
                [now](const auto& it) { return it.second.until <= now; });
  running_gauge_.Set(static_cast<std::int64_t>(table_.running()));
  buffered_gauge_.Set(static_cast<std::int64_t>(table_.buffered_bytes()));
  const auto& counts = table_.counts();
  started_counter_.Add(counts.started - exported_counts_.started);
  refused_counter_.Add(counts.refused - exported_counts_.refused);
  foreign_counter_.Add(counts.unexpected - exported_counts_.unexpected);
  resumed_counter_.Add(counts.resumed - exported_counts_.resumed);
  exported_counts_ = counts;
}

}  // namespace indigolead
