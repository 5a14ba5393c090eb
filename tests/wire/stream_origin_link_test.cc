#include "wire/stream_origin_link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace indigolead::testing {
namespace {

using boost::asio::ip::udp;

/// One end of a link, with all that it received.
class LinkEnd {
 public:
  explicit LinkEnd(boost::asio::io_context* io) : link(io, Hooks(), Log()) {
    REQUIRE(IsOk(link.Listen("127.0.0.1:0")));
  }

  std::vector<std::string> records;    ///< "id service version"
  std::vector<std::string> questions;  ///< "address id"
  std::vector<std::string> replies;    ///< "address id version"
  int dropped = 0;
  StreamOriginLink link;

 private:
  StreamOriginLink::Hooks Hooks() {
    StreamOriginLink::Hooks hooks;
    hooks.on_record = [this](const std::string& id,
                             const StreamOrigin& origin) {
      records.push_back(id + " " + origin.service + " " +
                        origin.software_version);
    };
    hooks.on_question = [this](const std::string& address,
                               const std::string& id) {
      questions.push_back(address + " " + id);
    };
    hooks.on_reply = [this](const std::string& address, const std::string& id,
                            const std::optional<StreamOrigin>& origin) {
      replies.push_back(address + " " + id + " " +
                        (origin ? origin->software_version : "unknown"));
    };
    return hooks;
  }
  EventLog Log() {
    return [this](const EventInfo&, const EventFields&) { ++dropped; };
  }
};

void RunUntil(boost::asio::io_context* io, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done() && std::chrono::steady_clock::now() < end) {
    io->restart();
    io->run_for(std::chrono::milliseconds(5));
  }
  REQUIRE(done());
}

TEST_CASE("Entries exchange the origins of streams") {
  boost::asio::io_context io;
  LinkEnd here(&io);
  LinkEnd there(&io);
  const std::string to = there.link.bound_address();
  const std::string from = here.link.bound_address();

  SECTION("a record") {
    here.link.SendRecord(to, "a", {"llm", "v1.2"});
    RunUntil(&io, [&] { return !there.records.empty(); });
    CHECK(there.records.front() == "a llm v1.2");
  }
  SECTION("a question and its replies") {
    here.link.SendQuestion(to, "a");
    RunUntil(&io, [&] { return !there.questions.empty(); });
    CHECK(there.questions.front() == from + " a");
    there.link.SendReply(from, "a", StreamOrigin{"llm", "v1"});
    there.link.SendReply(from, "b", std::nullopt);
    RunUntil(&io, [&] { return here.replies.size() == 2; });
    CHECK(here.replies[0] == to + " a v1");
    CHECK(here.replies[1] == to + " b unknown");
  }
  SECTION("bytes that are no message are dropped") {
    udp::socket socket(io, udp::v4());
    const auto colon = to.rfind(':');
    const udp::endpoint endpoint(
        boost::asio::ip::make_address(to.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1))));
    for (const std::string& bytes :
         {std::string("\xff\xff\xff"), std::string(2000, 'x'), std::string()}) {
      socket.send_to(boost::asio::buffer(bytes), endpoint);
    }
    RunUntil(&io, [&] { return there.dropped == 3; });
    here.link.SendRecord(to, "a", {"llm", "v1"});
    RunUntil(&io, [&] { return !there.records.empty(); });
  }
  SECTION("a message that is too long is not sent, and logged") {
    here.link.SendRecord(to, std::string(2000, 'a'), {"llm", "v1"});
    CHECK(here.dropped == 1);
  }
}

TEST_CASE("An entry whose address for other entries is taken says so") {
  boost::asio::io_context io;
  LinkEnd here(&io);
  StreamOriginLink other(&io, {}, MakeNullEventLog());
  const Status status = other.Listen(here.link.bound_address());
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).peer == here.link.bound_address());
}

}  // namespace
}  // namespace indigolead::testing
