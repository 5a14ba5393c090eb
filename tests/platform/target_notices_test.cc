// Tests, without a network and in simulated time, of what callers and targets
// see when targets request a pause with Retry-After or announce that they are
// leaving.

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "entry/direct_dispatcher.h"
#include "entry/events.h"
#include "platform/target_protocol.h"

namespace indigolead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// State of one simulated target.
struct FakeTarget {
  std::vector<HttpHeader> headers;  ///< Sent in all answers.
  bool refuses = false;             ///< 503, marked as not executed.
  bool connects = true;             ///< If not, calls wait for a connection.
  int arrivals = 0;
  std::vector<std::function<void()>> waiting;  ///< Calls without a connection.
};

class FakeClient : public TargetClient {
 public:
  FakeClient(boost::asio::io_context* io, FakeTarget* target)
      : io_(io), target_(target) {}

  std::unique_ptr<Call> Start(TargetRequest request, Hooks hooks) override {
    auto call = std::make_unique<FakeCall>();
    const bool is_prefill =
        std::any_of(request.headers.begin(), request.headers.end(),
                    [](const HttpHeader& it) { return it.name == "X-Stage"; });
    const auto connected = [target = target_, is_prefill,
                            hooks = std::move(hooks),
                            open = std::weak_ptr(call->open)] {
      if (!open.expired()) {
        Write(target, is_prefill, hooks);
      }
    };
    if (target_->connects) {
      boost::asio::post(*io_, connected);
    } else {
      target_->waiting.push_back(connected);
    }
    return call;
  }

 private:
  struct FakeCall : Call {
    void PauseReading(bool /*pause*/) override {}
    std::shared_ptr<bool> open = std::make_shared<bool>(true);
  };

  static void Write(FakeTarget* target, bool is_prefill, const Hooks& hooks) {
    if (hooks.on_before_write && !hooks.on_before_write()) {
      hooks.on_end(Error{ErrorCode::kUnavailable, "call", "", "stopped"});
      return;
    }
    ++target->arrivals;
    std::vector<HttpHeader> headers = target->headers;
    if (target->refuses) {
      headers.push_back({"X-Not-Executed", "1"});
    } else if (!is_prefill) {
      headers.push_back({"X-Response-Signature", "s"});
    }
    hooks.on_head(target->refuses ? 503 : 200, headers);
    hooks.on_body(is_prefill ? R"({"kv-handle":"h1"})" : "menu");
    hooks.on_end(Unit{});
  }

  boost::asio::io_context* io_;
  FakeTarget* target_;
};

/// Entry with simulated targets, which tests identify by their addresses.
class Scene {
 public:
  /// `retries` is the retry budget, in arrivals.
  explicit Scene(double retries = 100)
      : dispatcher_(
            &io_, Options(retries), platform::MakePlatformDialect(), Hooks(),
            [this] { return now_; },
            [this] {
              return Id128{++next_id_, 7};
            },
            MakeSeededRandom(1), CountingLog(), &metrics_) {
    RouteConfiguration routes;
    routes.version = 1;
    routes.services = {{"app", 100, std::nullopt},
                       {"llm", 100, EngineTraits{}}};
    dispatcher_.OnRoutes(routes);
  }

  /// Lists a target of `service` under `id` at `address`.
  TargetRecord& List(const std::string& id, const std::string& address,
                     const std::string& service = "app",
                     EngineRole role = EngineRole::kMixed) {
    TargetRecord& record = listed_[id];
    record.id = id;
    record.service = service;
    record.address = address;
    record.role = role;
    ApplyList();
    return record;
  }
  void Unlist(const std::string& id) {
    listed_.erase(id);
    ApplyList();
  }
  /// Gives the entry the list of targets.
  void ApplyList() {
    std::vector<TargetRecord> listed;
    for (const auto& [id, record] : listed_) {
      listed.push_back(record);
    }
    dispatcher_.OnStoreFollowed();
    dispatcher_.OnTargets(listed);
    Advance(Duration{0});
  }

  /// Makes the store unreachable for long enough to have dropped live targets.
  void LoseStore() { dispatcher_.OnStoreLost(now_ - seconds(5)); }

  FakeTarget& At(const std::string& address) { return targets_[address]; }
  void RequestPause(const std::string& address, const std::string& pause_s) {
    At(address).refuses = true;
    At(address).headers = {{"Retry-After", pause_s}};
  }
  void Serve(const std::string& address) {
    At(address).refuses = false;
    At(address).headers.clear();
  }
  void Connect(const std::string& address) {
    At(address).connects = true;
    for (const auto& it : std::exchange(At(address).waiting, {})) {
      boost::asio::post(io_, it);
    }
    Advance(Duration{0});
  }

