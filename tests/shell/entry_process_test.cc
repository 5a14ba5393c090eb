#include "entry/entry_process.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "core/config/revision_json.h"
#include "side/side_process.h"
#include "standins/engine_server.h"
#include "tests/support/callers_fixture.h"
#include "tests/support/raw_client.h"

namespace indigolead {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;
using standins::EngineOptions;
using standins::EngineServer;

/// One entry, one side and one engine on loopback, without a store.
class SmallFleet {
 public:
  explicit SmallFleet(EngineOptions engine) : engine_(std::move(engine)) {
    Settings settings;
    settings.instance.name = "entry-1";
    entry_ = std::make_unique<EntryProcess>(settings, MakeNullEventLog());
    if (!IsOk(entry_->Start())) {
      throw std::runtime_error("the entry did not start");
    }
    Revision revision = ExampleRevisions().at("tarifa-llm");
    revision.digest = SpecDigest(revision.spec);
    entry_->OfferRevision(ToJson(revision));
    Settings side;
    side.instance.name = "bilbao-a-1";
    side.links.seeds = {entry_->link_address()};
    side.side.deployment = "tarifa-llm";
    side.side.target_address = engine_.address();
    side_ = std::make_unique<SideProcess>(side, MakeNullEventLog());
    side_thread_ = std::thread([this] { side_->Run(); });
  }

  ~SmallFleet() {
    side_->RequestStop();
    side_thread_.join();
  }

  EngineServer& engine() { return engine_; }
  EntryProcess& entry() { return *entry_; }

  /// Repeats a request until the fleet serves it; returns the answer.
  std::string AskUntilAnswered() {
    for (int i = 0; i < 100; ++i) {
      RawClient client(entry_->http_address());
      client.Write(Post(R"({"model":"tarifa","prompt":"gel"})"));
      std::string answer = client.ReadUntil("}\n");
      if (answer.find("HTTP/1.1 200") == 0) {
        return answer;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return "";
  }

  static std::string Post(const std::string& body) {
    return std::string("POST /v1/completions HTTP/1.1\r\nHost: e\r\n") +
           "Connection: close\r\nX-Api-Key: " + kExampleKey +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

 private:
  EngineServer engine_;
  std::unique_ptr<EntryProcess> entry_;
  std::unique_ptr<SideProcess> side_;
  std::thread side_thread_;
};

EngineOptions Engine() {
  EngineOptions options;
  options.model = "tarifa";
  return options;
}

const std::string kStream =
    R"({"model":"tarifa","prompt":"gel","max_tokens":40,"stream":true})";

TEST_CASE("A request goes through entry and side to an engine") {
  SmallFleet fleet(Engine());
  CHECK_THAT(fleet.AskUntilAnswered(), Contains("X-Request-Id: "));

  SECTION("a stream is delivered completely") {
    RawClient client(fleet.entry().http_address());
    client.Write(SmallFleet::Post(kStream));
    const std::string& answer = client.ReadToEnd();
    CHECK_THAT(answer, Contains("data: [DONE]"));
    CHECK_THAT(answer, EndsWith("0\r\n\r\n"));
  }
}

// Guards against serving plaintext when a certificate is configured that this
// build cannot use, which would expose callers' keys on the network.
TEST_CASE("An entry with TLS configured does not start without TLS") {
  Settings settings;
  settings.entry.tls_certificate_file = "entry.pem";
  EntryProcess entry(settings, MakeNullEventLog());
  const Status status = entry.Start();
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).code == ErrorCode::kInvalidInput);
}

// The engine crashes during a stream. The caller already has a part of the
// answer, so the request cannot be retried on another engine: the stream must
// end with an error event of outcome "unknown", not normally.
TEST_CASE("A stream whose engine dies ends with an error event") {
  EngineOptions options = Engine();
  options.decode_tokens_per_s = 20;
  SmallFleet fleet(options);
  REQUIRE(!fleet.AskUntilAnswered().empty());
  RawClient client(fleet.entry().http_address());
  client.Write(SmallFleet::Post(kStream));
  client.ReadUntil("data: ");
  fleet.engine().Crash();
  const std::string& answer = client.ReadToEnd();
  CHECK(client.closed());
  CHECK_THAT(answer, Contains("event: error"));
  CHECK_THAT(answer, Contains(R"("run":"unknown")"));
  CHECK_THAT(answer, !Contains("[DONE]"));
}

// The operator stops the entry during a stream. The stream must run to its end
// and new connections must be refused before the process ends.
TEST_CASE("A planned stop of the entry lets a stream end") {
  EngineOptions options = Engine();
  options.decode_tokens_per_s = 40;
  SmallFleet fleet(options);
  REQUIRE(!fleet.AskUntilAnswered().empty());
  std::thread running([&] { CHECK(IsOk(fleet.entry().Run())); });
  const std::string address = fleet.entry().http_address();
  RawClient client(address);
  client.Write(SmallFleet::Post(kStream));
  client.ReadUntil("data: ");
  fleet.entry().RequestStop();
  const std::string& answer = client.ReadToEnd();
  CHECK_THAT(answer, StartsWith("HTTP/1.1 200"));
  CHECK_THAT(answer, Contains("data: [DONE]"));
  CHECK_THAT(answer, EndsWith("0\r\n\r\n"));
  client.Close();
  running.join();
  CHECK_THROWS(RawClient(address));
}

}  // namespace
}  // namespace indigolead
