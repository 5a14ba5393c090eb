// Tests of an entry that has to continue a stream of which no entry has a
// record.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/direct_dispatcher.h"
#include "entry/events.h"
#include "platform/target_protocol.h"
#include "runtime/clock.h"

namespace indigolead {
namespace {

/// Entry that knows every target since the fleet started. No other entry
/// replies to it.
class Scene {
 public:
  Scene()
      : dispatcher_(&io_, Options(), platform::MakePlatformDialect(), Hooks(),
                    BootTimeNow, MakeRandomIdSource(), MakeSeededRandom(1),
                    Log(), &metrics_) {
    RouteConfiguration routes;
    routes.version = 1;
    routes.services = {{"llm", 100, EngineTraits{}}};
    ServiceRoute route;
    route.name = "resume";
    route.services = {{"llm", 1}};
    routes.routes = {route};
    dispatcher_.OnRoutes(routes);
    dispatcher_.OnTargets({Target("a", "v1")});
  }

  static TargetRecord Target(const std::string& id,
                             const std::string& version) {
    TargetRecord target;
    target.id = id;
    target.service = "llm";
    target.address = "127.0.0.1:1";
    target.software_version = version;
    return target;
  }

  /// Takes up a stream that the request "begins" began.
  void TakeUp() {
    auto request = std::make_shared<CallerRequest>();
    request->id = RequestId{RandomId()};
    request->caller_id = "again";
    request->route = "resume";
    request->deployment = "llm";
    request->method = "POST";
    request->path = "/resume";
    request->streamed = true;
    request->may_resume = true;
    request->resumes = "begins";
    request->after_event = "2";
    request->received_at = BootTimeNow();
    request->deadline = BootTimeNow() + std::chrono::seconds(4);
    dispatcher_.OnRequest(request);
  }

  /// The archive names this version.
  std::optional<std::string> archived;
  /// Lists these targets when it is asked to confirm its list, which it does if
  /// this is set.
  std::optional<std::vector<TargetRecord>> confirmed;
  /// Software version at which the stream may go on; empty if not known.
  std::optional<std::string> software;
  std::string source;  ///< How that is known.
  std::optional<Refusal> refusal;

 private:
  static DirectDispatcher::Options Options() {
    DirectDispatcher::Options options;
    options.software.first_start = true;
    options.flow.no_target_wait = Duration{0};
    return options;
  }

  EventLog Log() {
    return [this](const EventInfo& event, const EventFields& fields) {
      if (event.number != kStreamContinued.number) {
        return;
      }
      for (const auto& [name, value] : fields) {
        if (name == "software") {
          software = value;
        } else if (name == "origin") {
          source = value;
        }
      }
    };
  }

  DirectDispatcher::Hooks Hooks() {
    DirectDispatcher::Hooks hooks;
    hooks.to_callers = [this](const ToCallers& message) {
      if (const auto* it = std::get_if<AnswerRefusal>(&message)) {
        refusal = it->refusal;
      }
    };
    hooks.find_origin = [](const std::string&,
                           const StreamOrigins::Done& done) {
      done(OriginUnknown::kNoReply);
    };
    hooks.find_archived_origin =
        [this](const std::string&,
               const std::function<void(const std::optional<StreamOrigin>&)>&
                   done) {
          done(archived ? std::optional(StreamOrigin{"llm", *archived})
                        : std::nullopt);
        };
    hooks.confirm_targets = [this](TimePoint,
                                   const std::function<void(bool)>& done) {
      if (confirmed) {
        dispatcher_.OnTargets(*confirmed);
      }
      done(confirmed.has_value());
    };
    return hooks;
  }

  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  DirectDispatcher dispatcher_;
};

/// Guards against an entry that asks the archive only if its list shows several
/// versions: the list may be older than the stream.
TEST_CASE("The archive goes before the only version listed") {
  Scene scene;
  scene.archived = "v2";
  scene.TakeUp();
  CHECK(scene.software == "v2");
  CHECK(scene.source == "archive");
}

/// Guards against a list that is taken for a proof about the time after it was
/// read.
TEST_CASE("A list that the store does not confirm proves nothing") {
  Scene scene;
  scene.TakeUp();
  CHECK(scene.software == "");
  REQUIRE(scene.refusal);
  CHECK(scene.refusal->status == 503);
  CHECK(scene.refusal->retry_after > Duration{0});
}

TEST_CASE("A list that the store confirms proves the only version") {
  Scene scene;
  scene.confirmed = {{Scene::Target("a", "v1")}};
  SECTION("if it is still the only one") {
    scene.TakeUp();
    CHECK(scene.software == "v1");
    CHECK(scene.source == "only-version");
  }
  SECTION("not if another has joined") {
    scene.confirmed->push_back(Scene::Target("b", "v2"));
    scene.TakeUp();
    CHECK(scene.software == "");
    REQUIRE(scene.refusal);
    CHECK(scene.refusal->status == 503);
  }
}

}  // namespace
}  // namespace indigolead