  void Advance(Duration length) {
    const TimePoint end = now_ + length;
    do {
      io_.restart();
      io_.poll();
      now_ = std::min(now_ + milliseconds(20), end);
      dispatcher_.Tick();
    } while (now_ < end);
    io_.restart();
    io_.poll();
  }

  /// Sends a request that may run only once.
  void SendRequest(const std::string& service = "app") {
    refusal_.reset();
    answered_ = false;
    auto request = std::make_shared<CallerRequest>();
    request->id = RequestId{Id128{++next_id_, 1}};
    request->caller_id = "r-" + std::to_string(next_id_);
    request->deployment = service;
    request->path = "/menu";
    request->repeatability = Repeatability::kOnce;
    request->max_attempts = 3;
    if (service == "llm") {
      request->prompt_parts = {{1, 80}, {2, 20}};
    }
    request->received_at = now_;
    request->deadline = now_ + seconds(8);
    dispatcher_.OnRequest(request);
    Advance(Duration{0});
  }
  bool answered() const { return answered_; }
  const std::optional<Refusal>& refusal() const { return refusal_; }
  /// Returns how often a target was marked as one to avoid.
  int avoided_count() const { return avoided_count_; }
  DirectTransport& transport() { return dispatcher_.transport(); }

 private:
  DirectDispatcher::Options Options(double retries) {
    DirectDispatcher::Options options;
    options.flow.no_target_wait = Duration{0};
    options.flow.charge_refused_attempts = true;
    options.retry_budget = {0, {retries, 0}, retries};
    options.transport.make_client = [this](const std::string& address) {
      return std::make_unique<FakeClient>(&io_, &targets_[address]);
    };
    return options;
  }
  DirectDispatcher::Hooks Hooks() {
    DirectDispatcher::Hooks hooks;
    hooks.to_callers = [this](const ToCallers& message) {
      answered_ = answered_ || std::holds_alternative<AnswerWhole>(message);
      if (const auto* it = std::get_if<AnswerRefusal>(&message)) {
        refusal_ = it->refusal;
      }
    };
    return hooks;
  }

  EventLog CountingLog() {
    return [this](const EventInfo& event, const EventFields&) {
      avoided_count_ += event.number == kTargetAvoided.number ? 1 : 0;
    };
  }

  boost::asio::io_context io_;
  int avoided_count_ = 0;
  TimePoint now_{seconds(1000)};
  MetricsRegistry metrics_;
  std::uint64_t next_id_ = 0;
  std::map<std::string, FakeTarget> targets_;
  std::map<std::string, TargetRecord> listed_;
  bool answered_ = false;
  std::optional<Refusal> refusal_;
  DirectDispatcher dispatcher_;
};

/// Guards against requests that fail at a target which left while the entry
/// could not reach the store, although other targets are known to be present.
TEST_CASE("A target that may have left gets requests only if no other can") {
  const std::string service = GENERATE("app", "llm");
  Scene scene;
  const std::vector<std::string> ids = {"a", "b", "c", "d"};
  const auto address_of = [](const std::string& id) { return id + ":80"; };
  for (const std::string& it : ids) {
    scene.List(it, address_of(it), service);
  }
  const auto ask = [&] {
    for (int n = 0; n < 20; ++n) {
      scene.SendRequest(service);
      CHECK(scene.answered());
    }
  };
  const auto arrivals = [&](const std::string& id) {
    return scene.At(address_of(id)).arrivals;
  };
  ask();
  // With one request at a time, one target gets all of them.
  const std::string first = *std::max_element(
      ids.begin(), ids.end(),
      [&](const auto& a, const auto& b) { return arrivals(a) < arrivals(b); });
  const int before = arrivals(first);
  scene.LoseStore();
  scene.Unlist(first);

  SECTION("none while the others can take over its load") {
    ask();
    CHECK(arrivals(first) == before);
  }
  SECTION("all if the others are leaving") {
    for (const std::string& it : ids) {
      if (it != first) {
        scene.List(it, address_of(it), service).leaving = true;
      }
    }
    scene.ApplyList();
    ask();
    CHECK(arrivals(first) > before);
  }
  SECTION("as before if more than a quarter of the targets is missing") {
    scene.Unlist(first == "a" ? "b" : "a");
    ask();
    CHECK(arrivals(first) > before);
  }
  SECTION("as before once it is listed again") {
    scene.List(first, address_of(first), service);
    ask();
    CHECK(arrivals(first) > before);
  }
}

