#include "entry/load_control.h"

#include <catch2/catch.hpp>

#include "entry/attempt_messages.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

/// Load control of an entry with the deployment "tarifa-llm" and its engines.
struct LoadControlFixture {
  LoadControlFixture()
      : control({.failure_domain = "bilbao-a"}, Outputs(), MakeSeededRandom(3),
                &metrics) {
    control.Install(&hooks);
    service = control.Service([this] { return now; });
    Revision revision;
    revision.spec.name = "tarifa-llm";
    ClientAccountSpec salon;
    salon.name = "salon";
    salon.max_concurrent = 2;
    revision.spec.client_accounts = {salon};
    control.OnRevision(revision);
  }

  LoadControl::Outputs Outputs() {
    LoadControl::Outputs outputs;
    outputs.admitted = [this](const RequestId& id, TimePoint) {
      admitted.push_back(id);
    };
    outputs.refused = [this](const RequestId& id, Refusal refusal, TimePoint) {
      refused.emplace_back(id, refusal);
    };
    return outputs;
  }

  void EngineUp(std::uint64_t link, const std::string& name) {
    wire::Hello hello;
    hello.set_kind(wire::PROCESS_SIDE);
    hello.set_instance(name);
    hello.set_incarnation(ToBytes(Id128{1, link}));
    hello.set_failure_domain("bilbao-a");
    hello.mutable_target()->set_deployment("tarifa-llm");
    hello.mutable_target()->set_is_engine(true);
    hello.mutable_target()->add_models("tarifa@1");
    hello.mutable_target()->set_health(wire::TARGET_UP);
    service.on_link_up(LinkId{link}, hello);
    SideInfo info = *SideInfoFrom(hello);
    sides.push_back(info);
  }

  void Load(std::uint64_t link, std::uint32_t running,
            std::uint64_t queued_tokens) {
    wire::Envelope message;
    wire::LoadReport& load = *message.mutable_heartbeat()->mutable_load();
    load.set_slots(16);
    load.set_running(running);
    load.set_queued_prefill_tokens(queued_tokens);
    CHECK_FALSE(service.handle_message(LinkId{link}, message));
  }

  CallerRequest Request(std::uint64_t n) const {
    CallerRequest request;
    request.id = RequestId{Id128{0, n}};
    request.client_account = "salon";
    request.deployment = "tarifa-llm";
    request.model = "tarifa";
    request.deadline = now + seconds(60);
    request.prompt_tokens = 100;
    request.max_output_tokens = 100;
    return request;
  }

  std::vector<Candidate> Candidates() const {
    std::vector<Candidate> candidates;
    for (const SideInfo& it : sides) {
      candidates.push_back(Candidate{&it, 0, false});
    }
    return candidates;
  }

  TimePoint now = kStart;
  MetricsRegistry metrics;
  std::vector<RequestId> admitted;
  std::vector<std::pair<RequestId, Refusal>> refused;
  std::vector<SideInfo> sides;
  LoadControl control;
  RequestFlowHooks hooks;
  EntryService service;
};

TEST_CASE(
    "Admission enforces client account limits and frees slots of ended "
    "requests") {
  LoadControlFixture fixture;
  fixture.EngineUp(1, "worker-1");
  CHECK(std::get<Gate>(fixture.hooks.admit(fixture.Request(1), fixture.now)) ==
        Gate::kOpen);
  CHECK(std::get<Gate>(fixture.hooks.admit(fixture.Request(2), fixture.now)) ==
        Gate::kOpen);

  const GateResult third = fixture.hooks.admit(fixture.Request(3), fixture.now);
  REQUIRE(std::holds_alternative<Refusal>(third));
  CHECK(std::get<Refusal>(third).status == 429);
  CHECK(std::get<Refusal>(third).run == RunState::kNotRun);
  CHECK(std::get<Refusal>(third).retry_after > Duration{0});

  fixture.hooks.on_done(fixture.Request(1), fixture.now);
  CHECK(std::get<Gate>(fixture.hooks.admit(fixture.Request(4), fixture.now)) ==
        Gate::kOpen);
}

TEST_CASE("A request is queued while the engines are full") {
  LoadControlFixture fixture;
  fixture.EngineUp(1, "worker-1");
  fixture.Load(1, 16, 0);
  REQUIRE(std::get<Gate>(fixture.hooks.admit(fixture.Request(1),
                                             fixture.now)) == Gate::kWait);
  fixture.service.tick(fixture.now);
  CHECK(fixture.admitted.empty());

  SECTION("a load report with free slots admits it") {
    fixture.now += milliseconds(500);
    fixture.Load(1, 3, 0);
    fixture.service.tick(fixture.now);
    CHECK(fixture.admitted == std::vector<RequestId>{fixture.Request(1).id});
  }
  SECTION("if its caller disconnects it is not admitted") {
    fixture.hooks.on_done(fixture.Request(1), fixture.now);
    fixture.Load(1, 0, 0);
    fixture.service.tick(fixture.now + seconds(1));
    CHECK(fixture.admitted.empty());
  }
  SECTION("past its deadline it is refused as not run") {
    fixture.service.tick(fixture.now + seconds(61));
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused[0].second.status == 503);
    CHECK(fixture.refused[0].second.run == RunState::kNotRun);
  }
}

TEST_CASE("Routing chooses by load among the offered targets") {
  LoadControlFixture fixture;
  fixture.EngineUp(1, "worker-1");
  fixture.EngineUp(2, "worker-2");
  fixture.Load(1, 2, 90000);
  fixture.Load(2, 2, 0);
  const auto route = [&](const CallerRequest& request,
                         const std::vector<Candidate>& candidates) {
    const RouteResult result =
        fixture.hooks.route(request, candidates, fixture.now);
    const auto* to = std::get_if<RouteTo>(&result);
    return to == nullptr ? std::string("none") : to->instance;
  };
  auto candidates = fixture.Candidates();
  CHECK(route(fixture.Request(1), candidates) == "worker-2");

  SECTION("a target that the flow does not offer is not chosen") {
    candidates.pop_back();
    CHECK(route(fixture.Request(1), candidates) == "worker-1");
    CHECK(route(fixture.Request(1), {}) == "none");
    CHECK(route(fixture.Request(1), fixture.Candidates()) == "worker-2");
  }
  SECTION("a target that was already tried is not chosen") {
    candidates[1].tried = true;
    CHECK(route(fixture.Request(1), candidates) == "worker-1");
  }
  SECTION("a model that no engine has loaded gets no target") {
    CallerRequest request = fixture.Request(1);
    request.model = "other";
    CHECK(route(request, candidates) == "none");
  }
  SECTION("sent requests count before a load report shows them") {
    for (std::uint64_t it = 1; it <= 16; ++it) {
      CallerRequest request = fixture.Request(it);
      request.prompt_tokens = 90000;
      route(request, candidates);
      fixture.hooks.on_sent(request, AttemptId{Id128{0, it}}, fixture.sides[1],
                            fixture.now);
    }
    CHECK(route(fixture.Request(20), candidates) == "worker-1");
  }
}

}  // namespace
}  // namespace indigolead
