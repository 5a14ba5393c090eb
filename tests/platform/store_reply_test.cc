// Tests of replies of the platform's store that are neither a success nor a
// refusal.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "platform/object_store.h"
#include "runtime/clock.h"
#include "tests/platform/support/scripted_answers.h"
#include "tests/support/scripted_server.h"

namespace indigolead::platform {
namespace {

using std::chrono::seconds;

/// Codes of the errors of a read and a conditional write.
struct Outcome {
  std::optional<ErrorCode> read;
  std::optional<ErrorCode> write;
};

template <typename T>
std::optional<ErrorCode> CodeOf(const Result<T>& result) {
  return IsOk(result) ? std::nullopt : std::optional(ErrorOf(result).code);
}

/// Calls a store that answers each call with `reply` and closes.
Outcome CallStore(const std::string& reply) {
  const ScriptedServer server(
      {{{ScriptStep::Kind::kSend, reply}, {ScriptStep::Kind::kClose, ""}}});
  boost::asio::io_context io{1};
  MetricsRegistry metrics;
  PlatformObjectStore store(&io, {server.address()}, BootTimeNow, &metrics);
  const CallOptions options{CallPriority::kConfig, seconds(5)};
  Outcome outcome;
  store.Get("limits/a", options, [&](const auto& result) {
    outcome.read = CodeOf(result);
    store.Put("limits/a", "value", ExpectedVersion{3}, options,
              [&](const auto& written) {
                outcome.write = CodeOf(written);
                io.stop();
              });
  });
  io.run_for(seconds(10));
  return outcome;
}

std::string ReplyWith(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}";
}

/// Guards against repeating a write that may have been done.
TEST_CASE("The effect of a write is unknown after a reply that does not say") {
  SECTION("a status outside of all classes") {
    const std::string status = GENERATE("000", "042", "600", "999");
    const Outcome outcome = CallStore(ReplyWith(status));
    INFO(status);
    CHECK(outcome.read == ErrorCode::kUnavailable);
    CHECK(outcome.write == ErrorCode::kUnknownEffect);
  }
  SECTION("another success, or a redirection") {
    const std::string status = GENERATE("202", "204", "302");
    const Outcome outcome = CallStore(ReplyWith(status));
    INFO(status);
    CHECK(outcome.read == ErrorCode::kUnavailable);
    CHECK(outcome.write == ErrorCode::kUnknownEffect);
  }
  SECTION("while a refusal says that nothing was written") {
    CHECK(CallStore(ReplyWith("400")).write == ErrorCode::kProtocol);
    CHECK(CallStore(ReplyWith("503")).write == ErrorCode::kUnavailable);
    CHECK(CallStore(ReplyWith("500")).write == ErrorCode::kUnknownEffect);
  }
}

}  // namespace
}  // namespace indigolead::platform