TEST_CASE("A target that requests a pause with Retry-After") {
  Scene scene;
  scene.List("a", "10.0.0.1:80");
  scene.RequestPause("10.0.0.1:80", "3");
  scene.SendRequest();
  REQUIRE_FALSE(scene.answered());
  REQUIRE(scene.At("10.0.0.1:80").arrivals == 1);
  scene.Serve("10.0.0.1:80");

  SECTION("gets no requests meanwhile, and callers are served elsewhere") {
    scene.List("b", "10.0.0.2:80");
    for (int n = 0; n < 10; ++n) {
      scene.SendRequest();
      CHECK(scene.answered());
      scene.Advance(milliseconds(200));
    }
    CHECK(scene.At("10.0.0.1:80").arrivals == 1);
    CHECK(scene.At("10.0.0.2:80").arrivals == 10);
  }
  SECTION("as the only one, has its callers refused with the time left") {
    scene.Advance(seconds(1));
    scene.SendRequest();
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->run == RunState::kNotRun);
    CHECK(scene.refusal()->code == "targets_at_rest");
    CHECK(scene.refusal()->retry_after <= seconds(2));
    CHECK(scene.refusal()->retry_after > milliseconds(1900));
    scene.Advance(scene.refusal()->retry_after);
    scene.SendRequest();
    CHECK(scene.answered());
  }
  SECTION("gets no control calls meanwhile") {
    CHECK(scene.transport().ClientForExtraCall("a") == nullptr);
    scene.Advance(seconds(3));
    CHECK(scene.transport().ClientForExtraCall("a") != nullptr);
  }
  SECTION("gets requests once a new run of it has registered") {
    scene.List("a", "10.0.0.1:80").run = TargetRun{1};
    scene.ApplyList();
    scene.List("a", "10.0.0.1:80").run = TargetRun{2};
    scene.ApplyList();
    scene.SendRequest();
    CHECK(scene.answered());
  }
  SECTION("is respected if its run became known after it was listed") {
    scene.List("a", "10.0.0.1:80").run = TargetRun{1};
    scene.ApplyList();
    scene.Advance(seconds(3));
    scene.RequestPause("10.0.0.1:80", "3");
    scene.SendRequest();
    REQUIRE(scene.At("10.0.0.1:80").arrivals == 2);
    scene.SendRequest();
    CHECK(scene.At("10.0.0.1:80").arrivals == 2);
  }
  SECTION("does not affect a later target at the same address") {
    scene.Unlist("a");
    scene.List("b", "10.0.0.1:80");
    scene.SendRequest();
    CHECK(scene.answered());
  }
}

/// Guards against requests that waited for a connection and are sent although
/// their target has requested a pause meanwhile.
TEST_CASE("A request placed before a requested pause is not sent") {
  Scene scene(/*retries=*/0);
  scene.List("a", "10.0.0.1:80");
  scene.RequestPause("10.0.0.1:80", "3");
  scene.At("10.0.0.1:80").connects = false;
  scene.SendRequest();
  scene.SendRequest();
  scene.At("10.0.0.1:80").connects = true;
  scene.SendRequest();
  REQUIRE(scene.At("10.0.0.1:80").arrivals == 1);

  SECTION("it goes to another target without charge") {
    scene.List("b", "10.0.0.2:80");
    scene.Connect("10.0.0.1:80");
    CHECK(scene.answered());
    CHECK(scene.At("10.0.0.2:80").arrivals == 2);
  }
  SECTION("it is refused where there is none, and has not run") {
    scene.Connect("10.0.0.1:80");
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->run == RunState::kNotRun);
  }
  CHECK(scene.At("10.0.0.1:80").arrivals == 1);
  CHECK(scene.avoided_count() == 0);  // A pause is not a failure of the target.
}

/// Guards against requests that were placed before their target left and are
/// sent to it afterwards.
TEST_CASE("A request placed before its target left is not sent") {
  Scene scene;
  scene.List("a", "1");
  scene.At("1").connects = false;
  scene.SendRequest();
  SECTION("it goes to another target") {
    scene.List("b", "2");
    scene.List("a", "1").leaving = true;
    scene.ApplyList();
    scene.Connect("1");
    CHECK(scene.At("1").arrivals == 0);
    CHECK(scene.At("2").arrivals == 1);
    CHECK(scene.answered());
    CHECK(scene.avoided_count() == 0);
  }
  SECTION("it is refused where there is none, and has not run") {
    scene.List("a", "1").leaving = true;
    scene.ApplyList();
    scene.Connect("1");
    CHECK(scene.At("1").arrivals == 0);
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->run == RunState::kNotRun);
    CHECK(scene.refusal()->status == 503);
  }
}

