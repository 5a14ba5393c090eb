#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "core/config/declarations.h"
#include "core/config/revision_json.h"
#include "core/config/settings_table.h"
#include "entry/quarantine_store.h"
#include "side/target_monitor.h"
#include "store/store_json.h"
#include "tests/support/fuzz.h"
#include "tests/support/hostile_json.h"
#include "wire/codec.h"

namespace indigolead {
namespace {

std::vector<std::string> ReadExamples() {
  std::vector<std::string> texts;
  const std::filesystem::path examples =
      std::filesystem::path(INDIGOLEAD_SOURCE_DIR) / "examples";
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(examples)) {
    if (it.path().extension() == ".ini") {
      std::ifstream in(it.path());
      std::ostringstream text;
      text << in.rdbuf();
      texts.push_back(text.str().substr(0, kMaxFuzzBytes));
    }
  }
  return texts;
}

std::vector<std::string> MakeEnvelopes() {
  wire::Envelope hello;
  hello.mutable_hello()->set_instance("side-1");
  hello.mutable_hello()->set_incarnation(std::string(16, 'i'));
  hello.mutable_hello()->mutable_target()->add_models("a@1");
  wire::Envelope start;
  start.mutable_start()->set_attempt_id(std::string(16, 'a'));
  start.mutable_start()->add_headers()->set_name("accept");
  start.mutable_start()->set_body("{\"stream\":true}");
  wire::Envelope end;
  end.mutable_end()->set_sequence(7);
  end.mutable_end()->mutable_load()->set_running(3);
  wire::Envelope claims;
  claims.mutable_claim_outcome()->set_claim_key("k");
  return {hello.SerializeAsString(), start.SerializeAsString(),
          end.SerializeAsString(), claims.SerializeAsString()};
}

// Any process that reaches the port can send these bytes. A parser crash would
// abort every stream of the process.
TEST_CASE("Parsers of external input survive mutated input") {
  SECTION("frames between processes") {
    Fuzz(MakeEnvelopes(), [](const std::string& bytes) {
      wire::Envelope message;
      if (internal::DecodeEnvelope(bytes.data(), bytes.size(), &message)) {
        zmq::message_t frame;
        REQUIRE(internal::EncodeEnvelope(message, 1U << 20, &frame));
        wire::Envelope again;
        REQUIRE(internal::DecodeEnvelope(frame.data(), frame.size(), &again));
      }
    });
  }
  SECTION("settings") {
    Fuzz({"[instance]\nname = side-1\nfailure_domain = bilbao-a\n"
          "region = norte\n[store]\naddress = 127.0.0.1:1\n[links]\n"
          "heartbeat_interval = 500ms\nseeds = 127.0.0.1:2, 127.0.0.1:3\n"},
         [](const std::string& text) {
           ReadSettings("fuzz.ini", text, SettingsRole::kEntry);
           ReadSettings("fuzz.ini", text, SettingsRole::kSide);
         });
  }
  SECTION("declarations") {
    Fuzz(ReadExamples(), [](const std::string& text) {
      ReadDeclarations({{"fuzz.ini", text}});
    });
  }
  SECTION("revisions") {
    Revision revision;
    revision.number = 3;
    revision.spec.name = "tarifa-llm";
    revision.spec.models.push_back({"tarifa", "3", {"bilbao"}});
    revision.spec.client_accounts.emplace_back().name = "gran-via";
    Fuzz({ToJson(revision)},
         [](const std::string& json) { RevisionFromJson(json); });
  }
  SECTION("the platform's answers") {
    Fuzz({R"({"version":3,"instances":[{"name":"a","kind":"entry",)"
          R"("failure_domain":"b","region":"c","link_address":"1.2.3.4:5",)"
          R"("state":"live"}]})",
          R"({"version":9,"objects":[{"key":"a","version":4,"value":"YQ=="}]})",
          R"({"key":"a","version":4,"value":"YQ=="})"},
         [](const std::string& json) {
           internal::ParseInstanceList(json);
           internal::ParseListing(json);
           internal::ParseWatchLine(json);
         });
  }
  SECTION("an engine's reports") {
    Fuzz({R"({"boot_id":"b","role":"mixed","model":"m","version":"1",)"
          R"("adapters":["x"],"fencing_number":3,"generation":4,)"
          R"("changing":false,"checks_fencing":true})",
          R"({"boot_id":"b","measured_ago_ms":5,"running":1,"waiting":2,)"
          R"("queued_prefill_tokens":3,"kv_used_bytes":4,)"
          R"("kv_capacity_bytes":5,"slots":6,"prefill_tokens_per_s":7,)"
          R"("decode_tokens_per_s":8})"},
         [](const std::string& json) {
           ParseEngineState(json);
           ParseEngineLoad(json, TimePoint());
         });
  }
}

// Guards against a report or a quarantine of another process that overflows the
// stack, makes the log as long as it likes, or holds for ever.
TEST_CASE("Hostile reports and quarantines are values or bounded errors") {
  using Json = nlohmann::json;
  CheckHostileDocuments(
      {{"boot_id", "b"},
       {"role", "mixed"},
       {"adapters", {"x"}},
       {"fencing_number", 3},
       {"generation", 4},
       {"changing", false}},
      [](const std::string& text) { return ParseEngineState(text); });
  const Json load = {{"measured_ago_ms", 5},
                     {"running", 1},
                     {"slots", 6},
                     {"kv_used_bytes", 4}};
  const auto parse_load = [](const std::string& text) {
    return ParseEngineLoad(text, TimePoint());
  };
  CheckHostileDocuments(load, parse_load);
  const Json quarantine = Json::parse(EncodeQuarantine(SuspicionNotice()));
  CheckHostileDocuments(quarantine, [](const std::string& text) {
    return DecodeQuarantine(text);
  });
  for (const char* raw : {"-1", "1.5", "1e300", "18446744073709551615"}) {
    INFO(raw);
    CHECK_FALSE(
        IsOk(parse_load(WithRaw(load, Json::json_pointer("/running"), raw))));
  }
  for (const char* raw :
       {"-1", "1.5", "1e300", "9223372036854775807", "18446744073709551615"}) {
    INFO(raw);
    CHECK_FALSE(IsOk(DecodeQuarantine(
        WithRaw(quarantine, Json::json_pointer("/remaining_ms"), raw))));
  }
}

}  // namespace
}  // namespace indigolead