TEST_CASE("A target that announces in an answer that it is leaving") {
  Scene scene;
  scene.List("a", "10.0.0.1:80");
  scene.At("10.0.0.1:80").headers = {{"Server-Leaving", "1"}};

  SECTION("gets no more requests, and callers are served elsewhere") {
    scene.SendRequest();
    REQUIRE(scene.answered());
    scene.List("b", "10.0.0.2:80");  // The list still shows "a" as ready.
    for (int n = 0; n < 5; ++n) {
      scene.SendRequest();
      CHECK(scene.answered());
    }
    CHECK(scene.At("10.0.0.1:80").arrivals == 1);
  }
  SECTION("as the only one, has its callers refused at once") {
    scene.SendRequest();
    scene.SendRequest();
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->run == RunState::kNotRun);
  }
  SECTION("may announce it in a refusal too") {
    scene.At("10.0.0.1:80").refuses = true;
    scene.SendRequest();
    scene.At("10.0.0.1:80").refuses = false;
    scene.SendRequest();
    CHECK(scene.At("10.0.0.1:80").arrivals == 1);
  }
  SECTION("gets requests again in a new run") {
    scene.List("a", "10.0.0.1:80").run = TargetRun{1};
    scene.ApplyList();
    scene.SendRequest();
    scene.List("a", "10.0.0.1:80").run = TargetRun{2};
    scene.ApplyList();
    scene.SendRequest();
    CHECK(scene.answered());
    CHECK(scene.At("10.0.0.1:80").arrivals == 2);
  }
  SECTION("does not affect a new run if the call was for the previous one") {
    scene.List("a", "10.0.0.1:80").run = TargetRun{1};
    scene.ApplyList();
    scene.At("10.0.0.1:80").connects = false;
    scene.SendRequest();
    scene.List("a", "10.0.0.1:80").run = TargetRun{2};
    scene.ApplyList();
    scene.Connect("10.0.0.1:80");
    REQUIRE(scene.answered());
    scene.Serve("10.0.0.1:80");
    scene.SendRequest();
    CHECK(scene.answered());
  }
  SECTION("may announce it in an answer for an earlier target at its address") {
    // The earlier target at the address is gone, still listed, and chosen
    // first.
    scene.Unlist("a");
    scene.List("0-gone", "10.0.0.1:80");
    scene.List("a", "10.0.0.1:80");
    scene.SendRequest();
    scene.SendRequest();
    CHECK(scene.At("10.0.0.1:80").arrivals == 1);
  }
}

/// Guards against ignored announcements in answers to prefill and release
/// calls, which are not forwarded to a caller.
TEST_CASE("A leaving notice in a prefill answer ends prefills at that engine") {
  Scene scene;
  scene.List("reader", "10.0.0.1:80", "llm", EngineRole::kPrefill);
  scene.List("other", "10.0.0.2:80", "llm", EngineRole::kPrefill);
  scene.List("runner", "10.0.0.3:80", "llm", EngineRole::kDecode);
  for (const char* it : {"10.0.0.1:80", "10.0.0.2:80"}) {
    scene.At(it).headers = {{"Server-Leaving", "1"}};
  }
  scene.SendRequest("llm");
  scene.SendRequest("llm");
  scene.SendRequest("llm");
  CHECK(scene.At("10.0.0.1:80").arrivals == 1);
  CHECK(scene.At("10.0.0.2:80").arrivals == 1);
}

TEST_CASE("Engines that request a pause with Retry-After") {
  Scene scene;
  scene.List("reader", "10.0.0.1:80", "llm", EngineRole::kPrefill);
  scene.List("runner", "10.0.0.2:80", "llm", EngineRole::kDecode);
  SECTION("prefill engines: decode engines do no prefill instead") {
    scene.RequestPause("10.0.0.1:80", "3");
    scene.SendRequest("llm");
    scene.SendRequest("llm");
    CHECK(scene.At("10.0.0.1:80").arrivals == 1);
    CHECK(scene.At("10.0.0.2:80").arrivals == 0);
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->code == "targets_at_rest");
  }
  SECTION("decode engines: no prefill is done in vain") {
    scene.RequestPause("10.0.0.2:80", "3");
    scene.SendRequest("llm");
    REQUIRE(scene.At("10.0.0.1:80").arrivals == 2);  // The KV handle is freed.
    scene.SendRequest("llm");
    CHECK(scene.At("10.0.0.1:80").arrivals == 2);
    CHECK(scene.At("10.0.0.2:80").arrivals == 1);
  }
  SECTION("both kinds: callers get the longer of the two pauses") {
    scene.RequestPause("10.0.0.2:80", "1");
    scene.SendRequest("llm");  // The decode engine requests a pause.
    scene.List("other", "10.0.0.3:80", "llm", EngineRole::kDecode);
    scene.RequestPause("10.0.0.1:80", "3");
    scene.SendRequest("llm");  // The prefill engine requests a pause.
    REQUIRE(scene.refusal());
    CHECK(scene.refusal()->retry_after > milliseconds(2500));
  }
}

}  // namespace
}  // namespace indigolead
